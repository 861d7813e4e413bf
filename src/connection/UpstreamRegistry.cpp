#include "hickoryspur/connection/UpstreamRegistry.h"

#include <algorithm>

namespace hickoryspur {

namespace {

std::string addressOf(const Announcement &announcement)
{
    return announcement.address + ':' + std::to_string(announcement.port);
}

bool hasSameContent(const Announcement &left, const Announcement &right)
{
    return left.state == right.state && left.address == right.address && left.port == right.port
        && left.service == right.service && left.dataCentre == right.dataCentre && left.version == right.version
        && left.incarnation == right.incarnation && (left.coldForMillis > 0) == (right.coldForMillis > 0);
}

} // namespace

RegistryChange UpstreamRegistry::accept(TimePoint now, const Announcement &announcement)
{
    const auto found = m_upstreams.find(announcement.id);
    if (found == m_upstreams.end()) {
        const auto holder = m_byAddress.find(addressOf(announcement));
        // A delayed heartbeat: an upstream with a higher incarnation uses this address by now.
        if (holder != m_byAddress.end()
            && m_upstreams.at(holder->second).announcement.incarnation > announcement.incarnation)
            return RegistryChange::Ignored;
        evictFromAddress(announcement);
        index(m_upstreams[announcement.id] = {announcement, now});
        m_lastHeartbeat = std::max(m_lastHeartbeat, now);
        return RegistryChange::Changed;
    }
    const Announcement known = found->second.announcement;
    const bool gone = known.upstreamState() == UpstreamState::Gone;
    const bool older = announcement.incarnation < known.incarnation
        || (announcement.incarnation == known.incarnation && (gone || announcement.sequence <= known.sequence));
    if (older)
        return RegistryChange::Ignored;
    m_lastHeartbeat = std::max(m_lastHeartbeat, now);
    if (hasSameContent(known, announcement)) {
        found->second = {announcement, now};
        return RegistryChange::Refreshed;
    }
    unindex(known);
    evictFromAddress(announcement);
    found->second = {announcement, now};
    index(found->second);
    return RegistryChange::Changed;
}

RegistryChange UpstreamRegistry::remove(TimePoint now, const UpstreamId &id, uint64_t incarnation)
{
    KnownUpstream &upstream = m_upstreams[id];
    upstream.announcement.id = id;
    if (incarnation != 0 && incarnation < upstream.announcement.incarnation)
        return RegistryChange::Ignored;
    unindex(upstream.announcement);
    upstream.announcement.incarnation = std::max(upstream.announcement.incarnation, incarnation);
    upstream.announcement.state = static_cast<uint8_t>(UpstreamState::Gone);
    upstream.lastHeartbeat = now;
    return RegistryChange::Changed;
}

void UpstreamRegistry::recordHeartbeat(TimePoint now, const UpstreamId &id)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    found->second.lastHeartbeat = now;
    m_lastHeartbeat = std::max(m_lastHeartbeat, now);
}

Duration UpstreamRegistry::heartbeatAge(const KnownUpstream &upstream) const
{
    return m_lastHeartbeat - upstream.lastHeartbeat;
}

void UpstreamRegistry::removeExpired(TimePoint now)
{
    for (auto next = m_upstreams.begin(); next != m_upstreams.end();) {
        const auto current = next++;
        const bool gone = current->second.announcement.upstreamState() == UpstreamState::Gone;
        const bool expired = gone ? now - current->second.lastHeartbeat > kGoneRetention
                                  : m_lastHeartbeat - current->second.lastHeartbeat > kExpiry;
        if (!expired)
            continue;
        unindex(current->second.announcement);
        m_upstreams.erase(current);
    }
}

const KnownUpstream *UpstreamRegistry::find(const UpstreamId &id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

const std::vector<UpstreamId> &UpstreamRegistry::replicas(const ServiceName &service) const
{
    static const std::vector<UpstreamId> none;
    const auto found = m_replicas.find(service);
    return found == m_replicas.end() ? none : found->second;
}

void UpstreamRegistry::index(const KnownUpstream &upstream)
{
    const Announcement &announcement = upstream.announcement;
    if (announcement.upstreamState() == UpstreamState::Gone)
        return;
    m_byAddress[addressOf(announcement)] = announcement.id;
    if (!upstream.takesWork())
        return;
    std::vector<UpstreamId> &replicas = m_replicas[announcement.service];
    replicas.insert(std::lower_bound(replicas.begin(), replicas.end(), announcement.id), announcement.id);
}

void UpstreamRegistry::unindex(const Announcement &announcement)
{
    const auto holder = m_byAddress.find(addressOf(announcement));
    if (holder != m_byAddress.end() && holder->second == announcement.id)
        m_byAddress.erase(holder);
    const auto found = m_replicas.find(announcement.service);
    if (found == m_replicas.end())
        return;
    std::erase(found->second, announcement.id);
    if (found->second.empty())
        m_replicas.erase(found);
}

void UpstreamRegistry::evictFromAddress(const Announcement &announcement)
{
    const auto holder = m_byAddress.find(addressOf(announcement));
    if (holder == m_byAddress.end() || holder->second == announcement.id)
        return;
    const UpstreamId evicted = holder->second;
    KnownUpstream &upstream = m_upstreams.at(evicted);
    unindex(upstream.announcement);
    // Two processes cannot listen on one address: the earlier one ended without deregistering.
    upstream.announcement.state = static_cast<uint8_t>(UpstreamState::Gone);
}

} // namespace hickoryspur
