// The decisions of one control host of a deployment whose hosts are found through seeds: it takes
// part in the replicated log, takes new control hosts in and replaces lost ones, and has operators'
// commands committed. Events in, actions out: the group thread drives it in the product, tests drive
// it with a clock and links of their own.
#pragma once

#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/LogQuorum.h"
#include "hickoryspur/process/LogStorage.h"

#include <deque>
#include <optional>
#include <vector>

namespace hickoryspur {

/** Callers and operators wait while no host leads, so an election starts after a few missed heartbeats. */
constexpr LogTiming kGroupLogTiming{.heartbeat = 60ms, .electionTimeout = 320ms};

struct GroupTiming
{
    LogTiming log = kGroupLogTiming;
    /** A voter silent this long no longer counts, where enough others do; longer than any restart. */
    Duration memberLossTimeout = 10s;
    /** A command that is not committed by then is answered as unknown; callers ask again. */
    Duration commandTimeout = 4s;
    /** More voters would make each commit dearer and bear no more than two lost ones. */
    size_t maxVoters = 5;
    /** With three voters one may be lost. */
    size_t minVoters = 3;
    uint64_t entriesPerCheckpoint = 500;
    /** Configurations are large: the log is kept well below the disk's size. */
    size_t bytesPerCheckpoint = 4ULL * 1024 * 1024;
};

struct CommandAnswer
{
    uint64_t commandId = 0;
    ApplyOutcome outcome;
};

/** What the adapter does, in this order: write the log, the checkpoint, sync, send, answer. */
struct GroupActions
{
    std::vector<LogActions> log;
    std::optional<Checkpoint> checkpoint;
    std::vector<LogEnvelope> messages;
    std::vector<CommandAnswer> answers;
    /** The committed state or the members of the group are others than before. */
    bool stateChanged = false;
};

class GroupNode
{
public:
    GroupNode(const RecoveredStorage &recovered, std::vector<NodeId> seeds, GroupTiming timing, uint64_t seed,
              TimePoint now);

    GroupActions tick(TimePoint now);
    GroupActions receive(TimePoint now, const LogMessage &message);
    /** Everything handed out for the log so far is durable. */
    GroupActions persisted(TimePoint now);
    /** Has a command committed; the answer may come in these actions or later ones. */
    GroupActions submit(TimePoint now, uint64_t commandId, const Command &command);
    void setSeeds(std::vector<NodeId> seeds);

    /** True while this host leads and no newer state can have been acknowledged elsewhere. */
    bool leads(TimePoint now) const { return m_log.isCurrent() && m_log.holdsLease(now); }
    std::optional<NodeId> leader() const { return m_log.leader(); }
    const ControlState &state() const { return m_state; }
    const ReplicatedLog &log() const { return m_log; }
    /** Where this host's whole log leads to, committed or not. */
    LogReport report() const;
    /** Every control host that this one knows of, itself left out. */
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
    void checkpointIfDue(GroupActions &result);
    /** A host that asks to join, or whose own membership is out of date. */
    bool isFromNonMember(const LogMessage &message) const;
    void admitMember(TimePoint now, const LogMessage &message, GroupActions &result);

    GroupTiming m_timing;
    std::vector<NodeId> m_seeds;
    ReplicatedLog m_log;
    ControlState m_state;
    std::deque<PendingCommand> m_pendingCommands;
    LogIndex m_lastCheckpoint;
    size_t m_bytesSinceCheckpoint = 0;
};

} // namespace hickoryspur
