// The upstreams that a control host or an entry knows, built from their heartbeats. A heartbeat with a
// higher incarnation wins, then one with a higher sequence, so late and repeated heartbeats change
// nothing. An upstream that has deregistered is kept as Gone for a while, so that a delayed heartbeat
// does not register it again.
#pragma once

#include "hickoryspur/connection/Announcement.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

struct KnownUpstream
{
    Announcement announcement;
    /** When the latest heartbeat arrived, on this host's clock. */
    TimePoint lastHeartbeat;

    bool takesWork() const
    {
        const UpstreamState state = announcement.upstreamState();
        return state == UpstreamState::Ready || state == UpstreamState::Cold;
    }
};

enum class RegistryChange {
    /** The heartbeat is older than the registered one. */
    Ignored,
    /** Only the time of the last heartbeat, or fields that do not affect routing, have changed. */
    Refreshed,
    Changed,
};

class UpstreamRegistry
{
public:
    /** An upstream expires after this time without a heartbeat while other upstreams still send theirs. */
    static constexpr Duration kExpiry = 20s;
    /** How long a deregistered upstream is kept as Gone; longer than a heartbeat can be delayed. */
    static constexpr Duration kGoneRetention = 60s;

    RegistryChange accept(TimePoint now, const Announcement &announcement);
    /** Deregisters this incarnation of the upstream; incarnation 0 means the registered one. */
    RegistryChange remove(TimePoint now, const UpstreamId &id, uint64_t incarnation);
    /** Another host received a heartbeat of the upstream that changes nothing but the time. */
    void recordHeartbeat(TimePoint now, const UpstreamId &id);
    void removeExpired(TimePoint now);

    const KnownUpstream *find(const UpstreamId &id) const;
    /** The replicas of a service that accept new requests, sorted by id. */
    const std::vector<UpstreamId> &replicas(const ServiceName &service) const;
    const std::unordered_map<UpstreamId, KnownUpstream> &all() const { return m_upstreams; }
    /**
     * Time from the upstream's last heartbeat to the latest heartbeat of any upstream. It does not grow
     * while all control hosts are unreachable, since no heartbeats arrive then.
     */
    Duration heartbeatAge(const KnownUpstream &upstream) const;

private:
    void index(const KnownUpstream &upstream);
    void unindex(const Announcement &announcement);
    void evictFromAddress(const Announcement &announcement);

    std::unordered_map<UpstreamId, KnownUpstream> m_upstreams;
    std::map<ServiceName, std::vector<UpstreamId>> m_replicas;
    std::unordered_map<std::string, UpstreamId> m_byAddress;
    TimePoint m_lastHeartbeat;
};

} // namespace hickoryspur
