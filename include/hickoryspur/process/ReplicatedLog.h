// A replicated log in the manner of Raft, which holds all durable state of the control hosts: leader
// election with pre-vote and check-quorum, a leader lease, commit by majority, learners, checkpoints
// and one membership change at a time. It does no I/O. The caller passes in the time and the received
// messages and executes the returned LogActions in this order:
//
//   1. install the checkpoint, truncate, append and save the hard state, then make all of it durable;
//   2. send the messages;
//   3. apply the committed entries;
//   4. call persisted() with the last durable index and execute the actions it returns.
//
// A message must not be sent before the state that it reports is durable.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/ResultCode.h"
#include "hickoryspur/process/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hickoryspur {

/**
 * A member of the group: a control host and the incarnation of its data folder. A host that lost its
 * disk comes back with a new incarnation and therefore as a new member.
 */
struct MemberId
{
    NodeId node;
    DiskIncarnation disk;
    MSGPACK_DEFINE(node, disk)
    auto operator<=>(const MemberId &) const = default;
};

/** The members of the group. Voters count towards majorities; learners only receive the log. */
struct Membership
{
    std::vector<MemberId> voters;
    std::vector<MemberId> learners;
    MSGPACK_DEFINE(voters, learners)
    bool operator==(const Membership &) const = default;

    bool isVoter(const MemberId &member) const;
    bool isLearner(const MemberId &member) const;
    size_t majority() const { return voters.size() / 2 + 1; }
};

/** TermStart is the empty entry with which a new leader opens its term. */
enum class EntryKind : uint8_t { Command = 0, Membership = 1, TermStart = 2 };

struct LogEntry
{
    LogIndex index;
    Term term;
    uint8_t kind = 0;
    std::string data;
    MSGPACK_DEFINE(index, term, kind, data)
    bool operator==(const LogEntry &) const = default;
};

/** The part of the election state that must be durable before a vote or a new term is announced. */
struct HardState
{
    Term term;
    MemberId votedFor;
    MSGPACK_DEFINE(term, votedFor)
};

/** The serialized state after applying all entries up to index; it replaces those entries. */
struct Checkpoint
{
    LogIndex index;
    Term term;
    Membership membership;
    std::string state;
    MSGPACK_DEFINE(index, term, membership, state)
};

enum class LogMessageType : uint8_t {
    PreVoteRequest,
    PreVoteReply,
    VoteRequest,
    VoteReply,
    Append,
    AppendReply,
    InstallCheckpoint,
    JoinRequest,
};

/** One message between members. Which fields are used depends on the type. */
struct LogMessage
{
    uint8_t type = 0;
    MemberId from;
    Term term;
    /**
     * In an Append, the entry before the first one sent; in a vote request, the sender's last entry; in
     * an accepted AppendReply, the last matching entry, in a rejected one, the entry to continue after.
     */
    LogIndex index;
    Term indexTerm;
    LogIndex commit;
    std::vector<LogEntry> entries;
    bool accepted = false;
    /** Send time of an Append or InstallCheckpoint on the leader's clock, in microseconds; the reply echoes it. */
    int64_t sentAt = 0;
    Checkpoint checkpoint;
    MSGPACK_DEFINE(type, from, term, index, indexTerm, commit, entries, accepted, sentAt, checkpoint)

    LogMessageType kind() const { return static_cast<LogMessageType>(type); }
};

struct LogEnvelope
{
    NodeId to;
    LogMessage message;
};

/** What the caller of ReplicatedLog executes, in the order given at the head of this file. */
struct LogActions
{
    std::optional<Checkpoint> installCheckpoint;
    std::optional<LogIndex> truncateFrom;
    std::vector<LogEntry> append;
    std::optional<HardState> saveHardState;
    std::vector<LogEnvelope> messages;
    std::vector<LogEntry> committed;
    bool becameLeader = false;
    bool lostLeadership = false;

    bool needsSync() const { return installCheckpoint || truncateFrom || !append.empty() || saveHardState; }
};

struct LogTiming
{
    Duration heartbeat = 100ms;
    /** A follower that receives no heartbeat for one to two times this long, at random, starts a pre-vote. */
    Duration electionTimeout = 600ms;
    /** Maximum clock drift between two hosts, as a fraction of elapsed time; shortens the leader lease. */
    double allowedDrift = 0.05;
    size_t maxEntriesPerMessage = 64;
    /** Committed entries that stay in memory, also after a checkpoint has replaced them. */
    size_t maxRecentEntries = 2000;
};

/** The durable state that a member reads from its disk when it starts. */
struct RecoveredLog
{
    HardState hardState;
    Checkpoint checkpoint;
    std::vector<LogEntry> entries;
    /** About how long a vote takes to be written, as far as opening the log has shown. */
    Duration writeTime = Duration::zero();
};

class ReplicatedLog
{
public:
    /** controlNodes receive this member's join requests while it belongs to no membership. */
    ReplicatedLog(MemberId self, std::vector<NodeId> controlNodes, RecoveredLog recovered, LogTiming timing,
                  uint64_t seed, TimePoint now);

    LogActions tick(TimePoint now);
    LogActions receive(TimePoint now, const LogMessage &message);
    /**
     * Reports that all entries up to this index are durable on this host. It has done nothing else since the event that
     * caused the write; after a slow write it waits longer for others.
     */
    LogActions persisted(TimePoint now, LogIndex index);

    /** Appends a command and returns its index; not yet committed. Fails with NoLeader on other hosts. */
    Result<LogIndex> propose(const std::string &command, LogActions &actions);
    /** Appends a new membership. Fails with MemberChangePending while an earlier change is not committed. */
    Result<LogIndex> proposeMembership(const Membership &next, LogActions &actions);

    /** Replaces the entries up to an applied index by a checkpoint, which the caller makes durable. */
    Checkpoint makeCheckpoint(LogIndex applied, std::string state);

    bool isLeader() const { return m_role == Role::Leader; }
    /** True while no other member can have been elected; required for reads that a decision depends on. */
    bool holdsLease(TimePoint now) const;
    /**
     * True on a leader that has committed an entry of its own term. Only then does its commit index
     * cover all entries that earlier leaders committed.
     */
    bool isCurrent() const { return isLeader() && m_commit >= m_termStart; }
    std::optional<NodeId> leader() const { return m_leader; }
    /** True while a leader's heartbeats arrive at this member, so that it refuses every vote. */
    bool followsLeader(TimePoint now) const { return !isLeader() && m_leader && hasRecentLeaderContact(now); }
    /** Whether the voter has granted this member its vote, or its pre-vote, in the latest round. */
    bool hasVoteOf(const MemberId &voter) const { return m_votes.contains(voter); }
    const MemberId &self() const { return m_self; }
    Term term() const { return m_hardState.term; }
    LogIndex commitIndex() const { return m_commit; }
    LogIndex lastIndex() const;
    LogIndex firstIndex() const { return LogIndex(m_checkpoint.index.value() + 1); }
    const Membership &membership() const;
    bool membershipChangePending() const;
    /** True on a leader when the member's log holds every entry that is committed. */
    bool isCaughtUp(const MemberId &member) const;
    /** The entries of this log after the commit index. */
    std::vector<LogEntry> uncommitted() const;
    Term lastTerm() const { return termAt(lastIndex()); }
    /** Time since this leader sent the latest message that the member answered; zero on a host that does not lead. */
    Duration timeSinceLastReply(TimePoint now, const MemberId &member) const;
    /** Replaces the hosts that receive join requests while this member belongs to no membership. */
    void setControlNodes(std::vector<NodeId> nodes) { m_controlNodes = std::move(nodes); }
    /** At most maxCount committed entries after an index; nullopt if they are no longer in memory. */
    std::optional<std::vector<LogEntry>> committedAfter(LogIndex index, size_t maxCount) const;

private:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    /** What the leader knows of another member's log. */
    struct Progress
    {
        /** Last entry that the member is known to hold. */
        LogIndex match;
        /** First entry of the next message to the member. */
        LogIndex next{1};
        /** Send time of an Append that offers the entries behind the leader's checkpoint, until it is answered. */
        std::optional<int64_t> checkpointProbe;
        /** Send time, on this leader's clock, of the latest message that the member has answered. */
        std::optional<TimePoint> ackedSend;
        /** When this leader began to send to the member; timeSinceLastReply() counts from here at the earliest. */
        TimePoint trackedSince;
    };

    bool isVoter() const { return membership().isVoter(m_self); }
    Term termAt(LogIndex index) const;
    const LogEntry &entryAt(LogIndex index) const;
    /** Whether this log has the entry, in its checkpoint or behind it; then all earlier entries agree too. */
    bool holds(LogIndex index, Term term) const;
    /** Sets the time of the next election to the minimum from now, and a random part. */
    void startElectionTimer(TimePoint now, Duration minimum);
    void resetElectionTimer(TimePoint now);
    /** A write that the latest event caused has ended. */
    void recordWrite(TimePoint now);
    /** Time to add to what is allowed for the others' messages, since their disks may be as slow as this one. */
    Duration slowWriteAllowance() const;
    bool hasRecentLeaderContact(TimePoint now) const;
    bool isLogUpToDate(LogIndex index, Term term) const;
    std::vector<MemberId> otherMembers() const;

    void becomeFollower(Term term, TimePoint now, LogActions &actions);
    void requestJoin(TimePoint now, LogActions &actions);
    void startPreVote(TimePoint now, LogActions &actions);
    void startElection(TimePoint now, LogActions &actions);
    void becomeLeader(TimePoint now, LogActions &actions);
    void requestVotes(LogMessageType type, Term term, LogActions &actions);
    void handleVoteReply(TimePoint now, const LogMessage &message, LogActions &actions);
    void admitLearner(const MemberId &member, LogActions &actions);
    void handleVoteRequest(TimePoint now, const LogMessage &message, LogActions &actions);
    void handleAppend(TimePoint now, const LogMessage &message, LogActions &actions);
    void handleAppendReply(TimePoint now, const LogMessage &message, LogActions &actions);
    void handleCheckpoint(TimePoint now, const LogMessage &message, LogActions &actions);
    void appendFromLeader(const LogMessage &message, LogActions &actions);
    void truncate(LogIndex from, LogActions &actions);
    void appendEntry(LogEntry entry, LogActions &actions);
    void recordMembership(const LogEntry &entry);
    void resumeAfterRejection(TimePoint now, const LogMessage &reply, Progress &progress, LogActions &actions);
    void sendAppend(TimePoint now, const MemberId &to, LogActions &actions);
    void sendHeartbeats(TimePoint now, LogActions &actions);
    void startTracking(TimePoint now, const MemberId &member);
    void advanceCommit(LogActions &actions);
    void commitTo(LogIndex index, LogActions &actions);
    std::optional<TimePoint> quorumAckedSend() const;
    LogMessage makeMessage(LogMessageType type, Term term) const;

    MemberId m_self;
    std::vector<NodeId> m_controlNodes;
    LogTiming m_timing;
    std::mt19937_64 m_random;
    HardState m_hardState;
    Checkpoint m_checkpoint;
    std::vector<LogEntry> m_entries;
    /** The latest committed entries, including some that the checkpoint covers, for readers slightly behind. */
    std::deque<LogEntry> m_recentEntries;
    /** The memberships in the log by index, from the checkpoint's on; the last one is in effect. */
    std::map<LogIndex, Membership> m_memberships;
    Role m_role = Role::Follower;
    std::optional<NodeId> m_leader;
    LogIndex m_commit;
    LogIndex m_persisted;
    /** Index of the first entry of this leader's term. */
    LogIndex m_termStart;
    TimePoint m_electionDeadline;
    /** The latest event. */
    TimePoint m_eventAt;
    /** How long the latest slow write took; halved by each that is not slow. */
    Duration m_slowWrite = Duration::zero();
    TimePoint m_lastLeaderContact;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextJoinRequest;
    TimePoint m_leaderSince;
    std::map<MemberId, Progress> m_progress;
    std::map<MemberId, bool> m_votes;
};

} // namespace hickoryspur
