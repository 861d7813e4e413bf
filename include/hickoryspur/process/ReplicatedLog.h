// The replicated log that carries all durable state: leader election with pre-vote and
// check-quorum, a leader lease, majority commit, learners, checkpoints and one membership change
// at a time. It does no I/O. The caller feeds it time and messages and carries out the LogActions
// it returns, in this order:
//
//   1. install the checkpoint, truncate, append and save the hard state, then make all of it durable;
//   2. send the messages;
//   3. apply the committed entries;
//   4. call persisted() with the last durable index and carry out what that returns.
//
// A message must never leave before the state it speaks of is durable.
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

/** A control host together with one life of its data folder. A lost disk makes another member. */
struct MemberId
{
    NodeId node;
    DiskIncarnation disk;
    MSGPACK_DEFINE(node, disk)
    auto operator<=>(const MemberId &) const = default;
};

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

struct HardState
{
    Term term;
    MemberId votedFor;
    MSGPACK_DEFINE(term, votedFor)
};

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

struct LogMessage
{
    uint8_t type = 0;
    MemberId from;
    Term term;
    LogIndex index;
    Term indexTerm;
    LogIndex commit;
    std::vector<LogEntry> entries;
    bool accepted = false;
    /** The leader's clock when it sent the message being answered, in microseconds. */
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
    /** A follower that hears nothing for this long, plus up to as much again, asks for an election. */
    Duration electionTimeout = 600ms;
    /** Clocks of two hosts may run apart by this share while a lease lasts. */
    double allowedDrift = 0.05;
    size_t maxEntriesPerMessage = 64;
    size_t maxRecentEntries = 2000;
};

/** What a member finds on its disk when it starts. */
struct RecoveredLog
{
    HardState hardState;
    Checkpoint checkpoint;
    std::vector<LogEntry> entries;
};

class ReplicatedLog
{
public:
    /** controlNodes are asked to take this member in while it belongs to no membership. */
    ReplicatedLog(MemberId self, std::vector<NodeId> controlNodes, RecoveredLog recovered, LogTiming timing,
                  uint64_t seed, TimePoint now);

    LogActions tick(TimePoint now);
    LogActions receive(TimePoint now, const LogMessage &message);
    /** Everything up to this index is durable here. */
    LogActions persisted(TimePoint now, LogIndex index);

    /** Appends a command; fails with NoLeader elsewhere. The index counts only once it is committed. */
    Result<LogIndex> propose(const std::string &command, LogActions &actions);
    /** Adds a learner for a new disk, or removes a member. One change at a time. */
    Result<LogIndex> proposeMembership(const Membership &next, LogActions &actions);

    /** Drops entries up to an applied index whose state the caller has made durable. */
    Checkpoint makeCheckpoint(LogIndex applied, std::string state);

    bool isLeader() const { return m_role == Role::Leader; }
    /** True while no other member can have been elected; what decides something is read under it. */
    bool holdsLease(TimePoint now) const;
    /** True once an entry of this term is committed, so that every earlier committed one is known. */
    bool isCurrent() const { return isLeader() && m_commit >= m_termStart; }
    std::optional<NodeId> leader() const { return m_leader; }
    const MemberId &self() const { return m_self; }
    Term term() const { return m_hardState.term; }
    LogIndex commitIndex() const { return m_commit; }
    LogIndex lastIndex() const;
    LogIndex firstIndex() const { return LogIndex(m_checkpoint.index.value() + 1); }
    const Membership &membership() const;
    bool membershipChangePending() const;
    /** The learner's log holds all that the leader's does. */
    bool isCaughtUp(const MemberId &member) const;
    /** Entries that are not known to be committed. */
    std::vector<LogEntry> uncommitted() const;
    /** Term of the last entry. */
    Term lastTerm() const { return termAt(lastIndex()); }
    /** How long this leader has had no answer from the member; zero on a host that does not lead. */
    Duration timeSinceLastReply(TimePoint now, const MemberId &member) const;
    /** Whom to ask while this member belongs to no membership; replaces what was given before. */
    void setControlNodes(std::vector<NodeId> nodes) { m_controlNodes = std::move(nodes); }
    /** Committed entries after an index, or nothing where a checkpoint has replaced them. */
    std::optional<std::vector<LogEntry>> committedAfter(LogIndex index, size_t maxCount) const;

private:
    enum class Role { Follower, PreCandidate, Candidate, Leader };

    struct Progress
    {
        LogIndex match;
        LogIndex next{1};
        /** The latest send time, on this leader's clock, that the member has answered. */
        std::optional<TimePoint> ackedSend;
        /** When this leader first sent to it; a member is not silent before that. */
        TimePoint trackedSince;
    };

    bool isVoter() const { return membership().isVoter(m_self); }
    Term termAt(LogIndex index) const;
    const LogEntry &entryAt(LogIndex index) const;
    void resetElectionTimer(TimePoint now);
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
    /** The last committed entries, also those behind the checkpoint, for entries that lag a little. */
    std::deque<LogEntry> m_recentEntries;
    std::map<LogIndex, Membership> m_memberships;
    Role m_role = Role::Follower;
    std::optional<NodeId> m_leader;
    LogIndex m_commit;
    LogIndex m_persisted;
    LogIndex m_termStart;
    TimePoint m_electionDeadline;
    TimePoint m_lastLeaderContact;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextJoinRequest;
    TimePoint m_leaderSince;
    std::map<MemberId, Progress> m_progress;
    std::map<MemberId, bool> m_votes;
};

} // namespace hickoryspur
