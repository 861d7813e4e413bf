// All decisions about control state on one node, behind one narrow interface: events in, actions
// out. It owns the replicated log (on a control host), the leader's duties, the entry's lease and
// the directory of upstreams. The control thread drives it in the product; a test or a replay
// drives it with a clock and links of its own, without opening a port.
#pragma once

#include "hickoryspur/connection/UpstreamDirectory.h"
#include "hickoryspur/process/LogStorage.h"
#include "hickoryspur/process/PeerMessage.h"
#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/View.h"
#include "hickoryspur/version/BurnBook.h"
#include "hickoryspur/version/LeaseHolder.h"
#include "hickoryspur/version/LeaseTable.h"
#include "hickoryspur/version/MoveKeeper.h"

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

struct TicketReply
{
    uint64_t ticket = 0;
    ApplyOutcome outcome;
};

/** What the adapter does, in this order: write log and checkpoint, sync, send, answer, publish. */
struct NodeActions
{
    std::vector<LogActions> log;
    std::optional<Checkpoint> checkpoint;
    std::vector<PeerSend> sends;
    std::vector<TicketReply> replies;
    ViewPointer view;
};

struct ControlNodeConfig
{
    Settings settings;
    uint64_t incarnation = 0;
    LogTiming logTiming;
    LeaseTiming leaseTiming;
    /** Entries of the log after which a checkpoint replaces them. */
    uint64_t entriesPerCheckpoint = 1000;
    uint64_t seed = 0;
};

class ControlNode
{
public:
    /** recovered is empty on a node without the control role. */
    ControlNode(ControlNodeConfig config, std::optional<RecoveredStorage> recovered, TimePoint now);

    NodeActions tick(TimePoint now, int64_t wallSeconds);
    NodeActions receive(TimePoint now, const PeerMessage &message);
    /** Everything handed out for the log so far is durable. */
    NodeActions persisted(TimePoint now);
    NodeActions announce(TimePoint now, const Announcement &announcement);
    /** Has a command committed, or brought in force, and answers the ticket; resends until it is answered. */
    NodeActions submit(TimePoint now, uint64_t ticket, Command command, CommandWait wait, Duration timeout);
    /** What this entry's traffic threads have seen; goes to every control host. */
    NodeActions observe(const ObservationBatch &batch);
    /** A control host's book of answers, as saved before its restart. */
    void restoreBurn(BurnBook book) { m_burn = std::move(book); }
    const BurnBook &burn() const { return m_burn; }
    const MoveKeeper &moves() const { return m_moves; }
    void setLeaving() { m_holder.setLeaving(); }

    TimePoint servesUntil() const { return m_holder.servesUntil(); }
    ServingRight right(TimePoint now) const { return m_holder.right(now); }
    const ControlState &state() const { return m_entryState; }
    const UpstreamDirectory &directory() const { return m_directory; }
    const ReplicatedLog *log() const { return m_log ? &*m_log : nullptr; }
    const LeaseTable &leases() const { return m_leases; }
    LogIndex inForce() const { return m_inForce; }
    /** How far this entry has applied the log. */
    LogIndex appliedIndex() const { return m_holder.applied(); }
    std::optional<NodeId> leader() const { return m_leader; }

private:
    struct Ticket
    {
        CommandRequest request;
        TimePoint deadline;
        TimePoint nextSend;
    };
    /** A command that this leader has proposed and whose asker waits. */
    struct PendingCommand
    {
        NodeId sender;
        uint64_t ticket = 0;
        CommandWait wait = CommandWait::Committed;
        TimePoint deadline;
        std::optional<ApplyOutcome> outcome;
    };

    bool leads(TimePoint now) const { return m_log && m_log->isCurrent() && m_log->holdsLease(now); }
    void handleLogActions(TimePoint now, LogActions actions, NodeActions &result);
    void applyCommitted(const std::vector<LogEntry> &entries, NodeActions &result);
    void answerPendingCommands(TimePoint now, NodeActions &result);
    /** What to tell an asker now, if anything yet. */
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
    void handleOrphanQuery(const OrphanQuery &query, NodeActions &result);
    void handleOrphanReply(const OrphanReply &reply);
    void handleDirectory(TimePoint now, const NodeId &from, const DirectoryUpdate &update, NodeActions &result);
    void sendTickets(TimePoint now, NodeActions &result);
    void sendDirectoryUpdates(TimePoint now, NodeActions &result);
    LeaseGrant makeGrant(const LeaseRequest &request) const;
    bool isSettling(TimePoint now) const;
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
    MoveKeeper m_moves;
    BurnBook m_burn;
    LogIndex m_inForce;
    std::optional<NodeId> m_leader;
    std::map<uint64_t, Ticket> m_tickets;
    std::multimap<LogIndex, PendingCommand> m_pendingCommands;
    LogIndex m_housekeepingIndex;
    LogIndex m_lastCheckpoint;
    TimePoint m_homesInForceSince;
    LogIndex m_lastHomeEpochInForce;
    int64_t m_wallSeconds = 0;

    /** Directory revision and applied index at which no shard map was missing from the log. */
    std::pair<uint64_t, LogIndex> m_mapsChecked;
    uint64_t m_publishedRevision = 0;
    LogIndex m_publishedApplied;
    bool m_publishedSettling = false;
    bool m_published = false;
};

} // namespace hickoryspur
