// The leader's side of "in force everywhere": tracks which entries hold a lease on the control state,
// which log index each has applied, and up to which index the state is in force. An index is in force
// when a majority of all entries has applied it, and every other entry has applied it too or can no
// longer serve an older state. docs/design/in-force.md gives the proof.
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
    /** Duration of a lease, counted from when the entry sent its request. */
    Duration lease = 2s;
    /** Interval between the requests of an entry. */
    Duration renewal = 400ms;
    /**
     * How long an entry without a lease may serve once a majority of entries has confirmed its state,
     * counted from when it sent the requests.
     */
    Duration peerConfirmDuration = 1s;
    /** Maximum error in the rate of a host's clock, as a share. */
    double allowedDrift = 0.05;
};

struct LeaseRequest
{
    NodeId from;
    uint64_t incarnation = 0;
    LogIndex applied;
    /** The entry's own clock in microseconds; the grant returns it. */
    int64_t sentAt = 0;
    bool leaving = false;
    MSGPACK_DEFINE(from, incarnation, applied, sentAt, leaving)
};

class LeaseTable
{
public:
    LeaseTable(std::vector<NodeId> entries, LeaseTiming timing);

    /**
     * Starts this host's term as the leader. A new leader does not know which leases its predecessor
     * granted, so it assumes that every entry holds one that began just now.
     */
    void startTerm(TimePoint now, LogIndex inForce);
    void recordRequest(TimePoint now, const LeaseRequest &request);
    void recordCommit(LogIndex index);
    /** Advances the in-force index; returns true if it changed. */
    bool update(TimePoint now);

    LogIndex inForce() const { return m_inForce; }
    /** The entries that prevent an index from being in force, each with the reason for operators. */
    std::map<NodeId, std::string> blockingEntries(LogIndex index, TimePoint now) const;
    bool holdsLease(const NodeId &entry, TimePoint now) const;
    /** Nothing if the entry has not sent a request in this term. */
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
    /** A committed index that is not in force yet. */
    struct Pending
    {
        LogIndex index;
        /** When a majority of entries had applied the index. */
        std::optional<TimePoint> majorityTime;
    };

    size_t majority() const { return m_entries.size() / 2 + 1; }
    size_t appliedCount(LogIndex index) const;
    bool isInForce(const Pending &pending, TimePoint now) const;
    /** Duration of a lease by this host's clock, at the maximum drift. */
    Duration maxLease() const;

    std::vector<NodeId> m_entries;
    LeaseTiming m_timing;
    std::map<NodeId, Holder> m_holders;
    std::deque<Pending> m_pending;
    LogIndex m_inForce;
};

} // namespace hickoryspur
