#include "hickoryspur/process/GroupNode.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MemberRepair.h"
#include "hickoryspur/process/MessageCodec.h"

#include <algorithm>
#include <iomanip>
#include <set>
#include <sstream>

namespace hickoryspur {

namespace {

/** Elections take well below a second, so this long without a leader means that voters are missing. */
constexpr Duration kLeaderReportInterval = 2s;

/** The members as host/disk; `note` may add to each. */
std::string describe(const std::vector<MemberId> &members,
                     const std::function<std::string(const MemberId &)> &note = nullptr)
{
    std::ostringstream text;
    for (const MemberId &member : members)
        text << (text.tellp() > 0 ? "," : "") << member.node << '/' << member.disk << (note ? note(member) : "");
    return text.str();
}

} // namespace

GroupNode::GroupNode(const RecoveredStorage &recovered, std::vector<NodeId> seeds, GroupTiming timing, uint64_t seed,
                     TimePoint now)
    : m_timing(timing)
    , m_seeds(std::move(seeds))
    , m_log(recovered.self, m_seeds, recovered.log, timing.log, seed, now)
    , m_state(ControlState::deserialize(recovered.log.checkpoint.state).value_or(ControlState()))
    , m_lastCheckpoint(recovered.log.checkpoint.index)
    , m_leaderKnownAt(now)
    , m_leaderReportedAt(now)
{
    m_log.setControlNodes(knownHosts());
}

void GroupNode::setSeeds(std::vector<NodeId> seeds)
{
    m_seeds = std::move(seeds);
    m_log.setControlNodes(knownHosts());
}

std::vector<NodeId> GroupNode::knownHosts() const
{
    std::set<NodeId> hosts(m_seeds.begin(), m_seeds.end());
    const Membership &membership = m_log.membership();
    for (const auto *group : {&membership.voters, &membership.learners})
        for (const MemberId &member : *group)
            hosts.insert(member.node);
    hosts.erase(m_log.self().node);
    return {hosts.begin(), hosts.end()};
}

LogReport GroupNode::report() const
{
    ControlState state = m_state;
    for (const LogEntry &entry : m_log.uncommitted()) {
        if (entry.kind != static_cast<uint8_t>(EntryKind::Command))
            continue;
        if (const std::optional<Command> command = unpack<Command>(entry.data))
            state.apply(entry.index, *command);
    }
    LogReport report;
    report.member = m_log.self();
    report.voters = m_log.membership().voters;
    report.lastTerm = m_log.lastTerm();
    report.lastIndex = m_log.lastIndex();
    report.routes = state.routes();
    report.dataCentresOut.assign(state.dataCentresOut().begin(), state.dataCentresOut().end());
    report.moves = state.moves();
    return report;
}

GroupActions GroupNode::tick(TimePoint now)
{
    GroupActions result;
    // Before the log's tick, which may start another round of votes.
    reportMissingLeader(now);
    processLogActions(m_log.tick(now), result);
    const auto firstUnexpired = std::find_if(m_pendingCommands.begin(), m_pendingCommands.end(),
                                             [now](const PendingCommand &pending) { return now < pending.deadline; });
    answerAsUnknown(firstUnexpired, result);
    proposeRepair(now, result);
    checkpointIfDue(result);
    return result;
}

void GroupNode::reportMissingLeader(TimePoint now)
{
    if (m_log.leader() || !m_log.membership().isVoter(m_log.self())) {
        m_leaderKnownAt = now;
        m_leaderReportedAt = now;
        return;
    }
    if (now - m_leaderReportedAt < kLeaderReportInterval)
        return;
    m_leaderReportedAt = now;
    const auto note = [this](const MemberId &voter) { return m_log.hasVoteOf(voter) ? "(granted)" : ""; };
    HS_LOG(WARNING, LogEvent::LeaderMissing)
        << "no leader for " << std::fixed << std::setprecision(1) << toMilliseconds(now - m_leaderKnownAt) / 1000
        << " s; term=" << m_log.term() << " last=" << m_log.lastIndex()
        << " voters=" << describe(m_log.membership().voters, note);
}

bool GroupNode::isFromNonMember(TimePoint now, const LogMessage &message) const
{
    if (message.kind() == LogMessageType::JoinRequest)
        return true;
    // A voter that was removed while it was down still has its old membership and requests votes. It may not know the
    // leader, which may have joined since. Without a leader it gets an answer: this host may be an entry behind.
    const Membership &membership = m_log.membership();
    const bool hasLeader = m_log.isCurrent() || m_log.followsLeader(now);
    return message.kind() == LogMessageType::PreVoteRequest && hasLeader && !membership.isVoter(message.from)
        && !membership.isLearner(message.from);
}

void GroupNode::admitMember(TimePoint now, const LogMessage &message, GroupActions &result)
{
    LogMessage join = message;
    join.type = static_cast<uint8_t>(LogMessageType::JoinRequest);
    if (m_log.isLeader()) {
        processLogActions(m_log.receive(now, join), result);
        return;
    }
    // The joining host may know no other address than this one, but only the leader can admit it.
    const std::optional<NodeId> leader = m_log.leader();
    if (leader && *leader != message.from.node && *leader != m_log.self().node)
        result.messages.push_back({*leader, std::move(join)});
}

GroupActions GroupNode::receive(TimePoint now, const LogMessage &message)
{
    GroupActions result;
    if (isFromNonMember(now, message)) {
        admitMember(now, message, result);
        return result;
    }
    processLogActions(m_log.receive(now, message), result);
    return result;
}

GroupActions GroupNode::persisted(TimePoint now)
{
    GroupActions result;
    processLogActions(m_log.persisted(now, m_log.lastIndex()), result);
    return result;
}

GroupActions GroupNode::submit(TimePoint now, uint64_t commandId, const Command &command)
{
    GroupActions result;
    LogActions actions;
    const Result<LogIndex> index = leads(now)
        ? m_log.propose(pack(command), actions)
        : failure(ResultCode::NoLeader, "this host does not lead the control group", true);
    if (!index) {
        result.answers.push_back({commandId, {static_cast<int>(index.error().code), index.error().message, 0, ""}});
        return result;
    }
    m_pendingCommands.push_back({commandId, *index, m_log.term(), now + m_timing.commandTimeout});
    processLogActions(std::move(actions), result);
    processLogActions(m_log.tick(now), result);
    return result;
}

void GroupNode::processLogActions(LogActions actions, GroupActions &result)
{
    if (actions.installCheckpoint) {
        ControlState installed = ControlState::deserialize(actions.installCheckpoint->state).value_or(ControlState());
        installed.keepDutiesOf(m_state);
        m_state = std::move(installed);
        m_lastCheckpoint = actions.installCheckpoint->index;
        m_bytesSinceCheckpoint = 0;
        result.stateChanged = true;
    }
    if (actions.becameLeader)
        HS_LOG(INFO, LogEvent::LeaderElected) << m_log.self().node << " leads term " << m_log.term();
    if (actions.lostLeadership) {
        HS_LOG(WARNING, LogEvent::LeaderLost) << m_log.self().node << " no longer leads, term " << m_log.term();
        answerAsUnknown(m_pendingCommands.end(), result);
    }
    std::move(actions.messages.begin(), actions.messages.end(), std::back_inserter(result.messages));
    actions.messages.clear();
    const std::vector<LogEntry> committed = std::move(actions.committed);
    if (actions.needsSync())
        result.log.push_back(std::move(actions));
    for (const LogEntry &entry : committed)
        apply(entry, result);
}

void GroupNode::apply(const LogEntry &entry, GroupActions &result)
{
    m_bytesSinceCheckpoint += entry.data.size();
    if (entry.kind == static_cast<uint8_t>(EntryKind::Membership)) {
        m_log.setControlNodes(knownHosts());
        result.stateChanged = true;
    }
    ApplyOutcome outcome;
    if (entry.kind == static_cast<uint8_t>(EntryKind::Command)) {
        const std::optional<Command> command = unpack<Command>(entry.data);
        if (command) {
            outcome = m_state.apply(entry.index, *command);
        } else {
            HS_LOG(ERROR, LogEvent::MessageUndecodable)
                << "log entry " << entry.index << " cannot be decoded as a command; skipping it";
            outcome = {static_cast<int>(ResultCode::MalformedRequest), "the command cannot be decoded", 0, ""};
        }
        result.stateChanged = true;
    }
    while (!m_pendingCommands.empty() && m_pendingCommands.front().index <= entry.index) {
        const PendingCommand &pending = m_pendingCommands.front();
        const bool isSameEntry = pending.index == entry.index && pending.term == entry.term;
        const ApplyOutcome overwritten{static_cast<int>(ResultCode::OutcomeUnknown),
                                       "an entry of another leader replaced the command in the log", 0, ""};
        result.answers.push_back({pending.commandId, isSameEntry ? outcome : overwritten});
        m_pendingCommands.pop_front();
    }
}

void GroupNode::answerAsUnknown(const std::deque<PendingCommand>::const_iterator &end, GroupActions &result)
{
    for (auto pending = m_pendingCommands.cbegin(); pending != end; ++pending)
        result.answers.push_back({pending->commandId,
                                  {static_cast<int>(ResultCode::OutcomeUnknown),
                                   "no majority has confirmed the command; send it again", 0, ""}});
    m_pendingCommands.erase(m_pendingCommands.cbegin(), end);
}

void GroupNode::proposeRepair(TimePoint now, GroupActions &result)
{
    if (!leads(now)) {
        m_leadsSince.reset();
        return;
    }
    m_leadsSince = m_leadsSince.value_or(now);
    if (m_log.membershipChangePending())
        return;
    RepairInputs inputs;
    inputs.isSilent = [this, now](const MemberId &member) {
        return isUnanswered(now, member, m_timing.memberSilenceTimeout);
    };
    inputs.isLost = [this, now](const MemberId &member) {
        return isUnanswered(now, member, m_timing.memberLossTimeout);
    };
    inputs.isCaughtUp = [this, &inputs](const MemberId &member) {
        return m_log.isCaughtUp(member) && !inputs.isSilent(member);
    };
    inputs.maxVoters = m_timing.maxVoters;
    inputs.minVoters = m_timing.minVoters;
    const std::optional<Membership> next = nextRepairStep(m_log.membership(), inputs);
    if (!next)
        return;
    LogActions actions;
    if (m_log.proposeMembership(*next, actions))
        HS_LOG(INFO, LogEvent::MemberChanged)
            << next->voters.size() << " voters, " << next->learners.size()
            << " learners: voters=" << describe(next->voters) << " learners=" << describe(next->learners);
    processLogActions(std::move(actions), result);
}

bool GroupNode::isUnanswered(TimePoint now, const MemberId &member, Duration timeout) const
{
    return now - *m_leadsSince > timeout && m_log.timeSinceLastReply(now, member) > timeout;
}

void GroupNode::checkpointIfDue(GroupActions &result)
{
    const LogIndex applied = m_log.commitIndex();
    const bool manyEntries = applied.value() - m_lastCheckpoint.value() >= m_timing.entriesPerCheckpoint;
    if (!manyEntries && m_bytesSinceCheckpoint < m_timing.bytesPerCheckpoint)
        return;
    result.checkpoint = m_log.makeCheckpoint(applied, m_state.serialize());
    m_lastCheckpoint = applied;
    m_bytesSinceCheckpoint = 0;
}

} // namespace hickoryspur
