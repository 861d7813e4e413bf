#include "hickoryspur/connection/ConnectionPlan.h"

#include "hickoryspur/process/ActiveEntries.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/**
 * Share of an upstream's connection limit that the offered entries use together. The rest is for connections of lost
 * entries, which stay open for a while, and for those that other entries open for one request.
 */
constexpr double kUsableConnectionShare = 0.6;

} // namespace

void ConnectionPlan::setEntries(TimePoint now, const std::string &self, const std::vector<std::string> &entries)
{
    if (std::find(entries.begin(), entries.end(), self) == entries.end())
        m_offeredSince.reset();
    else if (!m_offeredSince)
        m_offeredSince = now;
    m_subset.setEntries(self, entries);
}

bool ConnectionPlan::isSmallDeployment() const
{
    return m_deploymentSize < ActiveEntries::kMinEntries;
}

bool ConnectionPlan::opensInAdvance(TimePoint now) const
{
    return isSmallDeployment() || (m_offeredSince && now - *m_offeredSince >= kOfferedSettleTime);
}

bool ConnectionPlan::keepsConnections(const UpstreamId &upstream, uint32_t connectionLimit) const
{
    return (isSmallDeployment() || m_offeredSince) && m_subset.holds(upstream, connectionLimit);
}

uint32_t ConnectionPlan::maxConnections(uint32_t connectionLimit, size_t holders)
{
    const double share = kUsableConnectionShare * connectionLimit / static_cast<double>(std::max<size_t>(1, holders));
    return std::max<uint32_t>(1, static_cast<uint32_t>(share));
}

} // namespace hickoryspur
