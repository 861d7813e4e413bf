#include "hickoryspur/process/ControlNode.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MemberRepair.h"
#include "hickoryspur/process/MessageCodec.h"

#include <algorithm>

namespace hickoryspur {

namespace {

constexpr Duration kCommandResendInterval = 300ms;
constexpr size_t kEntriesPerGrant = 256;
/** Longer than the longest deadline in any document, so that all work of the previous home has ended. */
constexpr Duration kHomeHandover = 1s;

std::string shardMapSubject(const Announcement &announcement)
{
    return std::string(environmentName(static_cast<Environment>(announcement.environment))) + '/'
        + announcement.service.value();
}

} // namespace

ControlNode::ControlNode(ControlNodeConfig config, std::optional<RecoveredStorage> recovered, TimePoint now)
    : m_config(std::move(config))
    , m_leases(m_config.settings.entryNodes(), m_config.leaseTiming)
    , m_holder(m_config.settings.node, m_config.incarnation, m_config.settings.entryNodes(),
               m_config.settings.controlNodes(), m_config.leaseTiming)
    , m_views(m_config.settings)
{
    if (!recovered)
        return;
    m_logState = ControlState::deserialize(recovered->log.checkpoint.state).value_or(ControlState());
    m_lastCheckpoint = recovered->log.checkpoint.index;
    m_log.emplace(recovered->self, m_config.settings.controlNodes(), std::move(recovered->log), m_config.logTiming,
                  m_config.seed, now);
}

template <typename Message>
void ControlNode::send(const NodeId &to, PeerMessageType type, const Message &message, NodeActions &result)
{
    result.sends.push_back({to, type, pack(message)});
}

void ControlNode::handleLogActions(TimePoint now, LogActions actions, NodeActions &result)
{
    if (actions.installCheckpoint) {
        m_logState = ControlState::deserialize(actions.installCheckpoint->state).value_or(ControlState());
        m_lastCheckpoint = actions.installCheckpoint->index;
    }
    if (actions.becameLeader) {
        HS_LOG(INFO, LogEvent::LeaderElected) << m_config.settings.node << " leads term " << m_log->term();
        m_leases.startTerm(now, m_inForce);
    }
    if (actions.lostLeadership) {
        HS_LOG(WARNING, LogEvent::LeaderLost)
            << m_config.settings.node << " no longer leads; senders resend their pending commands to the next leader";
        m_pendingCommands.clear();
    }
    for (const LogEnvelope &envelope : actions.messages)
        send(envelope.to, PeerMessageType::Log, envelope.message, result);
    actions.messages.clear();
    const std::vector<LogEntry> committed = std::move(actions.committed);
    if (actions.needsSync())
        result.log.push_back(std::move(actions));
    applyCommitted(committed, result);
    if (!committed.empty())
        answerPendingCommands(now, result);
}

void ControlNode::applyCommitted(const std::vector<LogEntry> &entries, NodeActions &result)
{
    for (const LogEntry &entry : entries) {
        ApplyOutcome outcome;
        if (entry.kind == static_cast<uint8_t>(EntryKind::Command)) {
            const std::optional<Command> command = unpack<Command>(entry.data);
            if (command)
                outcome = m_logState.apply(entry.index, *command);
        }
        m_leases.recordCommit(entry.index);
        const auto [first, last] = m_pendingCommands.equal_range(entry.index);
        for (auto item = first; item != last; ++item)
            item->second.outcome = outcome;
    }
    if (!entries.empty() && m_log->isLeader())
        pushStateToEntries(result);
}

void ControlNode::pushStateToEntries(NodeActions &result)
{
    // A grant of duration 0 extends no lease. It only carries the new log entries, which the entry
    // acknowledges with its next renewal.
    for (const NodeId &entry : m_leases.entries()) {
        LeaseRequest request;
        request.from = entry;
        request.applied = m_leases.applied(entry);
        LeaseGrant grant = makeGrant(request);
        grant.durationMicros = 0;
        send(entry, PeerMessageType::LeaseGrant, grant, result);
    }
}

void ControlNode::answer(const PendingCommand &pending, const ApplyOutcome &outcome, NodeActions &result)
{
    send(pending.sender, PeerMessageType::CommandReply, CommandReply{pending.commandId, outcome}, result);
}

std::optional<ApplyOutcome> ControlNode::finalOutcome(TimePoint now, LogIndex index,
                                                      const PendingCommand &pending) const
{
    if (!pending.outcome)
        return std::nullopt;
    if (pending.wait == CommandWait::Committed || !pending.outcome->ok() || index <= m_leases.inForce())
        return pending.outcome;
    if (now < pending.deadline)
        return std::nullopt;
    ApplyOutcome outcome = *pending.outcome;
    outcome.code = static_cast<int>(ResultCode::NotInForce);
    outcome.message = "accepted, but not in force yet";
    for (const auto &[entry, reason] : m_leases.blockingEntries(index, now))
        outcome.message += "; " + entry.value() + ' ' + reason;
    return outcome;
}

void ControlNode::answerPendingCommands(TimePoint now, NodeActions &result)
{
    if (!leads(now))
        return;
    for (auto item = m_pendingCommands.begin(); item != m_pendingCommands.end();) {
        const std::optional<ApplyOutcome> outcome = finalOutcome(now, item->first, item->second);
        if (!outcome) {
            ++item;
            continue;
        }
        answer(item->second, *outcome, result);
        item = m_pendingCommands.erase(item);
    }
}

NodeActions ControlNode::tick(TimePoint now, int64_t wallSeconds)
{
    NodeActions result;
    m_wallSeconds = wallSeconds;
    if (m_log) {
        handleLogActions(now, m_log->tick(now), result);
        runLeaderTasks(now, result);
        checkpointIfDue(result);
    }
    const LeaseActions lease = m_holder.tick(now);
    for (const auto &[to, request] : lease.requests)
        send(to, PeerMessageType::LeaseRequest, request, result);
    for (const auto &[to, request] : lease.confirmRequests)
        send(to, PeerMessageType::PeerConfirmRequest, request, result);
    sendDirectoryUpdates(now, result);
    sendSubmittedCommands(now, result);
    publishIfChanged(now, result);
    return result;
}

void ControlNode::runLeaderTasks(TimePoint now, NodeActions &result)
{
    if (!leads(now))
        return;
    if (m_leases.update(now))
        m_inForce = std::max(m_inForce, m_leases.inForce());
    proposeHousekeeping(now, result);
    repairMembership(now, result);
    answerPendingCommands(now, result);
}

void ControlNode::proposeHousekeeping(TimePoint now, NodeActions &result)
{
    if (m_housekeepingIndex > m_log->commitIndex())
        return;
    std::optional<Command> command = nextHousekeeping(now);
    if (!command)
        return;
    command->wallSeconds = m_wallSeconds;
    LogActions actions;
    const Result<LogIndex> index = m_log->propose(pack(*command), actions);
    if (index)
        m_housekeepingIndex = *index;
    handleLogActions(now, std::move(actions), result);
}

std::optional<Command> ControlNode::nextHousekeeping(TimePoint now)
{
    std::optional<Command> command = nextEntryChange(now);
    if (!command)
        command = nextShardMap();
    const DocumentVersion *trial = m_logState.current(Environment::Trial);
    if (!command && trial && !trial->tried && trial->index <= m_leases.inForce().value()) {
        command.emplace();
        command->type = static_cast<uint8_t>(CommandType::MarkTried);
        command->digest = trial->digest;
    }
    return command ? command : nextMove(now);
}

std::optional<Command> ControlNode::nextMove(TimePoint now)
{
    m_moves.updateStates(now, m_logState.moves());
    const DocumentVersion *production = m_logState.current(Environment::Production);
    if (!production)
        return std::nullopt;
    const auto next = m_moves.nextChange(now, m_wallSeconds, m_documents.get(*production), production->number);
    if (!next)
        return std::nullopt;
    const auto &[service, state] = *next;
    HS_LOG(INFO, LogEvent::MoveStarted) << service << ": " << moveStatusName(state.kind()) << " to " << state.to
                                        << ", share " << state.share() << ' ' << state.reason;
    Command command;
    command.type = static_cast<uint8_t>(CommandType::SetMove);
    command.subject = service;
    command.text = pack(state);
    return command;
}

NodeActions ControlNode::observe(const ObservationBatch &batch)
{
    NodeActions result;
    for (const NodeId &node : m_config.settings.controlNodes())
        send(node, PeerMessageType::Observations, batch, result);
    return result;
}

std::optional<Command> ControlNode::nextEntryChange(TimePoint now) const
{
    for (const NodeId &entry : m_leases.entries()) {
        const auto recorded = m_logState.entries().find(entry.value());
        const std::optional<uint64_t> incarnation = m_leases.incarnation(entry);
        const bool present = m_leases.holdsLease(entry, now) && incarnation.has_value() && !m_leases.isLeaving(entry);
        const bool absent = !m_leases.holdsLease(entry, now) || m_leases.isLeaving(entry);
        Command command;
        command.subject = entry.value();
        if (present && (recorded == m_logState.entries().end() || recorded->second != *incarnation)) {
            command.type = static_cast<uint8_t>(CommandType::EntryUp);
            command.number = *incarnation;
            return command;
        }
        if (absent && recorded != m_logState.entries().end()) {
            command.type = static_cast<uint8_t>(CommandType::EntryDown);
            return command;
        }
    }
    return std::nullopt;
}

std::optional<Command> ControlNode::nextShardMap()
{
    const std::pair<uint64_t, LogIndex> current(m_directory.revision(), m_logState.appliedIndex());
    if (current == m_mapsChecked)
        return std::nullopt;
    for (const Announcement &announcement : m_directory.records()) {
        const std::string subject = shardMapSubject(announcement);
        const auto maps = m_logState.shardMaps().find(subject);
        const auto isKnown = [&](const ShardMap &map) { return map.generation >= announcement.generation; };
        if (maps != m_logState.shardMaps().end() && std::any_of(maps->second.begin(), maps->second.end(), isKnown))
            continue;
        Command command;
        command.type = static_cast<uint8_t>(CommandType::SetShardMap);
        command.subject = subject;
        command.number = announcement.generation.value();
        command.count = announcement.shardCount;
        return command;
    }
    m_mapsChecked = current;
    return std::nullopt;
}

void ControlNode::repairMembership(TimePoint now, NodeActions &result)
{
    if (m_log->membershipChangePending())
        return;
    RepairInputs inputs;
    inputs.isCaughtUp = [this](const MemberId &member) { return m_log->isCaughtUp(member); };
    const std::optional<Membership> next = nextRepairStep(m_log->membership(), inputs);
    if (!next)
        return;
    LogActions actions;
    if (m_log->proposeMembership(*next, actions))
        HS_LOG(INFO, LogEvent::MemberChanged)
            << next->voters.size() << " voters, " << next->learners.size() << " learners";
    handleLogActions(now, std::move(actions), result);
}

void ControlNode::checkpointIfDue(NodeActions &result)
{
    const LogIndex applied = m_log->commitIndex();
    if (applied.value() - m_lastCheckpoint.value() < m_config.entriesPerCheckpoint)
        return;
    result.checkpoint = m_log->makeCheckpoint(applied, m_logState.serialize());
    m_lastCheckpoint = applied;
}

NodeActions ControlNode::persisted(TimePoint now)
{
    NodeActions result;
    if (m_log)
        handleLogActions(now, m_log->persisted(now, m_log->lastIndex()), result);
    return result;
}

NodeActions ControlNode::receive(TimePoint now, const PeerMessage &message)
{
    NodeActions result;
    const std::string &payload = message.payload;
    switch (message.kind()) {
    case PeerMessageType::Ping:
        result.sends.push_back({message.from, PeerMessageType::Pong, ""});
        break;
    case PeerMessageType::Log:
        if (const auto log = unpack<LogMessage>(payload); log && m_log)
            handleLogActions(now, m_log->receive(now, *log), result);
        break;
    case PeerMessageType::LeaseRequest:
        if (const auto request = unpack<LeaseRequest>(payload))
            handleLeaseRequest(now, *request, result);
        break;
    case PeerMessageType::LeaseGrant:
        if (const auto grant = unpack<LeaseGrant>(payload))
            handleLeaseGrant(now, message.from, *grant, result);
        break;
    case PeerMessageType::PeerConfirmRequest:
        if (const auto request = unpack<PeerConfirmRequest>(payload))
            handlePeerConfirmRequest(*request, result);
        break;
    case PeerMessageType::PeerConfirmReply:
        if (const auto reply = unpack<PeerConfirmReply>(payload))
            handlePeerConfirmReply(*reply);
        break;
    case PeerMessageType::Directory:
        if (const auto update = unpack<DirectoryUpdate>(payload))
            handleDirectory(now, message.from, *update, result);
        break;
    case PeerMessageType::Observations:
        if (const auto batch = unpack<ObservationBatch>(payload); batch && m_log) {
            m_burn.add(m_wallSeconds, *batch);
            // Only the leader closes observation windows; on a follower they would grow without bound.
            if (m_log->isLeader())
                m_moves.addObservations(*batch);
        }
        break;
    case PeerMessageType::CommandRequest:
        if (const auto request = unpack<CommandRequest>(payload))
            handleCommand(now, message.from, *request, result);
        break;
    case PeerMessageType::CommandReply:
        if (const auto reply = unpack<CommandReply>(payload); reply && m_submittedCommands.erase(reply->commandId) > 0)
            result.replies.push_back({reply->commandId, reply->outcome});
        break;
    default:
        break;
    }
    return result;
}

void ControlNode::handleCommand(TimePoint now, const NodeId &from, const CommandRequest &request, NodeActions &result)
{
    if (!leads(now))
        return; // The sender resends the command until a leader answers it.
    const auto same = [&](const auto &item) {
        return item.second.sender == from && item.second.commandId == request.commandId;
    };
    if (std::any_of(m_pendingCommands.begin(), m_pendingCommands.end(), same))
        return;
    LogActions actions;
    Command command = request.command;
    command.wallSeconds = m_wallSeconds;
    const Result<LogIndex> index = m_log->propose(pack(command), actions);
    if (index)
        m_pendingCommands.emplace(*index,
                                  PendingCommand{from, request.commandId, static_cast<CommandWait>(request.wait),
                                                 now + Duration(request.timeoutMicros), std::nullopt});
    handleLogActions(now, std::move(actions), result);
}

LeaseGrant ControlNode::makeGrant(const LeaseRequest &request) const
{
    LeaseGrant grant;
    grant.sentAt = request.sentAt;
    grant.durationMicros = m_config.leaseTiming.lease.count();
    grant.term = m_log->term().value();
    grant.commit = m_log->commitIndex();
    grant.inForce = m_leases.inForce();
    if (const auto entries = m_log->committedAfter(request.applied, kEntriesPerGrant))
        grant.entries = *entries;
    else
        grant.state = m_logState.serialize();
    return grant;
}

void ControlNode::handleLeaseRequest(TimePoint now, const LeaseRequest &request, NodeActions &result)
{
    if (!leads(now))
        return;
    m_leases.recordRequest(now, request);
    send(request.from, PeerMessageType::LeaseGrant, makeGrant(request), result);
}

void ControlNode::handleLeaseGrant(TimePoint now, const NodeId &from, const LeaseGrant &grant, NodeActions &result)
{
    const LogIndex before = m_holder.applied();
    if (!grant.state.empty()) {
        std::optional<ControlState> state = ControlState::deserialize(grant.state);
        if (state && state->appliedIndex() >= m_entryState.appliedIndex()) {
            m_entryState = std::move(*state);
            m_holder.setApplied(std::max(m_holder.applied(), grant.commit));
        }
    }
    LogIndex applied = m_holder.applied();
    for (const LogEntry &entry : grant.entries) {
        if (entry.index.value() != applied.value() + 1)
            continue;
        if (entry.kind == static_cast<uint8_t>(EntryKind::Command))
            if (const std::optional<Command> command = unpack<Command>(entry.data))
                m_entryState.apply(entry.index, *command);
        applied = entry.index;
    }
    m_holder.setApplied(applied);
    m_leader = from;
    m_inForce = std::max(m_inForce, grant.inForce);
    if (grant.durationMicros > 0)
        m_holder.recordGrant(now, grant, from, applied);
    if (applied > before)
        m_holder.renewSoon();
    publishIfChanged(now, result);
}

void ControlNode::handlePeerConfirmRequest(const PeerConfirmRequest &request, NodeActions &result)
{
    PeerConfirmReply reply = m_holder.makePeerConfirmReply(request);
    if (reply.applied > request.applied)
        reply.state = m_entryState.serialize();
    send(request.from, PeerMessageType::PeerConfirmReply, reply, result);
}

void ControlNode::handlePeerConfirmReply(const PeerConfirmReply &reply)
{
    if (reply.applied > m_holder.applied() && !reply.state.empty()) {
        std::optional<ControlState> state = ControlState::deserialize(reply.state);
        if (state && state->appliedIndex() >= m_entryState.appliedIndex()) {
            m_entryState = std::move(*state);
            m_holder.setApplied(reply.applied);
        }
    }
    m_holder.recordPeerConfirmReply(reply);
}

NodeActions ControlNode::announce(TimePoint now, const Announcement &announcement)
{
    NodeActions result;
    switch (m_directory.announce(now, announcement)) {
    case DirectoryChange::Arrived:
        HS_LOG(INFO, LogEvent::UpstreamArrived) << announcement.id << " of " << announcement.service;
        break;
    case DirectoryChange::Restarted:
        HS_LOG(INFO, LogEvent::UpstreamRestarted) << announcement.id << " incarnation " << announcement.incarnation;
        break;
    case DirectoryChange::Leaving:
        HS_LOG(INFO, LogEvent::UpstreamLeaving) << announcement.id;
        break;
    case DirectoryChange::Conflict:
        HS_LOG(WARNING, LogEvent::IdentityConflict)
            << announcement.id << " is also claimed at " << announcement.address << ':' << announcement.port;
        break;
    default:
        break;
    }
    return result;
}

void ControlNode::handleDirectory(TimePoint now, const NodeId &from, const DirectoryUpdate &update, NodeActions &result)
{
    DirectoryUpdate answer = m_directory.lookUpWanted(update.wanted);
    answer.wanted = m_directory.merge(now, update).wanted;
    if (!answer.empty())
        send(from, PeerMessageType::Directory, answer, result);
}

void ControlNode::sendDirectoryUpdates(TimePoint now, NodeActions &result)
{
    const DirectoryUpdate update = m_directory.tick(now);
    for (const UpstreamId &id : m_directory.expired())
        HS_LOG(WARNING, LogEvent::UpstreamLost)
            << id << " has stopped sending announcements; removed from the directory";
    if (update.empty())
        return;
    for (const NodeId &entry : m_leases.entries())
        if (entry != m_config.settings.node)
            send(entry, PeerMessageType::Directory, update, result);
}

NodeActions ControlNode::submit(TimePoint now, uint64_t commandId, Command command, CommandWait wait, Duration timeout)
{
    NodeActions result;
    SubmittedCommand submitted;
    submitted.request.commandId = commandId;
    submitted.request.command = std::move(command);
    submitted.request.wait = static_cast<uint8_t>(wait);
    // The leader's timeout is shorter than ours, so that its answer, which names the entries that are
    // behind, arrives before the deadline here.
    submitted.request.timeoutMicros = timeout.count() * 4 / 5;
    submitted.deadline = now + timeout;
    m_submittedCommands.emplace(commandId, std::move(submitted));
    sendSubmittedCommands(now, result);
    return result;
}

void ControlNode::sendSubmittedCommands(TimePoint now, NodeActions &result)
{
    for (auto item = m_submittedCommands.begin(); item != m_submittedCommands.end();) {
        SubmittedCommand &pending = item->second;
        if (now >= pending.deadline) {
            ApplyOutcome outcome;
            const bool waited = pending.request.wait == static_cast<uint8_t>(CommandWait::InForce) && m_leader;
            outcome.code = static_cast<int>(waited ? ResultCode::NotInForce : ResultCode::NoLeader);
            outcome.message = "no answer from a leader in time; the outcome is not known, send the same request again";
            result.replies.push_back({item->first, outcome});
            item = m_submittedCommands.erase(item);
            continue;
        }
        if (m_leader && now >= pending.nextSend) {
            pending.nextSend = now + kCommandResendInterval;
            send(*m_leader, PeerMessageType::CommandRequest, pending.request, result);
        }
        ++item;
    }
}

bool ControlNode::isHandoverPending(TimePoint now) const
{
    if (m_entryState.homeEpoch().value() == 0)
        return false;
    return m_inForce < m_entryState.homeEpoch() || m_lastHomeEpochInForce != m_entryState.homeEpoch()
        || now < m_homesInForceSince + kHomeHandover;
}

void ControlNode::publishIfChanged(TimePoint now, NodeActions &result)
{
    if (m_inForce >= m_entryState.homeEpoch() && m_lastHomeEpochInForce != m_entryState.homeEpoch()) {
        m_lastHomeEpochInForce = m_entryState.homeEpoch();
        m_homesInForceSince = now;
    }
    const bool handoverPending = isHandoverPending(now);
    const bool same = m_published && m_publishedApplied == m_entryState.appliedIndex()
        && m_publishedRevision == m_directory.revision() && m_publishedHandoverPending == handoverPending;
    if (same)
        return;
    m_published = true;
    m_publishedApplied = m_entryState.appliedIndex();
    m_publishedRevision = m_directory.revision();
    m_publishedHandoverPending = handoverPending;
    result.view = m_views.build(m_entryState, m_directory, m_inForce, handoverPending);
}

} // namespace hickoryspur
