#include "hickoryspur/process/EntryDirectory.h"

#include <algorithm>
#include <set>

namespace hickoryspur {

void EntryDirectory::update(TimePoint now, const NodeId &source, std::vector<EntryLocation> entries)
{
    m_reports[source] = {std::move(entries), now};
}

void EntryDirectory::recordHeartbeat(TimePoint now, const NodeId &source)
{
    const auto found = m_reports.find(source);
    if (found != m_reports.end())
        found->second.lastHeartbeat = now;
}

uint32_t EntryDirectory::deploymentSize() const
{
    uint32_t largest = 0;
    for (const auto &[source, sessions] : m_sessions)
        largest = std::max(largest, sessions);
    return largest;
}

std::vector<std::string> EntryDirectory::addresses(TimePoint now, size_t controlHosts) const
{
    std::set<std::string> currentAddresses;
    std::set<std::string> staleAddresses;
    size_t currentReports = 0;
    for (const auto &[id, report] : m_reports) {
        const bool current = now - report.lastHeartbeat <= kHeartbeatTimeout;
        currentReports += current ? 1 : 0;
        for (const EntryLocation &entry : report.entries)
            (current ? currentAddresses : staleAddresses).insert(entry.address);
    }
    const bool isConfirmed = m_confirmedAt && now - *m_confirmedAt <= kHeartbeatTimeout;
    if (isConfirmed || currentReports > controlHosts / 2)
        return {currentAddresses.begin(), currentAddresses.end()};
    std::vector<std::string> staleOnly;
    std::set_difference(staleAddresses.begin(), staleAddresses.end(), currentAddresses.begin(), currentAddresses.end(),
                        std::back_inserter(staleOnly));
    return staleOnly.empty() ? std::vector<std::string>(currentAddresses.begin(), currentAddresses.end()) : staleOnly;
}

const std::vector<EntryLocation> &EntryDirectory::mostCompleteList(TimePoint now) const
{
    static const std::vector<EntryLocation> kNone;
    const std::vector<EntryLocation> *longest = &kNone;
    for (const auto &[id, report] : m_reports)
        if (now - report.lastHeartbeat <= kHeartbeatTimeout && report.entries.size() > longest->size())
            longest = &report.entries;
    for (const auto &[id, report] : m_reports)
        if (longest->empty())
            longest = &report.entries;
    return *longest;
}

} // namespace hickoryspur
