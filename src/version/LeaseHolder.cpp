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
    // The question is asked early enough that service does not stop between the lease and the answer.
    const Duration margin = 2 * m_timing.renewal;
    if (m_everLeased && now + margin > m_leaseEnds && now >= m_nextQuery) {
        m_nextQuery = now + m_timing.orphanTerm / 4;
        for (const NodeId &entry : m_entries)
            if (entry != m_self)
                actions.queries.emplace_back(entry, OrphanQuery{m_self, now.time_since_epoch().count(), m_applied});
    }
    return actions;
}

void LeaseHolder::granted(TimePoint now, const LeaseGrant &grant, const NodeId &leader, LogIndex applied)
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
    m_leaseEnds = std::max(m_leaseEnds, ends);
    m_everLeased = true;
}

OrphanReply LeaseHolder::answer(const OrphanQuery &query) const
{
    OrphanReply reply;
    reply.from = m_self;
    reply.sentAt = query.sentAt;
    reply.everLeased = m_everLeased;
    reply.applied = m_applied;
    return reply;
}

void LeaseHolder::orphanReply(const OrphanReply &reply)
{
    // A newer state on the other side must be applied here first; the next question then counts.
    if (!reply.everLeased || reply.applied > m_applied)
        return;
    TimePoint &asked = m_confirmed[reply.from];
    asked = std::max(asked, TimePoint(Duration(reply.sentAt)));
}

std::optional<TimePoint> LeaseHolder::orphanEnds() const
{
    std::vector<TimePoint> asked = {TimePoint::max()};
    for (const auto &[entry, when] : m_confirmed)
        asked.push_back(when);
    const size_t majority = m_entries.size() / 2 + 1;
    if (asked.size() < majority)
        return std::nullopt;
    std::sort(asked.begin(), asked.end(), std::greater<>());
    const TimePoint oldest = asked.at(majority - 1);
    return oldest == TimePoint::max() ? oldest : oldest + m_timing.orphanTerm;
}

TimePoint LeaseHolder::servesUntil() const
{
    if (!m_everLeased)
        return TimePoint();
    return std::max(m_leaseEnds, orphanEnds().value_or(TimePoint()));
}

ServingRight LeaseHolder::right(TimePoint now) const
{
    if (!m_everLeased)
        return ServingRight::None;
    if (now < m_leaseEnds)
        return ServingRight::Lease;
    const std::optional<TimePoint> ends = orphanEnds();
    return ends && now < *ends ? ServingRight::Orphan : ServingRight::None;
}

} // namespace hickoryspur
