// The leader's side of "in force everywhere": which entries hold a lease on the control state, what
// each has applied, and up to which log index the state is in force. docs/design/in-force.md gives
// the argument. An index is in force when a majority of all entries has applied it and every other
// entry has applied it too, or can no longer serve an older state.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <msgpack.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

struct LeaseTiming
{
    /** How long a lease lasts from when its request was sent. */
    Duration lease = 2s;
    Duration renewal = 400ms;
    /** How long an entry without a lease may serve on the word of a majority of entries. */
    Duration peerConfirmDuration = 1s;
    double allowedDrift = 0.05;
};

struct LeaseRequest
{
    NodeId from;
    uint64_t incarnation = 0;
    LogIndex applied;
    /** The entry's own clock in microseconds; comes back with the grant. */
    int64_t sentAt = 0;
    bool leaving = false;
    MSGPACK_DEFINE(from, incarnation, applied, sentAt, leaving)
};

class LeaseTable
{
public:
    LeaseTable(std::vector<NodeId> entries, LeaseTiming timing);

    /** A new leader knows of no lease, so it takes every entry to hold one that began just now. */
    void startTerm(TimePoint now, LogIndex inForce);
    void recordRequest(TimePoint now, const LeaseRequest &request);
    void recordCommit(LogIndex index);
    /** Moves the in-force index on; true where it moved. */
    bool update(TimePoint now);

    LogIndex inForce() const { return m_inForce; }
    /** The entries that keep an index from being in force, each with the reason in words. */
    std::map<NodeId, std::string> blockingEntries(LogIndex index, TimePoint now) const;
    bool holdsLease(const NodeId &entry, TimePoint now) const;
    std::optional<uint64_t> incarnation(const NodeId &entry) const;
    bool isLeaving(const NodeId &entry) const;
    LogIndex applied(const NodeId &entry) const;
    const std::vector<NodeId> &entries() const { return m_entries; }

private:
    struct Holder
    {
        uint64_t incarnation = 0;
        LogIndex applied;
        TimePoint leaseEnd;
        bool leaving = false;
        bool hasRequested = false;
    };
    struct Pending
    {
        LogIndex index;
        std::optional<TimePoint> majorityTime;
    };

    size_t majority() const { return m_entries.size() / 2 + 1; }
    size_t appliedCount(LogIndex index) const;
    bool isInForce(const Pending &pending, TimePoint now) const;
    Duration maxLease() const;

    std::vector<NodeId> m_entries;
    LeaseTiming m_timing;
    std::map<NodeId, Holder> m_holders;
    std::deque<Pending> m_pending;
    LogIndex m_inForce;
};

} // namespace hickoryspur
