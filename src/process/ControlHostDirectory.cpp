#include "hickoryspur/process/ControlHostDirectory.h"

#include <set>

namespace hickoryspur {

bool ControlHostDirectory::setSeeds(const std::vector<NodeId> &seeds)
{
    const bool changed = m_seeds != seeds;
    m_seeds = seeds;
    return changed;
}

bool ControlHostDirectory::updateReportedHosts(const NodeId &from, const std::vector<NodeId> &reported)
{
    std::vector<NodeId> &stored = m_reported[from];
    const bool changed = stored != reported;
    stored = reported;
    return changed;
}

bool ControlHostDirectory::recordJoinRequest(TimePoint now, const NodeId &host)
{
    const auto found = m_joinRequests.find(host);
    const bool changed = found == m_joinRequests.end() || now - found->second > kJoinRequestExpiry;
    m_joinRequests[host] = now;
    return changed;
}

bool ControlHostDirectory::removeSource(const NodeId &from)
{
    // The last report is kept: without it, only the seeds could be reached.
    return m_reported.size() > 1 && m_reported.erase(from) > 0;
}

std::vector<NodeId> ControlHostDirectory::hosts(TimePoint now) const
{
    std::set<NodeId> all(m_seeds.begin(), m_seeds.end());
    for (const auto &[from, reported] : m_reported)
        all.insert(reported.begin(), reported.end());
    for (const auto &[host, at] : m_joinRequests)
        if (now - at <= kJoinRequestExpiry)
            all.insert(host);
    return {all.begin(), all.end()};
}

} // namespace hickoryspur
