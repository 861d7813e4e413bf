// What is known of every upstream from its own heartbeats, on control hosts and entries alike. Of two
// heartbeats the one of the later life wins, then the one with the higher sequence, so late and
// repeated ones change nothing. An upstream that has said that it ends stays known as gone for a
// while, so that a heartbeat which was held up cannot bring it back.
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
    /** Older than what is known. */
    Ignored,
    /** Nothing new but the time. */
    Refreshed,
    Changed,
};

class UpstreamRegistry
{
public:
    /** An upstream is forgotten when others are heard and it has been silent for this long. */
    static constexpr Duration kExpiry = 20s;
    /** How long an upstream that has ended stays known as gone: longer than a heartbeat can be held up. */
    static constexpr Duration kGoneRetention = 60s;

    RegistryChange accept(TimePoint now, const Announcement &announcement);
    /** The upstream ends; without an incarnation it is the life that is known. */
    RegistryChange remove(TimePoint now, const UpstreamId &id, uint64_t incarnation);
    /** Another host has heard the upstream. */
    void recordHeartbeat(TimePoint now, const UpstreamId &id);
    void removeExpired(TimePoint now);

    const KnownUpstream *find(const UpstreamId &id) const;
    /** The replicas of a service that take work, in a fixed order. */
    const std::vector<UpstreamId> &replicas(const ServiceName &service) const;
    const std::unordered_map<UpstreamId, KnownUpstream> &all() const { return m_upstreams; }
    /**
     * How long the upstream has been silent while others were heard. An upstream whose control hosts
     * are all lost is not silent: nobody can be heard then.
     */
    Duration silence(const UpstreamId &id) const;

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
