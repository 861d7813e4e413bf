#include "hickoryspur/process/LogQuorum.h"

#include <algorithm>
#include <tuple>

namespace hickoryspur {

const LogReport *LogQuorum::newest() const
{
    const LogReport *newest = nullptr;
    for (const auto &[member, report] : m_reports)
        if (!newest || std::tie(report.lastTerm, report.lastIndex) > std::tie(newest->lastTerm, newest->lastIndex))
            newest = &report;
    if (!newest)
        return nullptr;
    const auto reported = std::count_if(newest->voters.begin(), newest->voters.end(),
                                        [this](const MemberId &voter) { return m_reports.contains(voter); });
    return static_cast<size_t>(reported) > newest->voters.size() / 2 ? newest : nullptr;
}

} // namespace hickoryspur
