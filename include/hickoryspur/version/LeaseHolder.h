// The entry's side of "in force everywhere": it renews its lease on the control state, and says
// whether this entry may take new work. An entry whose lease runs out asks the other entries how far
// they have applied the state. Nothing is in force before a majority of entries has applied it, so an
// entry that a majority, itself included, has just confirmed to be no older than they are may go on:
// either the control quorum is gone or only this entry's way to it. An entry that cannot reach a
// majority is the one that is cut off, and takes no new work.
#pragma once

#include "hickoryspur/process/ReplicatedLog.h"
#include "hickoryspur/version/LeaseTable.h"

#include <map>
#include <optional>
#include <vector>

namespace hickoryspur {

struct LeaseGrant
{
    int64_t sentAt = 0;
    int64_t durationMicros = 0;
    uint64_t term = 0;
    LogIndex commit;
    LogIndex inForce;
    /** Committed entries after the requested index, or none where the whole state is sent. */
    std::vector<LogEntry> entries;
    std::string state;
    MSGPACK_DEFINE(sentAt, durationMicros, term, commit, inForce, entries, state)
};

/** Asks another entry how far it has applied the state. */
struct PeerConfirmRequest
{
    NodeId from;
    int64_t sentAt = 0;
    LogIndex applied;
    MSGPACK_DEFINE(from, sentAt, applied)
};

struct PeerConfirmReply
{
    NodeId from;
    int64_t sentAt = 0;
    /** False on a process that has not held a lease since it started. */
    bool hasHeldLease = false;
    LogIndex applied;
    /** The newer state, where the asker's is older. */
    std::string state;
    MSGPACK_DEFINE(from, sentAt, hasHeldLease, applied, state)
};

struct LeaseActions
{
    std::vector<std::pair<NodeId, LeaseRequest>> requests;
    std::vector<std::pair<NodeId, PeerConfirmRequest>> confirmRequests;
};

enum class ServingRight { None, Lease, PeerConfirmed };

class LeaseHolder
{
public:
    LeaseHolder(NodeId self, uint64_t incarnation, std::vector<NodeId> entries, std::vector<NodeId> controlNodes,
                LeaseTiming timing);

    LeaseActions tick(TimePoint now);
    /** Notes a grant whose entries the caller has applied; applied is the index reached. */
    void recordGrant(TimePoint now, const LeaseGrant &grant, const NodeId &leader, LogIndex applied);
    PeerConfirmReply makePeerConfirmReply(const PeerConfirmRequest &request) const;
    void recordPeerConfirmReply(const PeerConfirmReply &reply);
    void setApplied(LogIndex applied) { m_applied = applied; }
    void setLeaving() { m_leaving = true; }
    /** Renews at the next tick, for example once a new state has been applied. */
    void renewSoon() { m_nextRenewal = TimePoint(); }

    ServingRight right(TimePoint now) const;
    /** New work may be taken before this time, as things stand; TimePoint() where it may not. */
    TimePoint servesUntil() const;
    LogIndex applied() const { return m_applied; }

private:
    LeaseRequest makeRequest(TimePoint now) const;
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
    /** When this entry last asked each other one that then turned out to be no further than it. */
    std::map<NodeId, TimePoint> m_lastConfirmRequest;
};

} // namespace hickoryspur
