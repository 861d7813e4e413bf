// The control logic of one node as a deterministic state machine: methods take events and return the
// actions to perform. It combines the replicated log (on control hosts), the leader's tasks, the
// entry's lease and the directory of upstreams. ControlThread drives it with the system clock and
// network; tests and replays drive it with a simulated clock and links, and open no port.
#pragma once

#include "hickoryspur/connection/UpstreamDirectory.h"
#include "hickoryspur/process/LogStorage.h"
#include "hickoryspur/process/PeerMessage.h"
#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/View.h"
#include "hickoryspur/version/BurnRateTracker.h"
#include "hickoryspur/version/LeaseHolder.h"
#include "hickoryspur/version/LeaseTable.h"
#include "hickoryspur/version/MoveCoordinator.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace hickoryspur {

struct PeerSend
{
    NodeId to;
    PeerMessageType type = PeerMessageType::Ping;
    std::string payload;
};

/** The outcome of a command that was passed to ControlNode::submit(). */
struct SubmitResult
{
    uint64_t commandId = 0;
    ApplyOutcome outcome;
};

/**
 * Actions for the caller to perform, in this order: write the log and the checkpoint, sync, send the
 * messages, complete the commands, publish the view.
 */
struct NodeActions
{
    std::vector<LogActions> log;
    std::optional<Checkpoint> checkpoint;
    std::vector<PeerSend> sends;
    std::vector<SubmitResult> replies;
    /** The new view to publish; null if nothing has changed. */
    ViewPointer view;
};

struct ControlNodeConfig
{
    Settings settings;
    uint64_t incarnation = 0;
    LogTiming logTiming;
    LeaseTiming leaseTiming;
    /** Number of log entries after which a checkpoint replaces them. */
    uint64_t entriesPerCheckpoint = 1000;
    uint64_t seed = 0;
};

class ControlNode
{
public:
    /** @param recovered The stored log; empty on a node without the control role. */
    ControlNode(ControlNodeConfig config, std::optional<RecoveredStorage> recovered, TimePoint now);

    NodeActions tick(TimePoint now, int64_t wallSeconds);
    NodeActions receive(TimePoint now, const PeerMessage &message);
    /** Called when all log actions returned so far are durable. */
    NodeActions persisted(TimePoint now);
    NodeActions announce(TimePoint now, const Announcement &announcement);
    /**
     * Submits a command to the leader and resends it until it is answered or the timeout passes.
     * The answer comes when the command is committed or, if `wait` asks for that, in force.
     */
    NodeActions submit(TimePoint now, uint64_t commandId, Command command, CommandWait wait, Duration timeout);
    /** Sends the observations of this entry's traffic threads to every control host. */
    NodeActions observe(const ObservationBatch &batch);
    /** Restores the burn rates that this control host saved before its restart. */
    void restoreBurn(BurnRateTracker tracker) { m_burn = std::move(tracker); }
    const BurnRateTracker &burn() const { return m_burn; }
    const MoveCoordinator &moves() const { return m_moves; }
    void setLeaving() { m_holder.setLeaving(); }

    TimePoint servesUntil() const { return m_holder.servesUntil(); }
    ServingRight right(TimePoint now) const { return m_holder.right(now); }
    const ControlState &state() const { return m_entryState; }
    const UpstreamDirectory &directory() const { return m_directory; }
    const ReplicatedLog *log() const { return m_log ? &*m_log : nullptr; }
    const LeaseTable &leases() const { return m_leases; }
    LogIndex inForce() const { return m_inForce; }
    /** Index of the last log entry that this entry has applied. */
    LogIndex appliedIndex() const { return m_holder.applied(); }
    std::optional<NodeId> leader() const { return m_leader; }

private:
    /** A command submitted on this node that the leader has not yet answered. */
    struct SubmittedCommand
    {
        CommandRequest request;
        TimePoint deadline;
        TimePoint nextSend;
    };
    /** A command that this leader has proposed and not yet answered. */
    struct PendingCommand
    {
        NodeId sender;
        uint64_t commandId = 0;
        CommandWait wait = CommandWait::Committed;
        TimePoint deadline;
        std::optional<ApplyOutcome> outcome;
    };

    bool leads(TimePoint now) const { return m_log && m_log->isCurrent() && m_log->holdsLease(now); }
    void handleLogActions(TimePoint now, LogActions actions, NodeActions &result);
    void applyCommitted(const std::vector<LogEntry> &entries, NodeActions &result);
    void answerPendingCommands(TimePoint now, NodeActions &result);
    /** The answer to the sender, or nothing while the command is neither complete nor past its deadline. */
    std::optional<ApplyOutcome> finalOutcome(TimePoint now, LogIndex index, const PendingCommand &pending) const;
    void answer(const PendingCommand &pending, const ApplyOutcome &outcome, NodeActions &result);
    void runLeaderTasks(TimePoint now, NodeActions &result);
    void proposeHousekeeping(TimePoint now, NodeActions &result);
    void repairMembership(TimePoint now, NodeActions &result);
    std::optional<Command> nextHousekeeping(TimePoint now);
    std::optional<Command> nextMove(TimePoint now);
    std::optional<Command> nextShardMap();
    std::optional<Command> nextEntryChange(TimePoint now) const;
    void checkpointIfDue(NodeActions &result);
    void pushStateToEntries(NodeActions &result);

    void handleCommand(TimePoint now, const NodeId &from, const CommandRequest &request, NodeActions &result);
    void handleLeaseRequest(TimePoint now, const LeaseRequest &request, NodeActions &result);
    void handleLeaseGrant(TimePoint now, const NodeId &from, const LeaseGrant &grant, NodeActions &result);
    void handlePeerConfirmRequest(const PeerConfirmRequest &request, NodeActions &result);
    void handlePeerConfirmReply(const PeerConfirmReply &reply);
    void handleDirectory(TimePoint now, const NodeId &from, const DirectoryUpdate &update, NodeActions &result);
    void sendSubmittedCommands(TimePoint now, NodeActions &result);
    void sendDirectoryUpdates(TimePoint now, NodeActions &result);
    LeaseGrant makeGrant(const LeaseRequest &request) const;
    /** True after a change of home epoch, until all work of the previous homes has ended. */
    bool isHandoverPending(TimePoint now) const;
    void publishIfChanged(TimePoint now, NodeActions &result);

    template <typename Message>
    void send(const NodeId &to, PeerMessageType type, const Message &message, NodeActions &result);

    ControlNodeConfig m_config;
    std::optional<ReplicatedLog> m_log;
    ControlState m_logState;
    ControlState m_entryState;
    LeaseTable m_leases;
    LeaseHolder m_holder;
    UpstreamDirectory m_directory;
    ViewBuilder m_views;
    DocumentCache m_documents;
    MoveCoordinator m_moves;
    BurnRateTracker m_burn;
    LogIndex m_inForce;
    std::optional<NodeId> m_leader;
    std::map<uint64_t, SubmittedCommand> m_submittedCommands;
    std::multimap<LogIndex, PendingCommand> m_pendingCommands;
    LogIndex m_housekeepingIndex;
    LogIndex m_lastCheckpoint;
    TimePoint m_homesInForceSince;
    LogIndex m_lastHomeEpochInForce;
    int64_t m_wallSeconds = 0;

    /** Directory revision and applied index at which the log last contained every shard map. */
    std::pair<uint64_t, LogIndex> m_mapsChecked;
    uint64_t m_publishedRevision = 0;
    LogIndex m_publishedApplied;
    bool m_publishedHandoverPending = false;
    bool m_published = false;
};

} // namespace hickoryspur
