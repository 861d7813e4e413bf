#include "hickoryspur/version/LeaseTable.h"

#include <algorithm>

namespace hickoryspur {

LeaseTable::LeaseTable(std::vector<NodeId> entries, LeaseTiming timing)
    : m_entries(std::move(entries))
    , m_timing(timing)
{
    for (const NodeId &entry : m_entries)
        m_holders[entry] = Holder();
}

Duration LeaseTable::maxLease() const
{
    const auto lease = static_cast<double>(m_timing.lease.count());
    return Duration(static_cast<int64_t>(lease * (1.0 + m_timing.allowedDrift)));
}

void LeaseTable::startTerm(TimePoint now, LogIndex inForce)
{
    m_pending.clear();
    m_inForce = std::max(m_inForce, inForce);
    for (auto &[entry, holder] : m_holders) {
        holder = Holder();
        holder.leaseEnd = now + maxLease();
    }
}

void LeaseTable::recordRequest(TimePoint now, const LeaseRequest &request)
{
    const auto found = m_holders.find(request.from);
    if (found == m_holders.end())
        return;
    Holder &holder = found->second;
    if (holder.hasRequested && request.incarnation == holder.incarnation && request.applied < holder.applied)
        return; // A newer request overtook this one on the way.
    holder.hasRequested = true;
    holder.incarnation = request.incarnation;
    holder.applied = request.applied;
    holder.leaving = request.leaving;
    holder.leaseEnd = std::max(holder.leaseEnd, now + maxLease());
}

void LeaseTable::recordCommit(LogIndex index)
{
    if (index > m_inForce && (m_pending.empty() || index > m_pending.back().index))
        m_pending.push_back({index, std::nullopt});
}

size_t LeaseTable::appliedCount(LogIndex index) const
{
    return static_cast<size_t>(std::count_if(m_holders.begin(), m_holders.end(),
                                             [index](const auto &item) { return item.second.applied >= index; }));
}

bool LeaseTable::isInForce(const Pending &pending, TimePoint now) const
{
    const size_t applied = appliedCount(pending.index);
    if (!pending.majorityTime)
        return false;
    if (applied == m_entries.size())
        return true;
    // Until this time has passed, an entry may serve an older state that its peers confirmed before they
    // applied this index.
    const auto confirmDuration =
        static_cast<double>(m_timing.peerConfirmDuration.count()) * (1.0 + m_timing.allowedDrift);
    if (now < *pending.majorityTime + Duration(static_cast<int64_t>(confirmDuration)))
        return false;
    return std::all_of(m_holders.begin(), m_holders.end(), [&](const auto &item) {
        return item.second.applied >= pending.index || item.second.leaseEnd <= now;
    });
}

bool LeaseTable::update(TimePoint now)
{
    // majorityTime is when a majority had applied the index, not when the previous index came in
    // force. Otherwise one lost entry would delay every index by a whole peerConfirmDuration.
    for (Pending &pending : m_pending) {
        if (pending.majorityTime)
            continue;
        if (appliedCount(pending.index) < majority())
            break;
        pending.majorityTime = now;
    }
    bool advanced = false;
    // Indexes come in force in order, since an entry that has applied one has applied all earlier ones.
    while (!m_pending.empty() && isInForce(m_pending.front(), now)) {
        m_inForce = m_pending.front().index;
        m_pending.pop_front();
        advanced = true;
    }
    return advanced;
}

std::map<NodeId, std::string> LeaseTable::blockingEntries(LogIndex index, TimePoint now) const
{
    std::map<NodeId, std::string> result;
    for (const auto &[entry, holder] : m_holders) {
        if (holder.applied >= index)
            continue;
        if (holder.leaseEnd > now)
            result[entry] = "has not applied it; its lease ends in "
                + std::to_string(static_cast<int64_t>(toMilliseconds(holder.leaseEnd - now))) + " ms";
        else if (appliedCount(index) < majority())
            result[entry] = "cannot be reached, and fewer than half of all entries have applied it";
    }
    return result;
}

bool LeaseTable::holdsLease(const NodeId &entry, TimePoint now) const
{
    const auto found = m_holders.find(entry);
    return found != m_holders.end() && found->second.leaseEnd > now;
}

std::optional<uint64_t> LeaseTable::incarnation(const NodeId &entry) const
{
    const auto found = m_holders.find(entry);
    if (found == m_holders.end() || !found->second.hasRequested)
        return std::nullopt;
    return found->second.incarnation;
}

LogIndex LeaseTable::applied(const NodeId &entry) const
{
    const auto found = m_holders.find(entry);
    return found == m_holders.end() ? LogIndex() : found->second.applied;
}

bool LeaseTable::isLeaving(const NodeId &entry) const
{
    const auto found = m_holders.find(entry);
    return found != m_holders.end() && found->second.leaving;
}

} // namespace hickoryspur
