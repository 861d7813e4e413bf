#include "hickoryspur/process/LogQuorum.h"

#include <algorithm>
#include <tuple>

namespace hickoryspur {

void LogQuorum::recordReport(TimePoint now, LogReport report)
{
    std::erase_if(m_reports, [now](const auto &item) { return now - item.second.at > kReportValidity; });
    const MemberId member = report.member;
    m_reports[member] = {std::move(report), now};
}

const LogReport *LogQuorum::newest() const
{
    const LogReport *newest = nullptr;
    for (const auto &[member, received] : m_reports) {
        const LogReport &report = received.report;
        if (!newest || std::tie(report.lastTerm, report.lastIndex) > std::tie(newest->lastTerm, newest->lastIndex))
            newest = &report;
    }
    if (!newest)
        return nullptr;
    const auto reported = std::count_if(newest->voters.begin(), newest->voters.end(),
                                        [this](const MemberId &voter) { return m_reports.contains(voter); });
    return static_cast<size_t>(reported) > newest->voters.size() / 2 ? newest : nullptr;
}

} // namespace hickoryspur
