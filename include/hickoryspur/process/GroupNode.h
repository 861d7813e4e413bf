// The logic of one control host in a deployment whose hosts find each other through seeds. It takes
// part in the replicated log, admits new control hosts, replaces lost ones, and commits operators'
// commands. It does no I/O: GroupThread passes in events and executes the returned actions; tests do
// the same with a simulated clock and simulated links.
#pragma once

#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/LogQuorum.h"
#include "hickoryspur/process/LogStorage.h"

#include <deque>
#include <optional>
#include <vector>

namespace hickoryspur {

/** Callers and operators wait while there is no leader, so an election starts after about five missed heartbeats. */
constexpr LogTiming kGroupLogTiming{.heartbeat = 60ms, .electionTimeout = 320ms};

struct GroupTiming
{
    LogTiming log = kGroupLogTiming;
    /** A member that has not answered for this long is silent: see MemberRepair.h. */
    Duration memberSilenceTimeout = 1s;
    /** A member that has not answered for this long counts as lost and may be removed; longer than any restart. */
    Duration memberLossTimeout = 10s;
    /** A command that is not committed in this time is answered with OutcomeUnknown; callers retry. */
    Duration commandTimeout = 4s;
    /** Five voters tolerate the loss of two; more would make each commit more expensive. */
    size_t maxVoters = 5;
    /** Three voters tolerate the loss of one, so a lost voter is removed only while there are more. */
    size_t minVoters = 3;
    uint64_t entriesPerCheckpoint = 500;
    /** Also limits the log by size, since each command may hold a large configuration. */
    size_t bytesPerCheckpoint = 4ULL * 1024 * 1024;
};

/** The outcome of a command that was passed to GroupNode::submit(). */
struct CommandAnswer
{
    uint64_t commandId = 0;
    ApplyOutcome outcome;
};

/** What the caller executes, in this order: write the log and the checkpoint durably, send, answer. */
struct GroupActions
{
    std::vector<LogActions> log;
    std::optional<Checkpoint> checkpoint;
    std::vector<LogEnvelope> messages;
    std::vector<CommandAnswer> answers;
    /** The committed state or the membership of the group has changed. */
    bool stateChanged = false;
};

class GroupNode
{
public:
    GroupNode(const RecoveredStorage &recovered, std::vector<NodeId> seeds, GroupTiming timing, uint64_t seed,
              TimePoint now);

    GroupActions tick(TimePoint now);
    GroupActions receive(TimePoint now, const LogMessage &message);
    /** Reports that all log actions returned so far are durable. */
    GroupActions persisted(TimePoint now);
    /** Proposes a command. Its answer, with the same commandId, is in the returned actions or in later ones. */
    GroupActions submit(TimePoint now, uint64_t commandId, const Command &command);
    void setSeeds(std::vector<NodeId> seeds);

    /** True while this host leads and holds the lease, so that no other host can have acknowledged newer state. */
    bool leads(TimePoint now) const { return m_log.isCurrent() && m_log.holdsLease(now); }
    std::optional<NodeId> leader() const { return m_log.leader(); }
    const ControlState &state() const { return m_state; }
    const ReplicatedLog &log() const { return m_log; }
    /** The state after applying this host's whole log, including entries that are not committed. */
    LogReport report() const;
    /** The seeds and all members of the group, without this host. */
    std::vector<NodeId> knownHosts() const;

private:
    struct PendingCommand
    {
        uint64_t commandId = 0;
        LogIndex index;
        Term term;
        TimePoint deadline;
    };

    void processLogActions(LogActions actions, GroupActions &result);
    void apply(const LogEntry &entry, GroupActions &result);
    void answerAsUnknown(const std::deque<PendingCommand>::const_iterator &end, GroupActions &result);
    void proposeRepair(TimePoint now, GroupActions &result);
    /** Whether the member has not answered for so long while this host has led without interruption; it leads now. */
    bool isUnanswered(TimePoint now, const MemberId &member, Duration timeout) const;
    void checkpointIfDue(GroupActions &result);
    /** Logs at intervals that there is no leader, and whose votes are missing. */
    void reportMissingLeader(TimePoint now);
    /** True for a join request and for a vote request from a host that is no longer a member. */
    bool isFromNonMember(TimePoint now, const LogMessage &message) const;
    void admitMember(TimePoint now, const LogMessage &message, GroupActions &result);

    GroupTiming m_timing;
    std::vector<NodeId> m_seeds;
    ReplicatedLog m_log;
    ControlState m_state;
    std::deque<PendingCommand> m_pendingCommands;
    LogIndex m_lastCheckpoint;
    size_t m_bytesSinceCheckpoint = 0;
    /** Since when this host leads; nullopt while it does not. After a pause, members must have time to answer again. */
    std::optional<TimePoint> m_leadsSince;
    /** When this host last knew a leader, or last logged that it knows none. */
    TimePoint m_leaderKnownAt;
    TimePoint m_leaderReportedAt;
};

} // namespace hickoryspur
