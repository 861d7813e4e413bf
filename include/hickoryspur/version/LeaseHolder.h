// The entry's side of "in force everywhere": renews the entry's lease on the control state, and decides
// whether the entry may accept new work. When its lease is about to expire, the entry asks the other
// entries which log index they have applied. Nothing is in force before a majority of entries has
// applied it, so the entry may continue without a lease while a majority, itself included, has recently
// confirmed that none of them has a newer state: then either the control quorum is lost, or only this
// entry's connection to it. An entry that cannot reach a majority is partitioned and accepts no new work.
#pragma once

#include "hickoryspur/process/ReplicatedLog.h"
#include "hickoryspur/version/LeaseTable.h"

#include <map>
#include <optional>
#include <vector>

namespace hickoryspur {

/** The leader's reply to a LeaseRequest. */
struct LeaseGrant
{
    /** Copied from the request. */
    int64_t sentAt = 0;
    int64_t durationMicros = 0;
    uint64_t term = 0;
    LogIndex commit;
    LogIndex inForce;
    /** Committed entries after the index in the request; empty if `state` holds the whole state instead. */
    std::vector<LogEntry> entries;
    std::string state;
    MSGPACK_DEFINE(sentAt, durationMicros, term, commit, inForce, entries, state)
};

/** Asks another entry which log index it has applied. */
struct PeerConfirmRequest
{
    NodeId from;
    /** The sender's own clock in microseconds; the reply returns it. */
    int64_t sentAt = 0;
    LogIndex applied;
    MSGPACK_DEFINE(from, sentAt, applied)
};

struct PeerConfirmReply
{
    NodeId from;
    int64_t sentAt = 0;
    /** Whether the replying process has held a lease since it started. */
    bool hasHeldLease = false;
    LogIndex applied;
    /** The replying entry's state, if it is newer than that of the requesting entry. */
    std::string state;
    MSGPACK_DEFINE(from, sentAt, hasHeldLease, applied, state)
};

struct LeaseActions
{
    std::vector<std::pair<NodeId, LeaseRequest>> requests;
    std::vector<std::pair<NodeId, PeerConfirmRequest>> confirmRequests;
};

/** What allows an entry to accept new work. */
enum class ServingRight { None, Lease, PeerConfirmed };

class LeaseHolder
{
public:
    LeaseHolder(NodeId self, uint64_t incarnation, std::vector<NodeId> entries, std::vector<NodeId> controlNodes,
                LeaseTiming timing);

    LeaseActions tick(TimePoint now);
    /**
     * Records a grant after the caller has applied its entries up to index `applied`. The lease is
     * extended only if that reaches the grant's commit index; otherwise it is renewed at the next tick.
     */
    void recordGrant(TimePoint now, const LeaseGrant &grant, const NodeId &leader, LogIndex applied);
    PeerConfirmReply makePeerConfirmReply(const PeerConfirmRequest &request) const;
    void recordPeerConfirmReply(const PeerConfirmReply &reply);
    void setApplied(LogIndex applied) { m_applied = applied; }
    void setLeaving() { m_leaving = true; }
    /** Renews the lease at the next tick, for example after a new state has been applied. */
    void renewSoon() { m_nextRenewal = TimePoint(); }

    ServingRight right(TimePoint now) const;
    /**
     * When the current right to accept new work expires; TimePoint() if the process has not held a lease
     * since it started.
     */
    TimePoint servesUntil() const;
    LogIndex applied() const { return m_applied; }

private:
    LeaseRequest makeRequest(TimePoint now) const;
    /** Until when the confirmations of a majority are valid; nothing if there is no such majority. */
    std::optional<TimePoint> peerConfirmationEnd() const;

    NodeId m_self;
    uint64_t m_incarnation;
    std::vector<NodeId> m_entries;
    std::vector<NodeId> m_controlNodes;
    LeaseTiming m_timing;
    LogIndex m_applied;
    std::optional<NodeId> m_leader;
    TimePoint m_leaseEnd;
    TimePoint m_lastGrant;
    TimePoint m_nextRenewal;
    TimePoint m_nextConfirmRequest;
    bool m_hasHeldLease = false;
    bool m_leaving = false;
    /** For each entry that confirmed that its state is no newer: when the confirmed request was sent to it. */
    std::map<NodeId, TimePoint> m_lastConfirmRequest;
};

} // namespace hickoryspur
