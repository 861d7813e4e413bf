// Decides how many connections this entry opens to an upstream, whether it opens them in advance, and
// whether it keeps them when no request runs, so that all entries together stay within the number of
// connections that an upstream accepts.
//
// In a large deployment callers are sent to some of the entries only (ActiveEntries). These divide the
// upstreams' connections among themselves and keep theirs. A request may still reach any other entry; such
// an entry opens a connection for one sub-request and closes it afterwards, since connections that hundreds
// of entries leave idle use up what the upstreams accept.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/connection/ReplicaSubset.h"
#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

class ConnectionPlan
{
public:
    /** Assumed number of entries until a control host reports the actual number. */
    static constexpr uint32_t kInitialEntryCount = 8;
    /** While many entries start, the list of those that callers are sent to changes; connections wait until then. */
    static constexpr Duration kOfferedSettleTime = 800ms;

    /** Sets the entries that callers are sent to, and this entry's address. */
    void setEntries(TimePoint now, const std::string &self, const std::vector<std::string> &entries);
    /** Sets among how many entries the upstreams' connections are divided. */
    void setEntryCount(uint32_t entries) { m_entryCount = entries; }
    uint32_t entryCount() const { return m_entryCount; }
    /** Sets how many entries there are, whether or not callers are sent to them. */
    void setDeploymentSize(size_t entries) { m_deploymentSize = entries; }

    /** Whether callers are sent to this entry, as far as it knows. */
    bool isOffered() const { return m_offeredSince.has_value(); }
    /** Whether connections to upstreams are opened before there is a request for them. */
    bool opensInAdvance(TimePoint now) const;
    /** Whether this entry keeps connections to an upstream that accepts connectionLimit from all entries together. */
    bool keepsConnections(const UpstreamId &upstream, uint32_t connectionLimit) const;
    /** The largest number of connections that this entry opens to such an upstream; at least 1. */
    uint32_t maxConnections(uint32_t connectionLimit) const { return maxConnections(connectionLimit, m_entryCount); }
    /** The same for an upstream whose connections are divided among so many entries only. */
    static uint32_t maxConnections(uint32_t connectionLimit, size_t holders);
    /** Whether this entry alone sends to an upstream that takes requests from one entry only. */
    bool isHome(const UpstreamId &upstream) const { return m_subset.isHome(upstream); }

private:
    /** With few entries each one that is ready is offered, and this one may know that before the list says so. */
    bool isSmallDeployment() const;

    ReplicaSubset m_subset;
    uint32_t m_entryCount = kInitialEntryCount;
    size_t m_deploymentSize = 0;
    /** Since when callers are sent to this entry; nullopt if they are not. */
    std::optional<TimePoint> m_offeredSince;
};

} // namespace hickoryspur
