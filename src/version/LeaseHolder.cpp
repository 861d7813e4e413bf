#include "hickoryspur/version/LeaseHolder.h"

#include <algorithm>

namespace hickoryspur {

LeaseHolder::LeaseHolder(NodeId self, uint64_t incarnation, std::vector<NodeId> entries,
                         std::vector<NodeId> controlNodes, LeaseTiming timing)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_entries(std::move(entries))
    , m_controlNodes(std::move(controlNodes))
    , m_timing(timing)
{
}

LeaseRequest LeaseHolder::makeRequest(TimePoint now) const
{
    return {m_self, m_incarnation, m_applied, now.time_since_epoch().count(), m_leaving};
}

LeaseActions LeaseHolder::tick(TimePoint now)
{
    LeaseActions actions;
    if (now >= m_nextRenewal) {
        m_nextRenewal = now + m_timing.renewal;
        if (now - m_lastGrant > 2 * m_timing.renewal)
            m_leader.reset();
        if (m_leader) {
            actions.requests.emplace_back(*m_leader, makeRequest(now));
        } else {
            for (const NodeId &node : m_controlNodes)
                actions.requests.emplace_back(node, makeRequest(now));
        }
    }
    // Requests are sent before the lease expires, so that the replies arrive in time to avoid a gap in service.
    const Duration margin = 2 * m_timing.renewal;
    if (m_hasHeldLease && now + margin > m_leaseEnd && now >= m_nextConfirmRequest) {
        m_nextConfirmRequest = now + m_timing.peerConfirmDuration / 4;
        for (const NodeId &entry : m_entries)
            if (entry != m_self)
                actions.confirmRequests.emplace_back(
                    entry, PeerConfirmRequest{m_self, now.time_since_epoch().count(), m_applied});
    }
    return actions;
}

void LeaseHolder::recordGrant(TimePoint now, const LeaseGrant &grant, const NodeId &leader, LogIndex applied)
{
    m_applied = std::max(m_applied, applied);
    m_leader = leader;
    m_lastGrant = now;
    if (m_applied < grant.commit) {
        renewSoon();
        return;
    }
    const double usable = static_cast<double>(grant.durationMicros) * (1.0 - m_timing.allowedDrift);
    const TimePoint ends = TimePoint(Duration(grant.sentAt)) + Duration(static_cast<int64_t>(usable));
    m_leaseEnd = std::max(m_leaseEnd, ends);
    m_hasHeldLease = true;
}

PeerConfirmReply LeaseHolder::makePeerConfirmReply(const PeerConfirmRequest &request) const
{
    PeerConfirmReply reply;
    reply.from = m_self;
    reply.sentAt = request.sentAt;
    reply.hasHeldLease = m_hasHeldLease;
    reply.applied = m_applied;
    return reply;
}

void LeaseHolder::recordPeerConfirmReply(const PeerConfirmReply &reply)
{
    // A newer state of the peer must be applied here first; the reply to the next request can then confirm it.
    if (!reply.hasHeldLease || reply.applied > m_applied)
        return;
    TimePoint &lastRequest = m_lastConfirmRequest[reply.from];
    lastRequest = std::max(lastRequest, TimePoint(Duration(reply.sentAt)));
}

std::optional<TimePoint> LeaseHolder::peerConfirmationEnd() const
{
    std::vector<TimePoint> requestTimes = {TimePoint::max()};
    for (const auto &[entry, sentAt] : m_lastConfirmRequest)
        requestTimes.push_back(sentAt);
    const size_t majority = m_entries.size() / 2 + 1;
    if (requestTimes.size() < majority)
        return std::nullopt;
    std::sort(requestTimes.begin(), requestTimes.end(), std::greater<>());
    const TimePoint oldest = requestTimes.at(majority - 1);
    return oldest == TimePoint::max() ? oldest : oldest + m_timing.peerConfirmDuration;
}

TimePoint LeaseHolder::servesUntil() const
{
    if (!m_hasHeldLease)
        return TimePoint();
    return std::max(m_leaseEnd, peerConfirmationEnd().value_or(TimePoint()));
}

ServingRight LeaseHolder::right(TimePoint now) const
{
    if (!m_hasHeldLease)
        return ServingRight::None;
    if (now < m_leaseEnd)
        return ServingRight::Lease;
    const std::optional<TimePoint> ends = peerConfirmationEnd();
    return ends && now < *ends ? ServingRight::PeerConfirmed : ServingRight::None;
}

} // namespace hickoryspur
