#include "hickoryspur/process/ReplicatedLog.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>
#include <utility>

namespace hickoryspur {

namespace {

/** A pre-vote is retried after 1/4 to 1/2 of the election timeout. */
constexpr int kPreVoteRetryDivisor = 4;
/** A vote is a write of the voter, and the first entry of the new leader another one, before its heartbeat arrives. */
constexpr int kWritesOfAnElection = 2;
/** A longer write is one of a disk that has stalled, or of a paused host, and says nothing about the next one. */
constexpr Duration kMaxSlowWrite = 2s;

LogIndex after(LogIndex index)
{
    return LogIndex(index.value() + 1);
}

Membership unpackMembership(const std::string &data)
{
    return msgpack::unpack(data.data(), data.size()).get().as<Membership>();
}

std::string packMembership(const Membership &membership)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, membership);
    return {buffer.data(), buffer.size()};
}

bool contains(const std::vector<MemberId> &members, const MemberId &member)
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

} // namespace

bool Membership::isVoter(const MemberId &member) const
{
    return contains(voters, member);
}

bool Membership::isLearner(const MemberId &member) const
{
    return contains(learners, member);
}

ReplicatedLog::ReplicatedLog(MemberId self, std::vector<NodeId> controlNodes, RecoveredLog recovered, LogTiming timing,
                             uint64_t seed, TimePoint now)
    : m_self(std::move(self))
    , m_controlNodes(std::move(controlNodes))
    , m_timing(timing)
    , m_random(seed)
    , m_hardState(recovered.hardState)
    , m_checkpoint(std::move(recovered.checkpoint))
    , m_commit(m_checkpoint.index)
    , m_persisted(m_checkpoint.index)
    , m_eventAt(now)
    // Before a restart this member may have acknowledged a heartbeat, on which the leader's lease relies. It
    // therefore withholds its vote for an election timeout, as if it had received a heartbeat at its start.
    , m_lastLeaderContact(now)
    , m_nextHeartbeat(now)
    , m_leaderSince(now)
{
    m_memberships[m_checkpoint.index] = m_checkpoint.membership;
    for (LogEntry &entry : recovered.entries) {
        recordMembership(entry);
        m_entries.push_back(std::move(entry));
    }
    m_persisted = lastIndex();
    if (recovered.writeTime >= m_timing.heartbeat)
        m_slowWrite = std::min(recovered.writeTime, kMaxSlowWrite);
    // No other host can be a candidate for whose votes to wait.
    startElectionTimer(now, m_timing.electionTimeout);
}

LogIndex ReplicatedLog::lastIndex() const
{
    return LogIndex(m_checkpoint.index.value() + m_entries.size());
}

const LogEntry &ReplicatedLog::entryAt(LogIndex index) const
{
    return m_entries.at(index.value() - m_checkpoint.index.value() - 1);
}

Term ReplicatedLog::termAt(LogIndex index) const
{
    if (index == m_checkpoint.index)
        return m_checkpoint.term;
    return entryAt(index).term;
}

bool ReplicatedLog::holds(LogIndex index, Term term) const
{
    return index >= m_checkpoint.index && index <= lastIndex() && termAt(index) == term;
}

const Membership &ReplicatedLog::membership() const
{
    return m_memberships.rbegin()->second;
}

bool ReplicatedLog::membershipChangePending() const
{
    return m_memberships.rbegin()->first > m_commit;
}

void ReplicatedLog::recordMembership(const LogEntry &entry)
{
    if (entry.kind == static_cast<uint8_t>(EntryKind::Membership))
        m_memberships[entry.index] = unpackMembership(entry.data);
}

void ReplicatedLog::startElectionTimer(TimePoint now, Duration minimum)
{
    // Candidates that start within one write of each other divide the votes.
    std::uniform_int_distribution<int64_t> extra(0, (m_timing.electionTimeout + m_slowWrite).count());
    m_electionDeadline = now + minimum + Duration(extra(m_random));
}

void ReplicatedLog::resetElectionTimer(TimePoint now)
{
    startElectionTimer(now, m_timing.electionTimeout + slowWriteAllowance());
}

Duration ReplicatedLog::slowWriteAllowance() const
{
    return kWritesOfAnElection * m_slowWrite;
}

void ReplicatedLog::recordWrite(TimePoint now)
{
    const Duration took = now - m_eventAt;
    if (took < m_timing.heartbeat) {
        m_slowWrite /= 2;
        return;
    }
    m_slowWrite = std::min(took, kMaxSlowWrite);
    // What the others sent meanwhile has not been read yet, so their silence says nothing.
    if (!isLeader())
        resetElectionTimer(now);
}

bool ReplicatedLog::hasRecentLeaderContact(TimePoint now) const
{
    return now - m_lastLeaderContact < m_timing.electionTimeout;
}

bool ReplicatedLog::isLogUpToDate(LogIndex index, Term term) const
{
    const Term lastTerm = termAt(lastIndex());
    return term != lastTerm ? term > lastTerm : index >= lastIndex();
}

std::vector<MemberId> ReplicatedLog::otherMembers() const
{
    std::vector<MemberId> result;
    for (const auto *group : {&membership().voters, &membership().learners})
        std::copy_if(group->begin(), group->end(), std::back_inserter(result),
                     [this](const MemberId &member) { return member != m_self; });
    return result;
}

LogMessage ReplicatedLog::makeMessage(LogMessageType type, Term term) const
{
    LogMessage message;
    message.type = static_cast<uint8_t>(type);
    message.from = m_self;
    message.term = term;
    return message;
}

LogActions ReplicatedLog::tick(TimePoint now)
{
    LogActions actions;
    m_eventAt = now;
    if (m_role == Role::Leader) {
        const std::optional<TimePoint> quorumAcked = quorumAckedSend();
        const TimePoint lastQuorum = std::max(quorumAcked.value_or(m_leaderSince), m_leaderSince);
        if (now - lastQuorum > 2 * m_timing.electionTimeout + slowWriteAllowance()) {
            becomeFollower(m_hardState.term, now, actions);
            return actions;
        }
        if (now >= m_nextHeartbeat)
            sendHeartbeats(now, actions);
        return actions;
    }
    if (!isVoter()) {
        requestJoin(now, actions);
        return actions;
    }
    if (now >= m_electionDeadline) {
        resetElectionTimer(now);
        startPreVote(now, actions);
    }
    return actions;
}

void ReplicatedLog::requestJoin(TimePoint now, LogActions &actions)
{
    // Join requests have a timer of their own: the leader's heartbeats to the lost disk of this host still arrive here
    // and reset the election timer.
    if (membership().isLearner(m_self) || now < m_nextJoinRequest)
        return;
    m_nextJoinRequest = now + m_timing.electionTimeout;
    for (const NodeId &node : m_controlNodes)
        if (node != m_self.node)
            actions.messages.push_back({node, makeMessage(LogMessageType::JoinRequest, m_hardState.term)});
}

void ReplicatedLog::becomeFollower(Term term, TimePoint now, LogActions &actions)
{
    if (m_role == Role::Leader)
        actions.lostLeadership = true;
    if (term > m_hardState.term) {
        m_hardState = HardState{term, MemberId()};
        actions.saveHardState = m_hardState;
    }
    m_role = Role::Follower;
    m_leader.reset();
    m_votes.clear();
    resetElectionTimer(now);
}

void ReplicatedLog::requestVotes(LogMessageType type, Term term, LogActions &actions)
{
    for (const MemberId &voter : membership().voters) {
        if (voter == m_self)
            continue;
        LogMessage message = makeMessage(type, term);
        message.index = lastIndex();
        message.indexTerm = termAt(lastIndex());
        actions.messages.push_back({voter.node, std::move(message)});
    }
}

void ReplicatedLog::startPreVote(TimePoint now, LogActions &actions)
{
    m_role = Role::PreCandidate;
    m_leader.reset();
    m_votes = {{m_self, true}};
    // A pre-vote is cheap, and after a simultaneous start of all hosts the others reject it only briefly, so it is
    // retried sooner than an election.
    std::uniform_int_distribution<int64_t> pause(0, m_timing.electionTimeout.count() / kPreVoteRetryDivisor);
    m_electionDeadline = now + m_timing.electionTimeout / kPreVoteRetryDivisor + Duration(pause(m_random));
    if (m_votes.size() >= membership().majority()) {
        startElection(now, actions);
        return;
    }
    requestVotes(LogMessageType::PreVoteRequest, Term(m_hardState.term.value() + 1), actions);
}

void ReplicatedLog::startElection(TimePoint now, LogActions &actions)
{
    m_role = Role::Candidate;
    m_hardState = HardState{Term(m_hardState.term.value() + 1), m_self};
    actions.saveHardState = m_hardState;
    m_votes = {{m_self, true}};
    resetElectionTimer(now);
    if (m_votes.size() >= membership().majority()) {
        becomeLeader(now, actions);
        return;
    }
    requestVotes(LogMessageType::VoteRequest, m_hardState.term, actions);
}

void ReplicatedLog::becomeLeader(TimePoint now, LogActions &actions)
{
    m_role = Role::Leader;
    m_leader = m_self.node;
    m_leaderSince = now;
    m_progress.clear();
    for (const MemberId &member : otherMembers())
        startTracking(now, member);
    actions.becameLeader = true;
    m_termStart = after(lastIndex());
    appendEntry({m_termStart, m_hardState.term, static_cast<uint8_t>(EntryKind::TermStart), ""}, actions);
    sendHeartbeats(now, actions);
}

LogActions ReplicatedLog::receive(TimePoint now, const LogMessage &message)
{
    LogActions actions;
    m_eventAt = now;
    const LogMessageType kind = message.kind();
    if (kind == LogMessageType::JoinRequest) {
        admitLearner(message.from, actions);
        return actions;
    }
    if (kind == LogMessageType::PreVoteRequest || kind == LogMessageType::VoteRequest) {
        handleVoteRequest(now, message, actions);
        return actions;
    }
    if (message.term < m_hardState.term) {
        // The sender's term is stale; the reply carries the current one. Stale replies are ignored.
        if (kind == LogMessageType::Append || kind == LogMessageType::InstallCheckpoint)
            actions.messages.push_back({message.from.node, makeMessage(LogMessageType::AppendReply, m_hardState.term)});
        return actions;
    }
    if (kind == LogMessageType::PreVoteReply || kind == LogMessageType::VoteReply) {
        handleVoteReply(now, message, actions);
        return actions;
    }
    if (message.term > m_hardState.term)
        becomeFollower(message.term, now, actions);
    if (kind == LogMessageType::AppendReply) {
        handleAppendReply(now, message, actions);
        return actions;
    }
    HS_INVARIANT(OneLeaderPerTerm, m_role != Role::Leader)
        << m_self.node << " leads term " << m_hardState.term << " but received a message from another leader, "
        << message.from.node;
    HS_INVARIANT(OneLeaderPerTerm, !m_leader || *m_leader == message.from.node)
        << "term " << m_hardState.term << " has leaders " << *m_leader << " and " << message.from.node;
    if (m_role != Role::Follower)
        becomeFollower(message.term, now, actions);
    m_leader = message.from.node;
    m_lastLeaderContact = now;
    resetElectionTimer(now);
    if (kind == LogMessageType::Append)
        handleAppend(now, message, actions);
    else
        handleCheckpoint(now, message, actions);
    return actions;
}

void ReplicatedLog::admitLearner(const MemberId &member, LogActions &actions)
{
    const bool isMember = membership().isVoter(member) || membership().isLearner(member);
    if (!isCurrent() || isMember || membershipChangePending())
        return;
    Membership next = membership();
    std::erase_if(next.learners, [&](const MemberId &other) { return other.node == member.node; });
    next.learners.push_back(member);
    static_cast<void>(proposeMembership(next, actions));
}

void ReplicatedLog::handleVoteRequest(TimePoint now, const LogMessage &message, LogActions &actions)
{
    const bool preVote = message.kind() == LogMessageType::PreVoteRequest;
    // The leader lease relies on this: a member that received a heartbeat within the election timeout grants no vote.
    const bool withholdsVote = isLeader() ? holdsLease(now) : hasRecentLeaderContact(now);
    if (withholdsVote || message.term < m_hardState.term) {
        LogMessage reply =
            makeMessage(preVote ? LogMessageType::PreVoteReply : LogMessageType::VoteReply, m_hardState.term);
        actions.messages.push_back({message.from.node, std::move(reply)});
        return;
    }
    if (!preVote && message.term > m_hardState.term)
        becomeFollower(message.term, now, actions);
    // Only the candidate's membership decides who may vote, since this member's own may be an entry behind.
    bool granted = isLogUpToDate(message.index, message.indexTerm);
    if (preVote) {
        granted = granted && message.term > m_hardState.term;
        // The request for the vote itself comes only after the candidate's write.
        if (granted && m_slowWrite > Duration::zero())
            resetElectionTimer(now);
    } else {
        granted = granted && (m_hardState.votedFor == MemberId() || m_hardState.votedFor == message.from);
        if (granted) {
            m_hardState.votedFor = message.from;
            actions.saveHardState = m_hardState;
            resetElectionTimer(now);
        }
    }
    LogMessage reply = makeMessage(preVote ? LogMessageType::PreVoteReply : LogMessageType::VoteReply,
                                   granted ? message.term : m_hardState.term);
    reply.accepted = granted;
    actions.messages.push_back({message.from.node, std::move(reply)});
}

void ReplicatedLog::handleVoteReply(TimePoint now, const LogMessage &message, LogActions &actions)
{
    const bool preVote = message.kind() == LogMessageType::PreVoteReply;
    if (!message.accepted) {
        if (message.term > m_hardState.term)
            becomeFollower(message.term, now, actions);
        return;
    }
    if (!membership().isVoter(message.from))
        return;
    const Role expected = preVote ? Role::PreCandidate : Role::Candidate;
    const uint64_t expectedTerm = m_hardState.term.value() + (preVote ? 1 : 0);
    if (m_role != expected || message.term.value() != expectedTerm)
        return;
    m_votes[message.from] = true;
    if (m_votes.size() < membership().majority())
        return;
    if (preVote)
        startElection(now, actions);
    else
        becomeLeader(now, actions);
}

void ReplicatedLog::truncate(LogIndex from, LogActions &actions)
{
    HS_INVARIANT(CommittedKept, from > m_commit)
        << "truncating from " << from << ", which is not after the commit index " << m_commit;
    m_entries.resize(from.value() - m_checkpoint.index.value() - 1);
    m_memberships.erase(m_memberships.lower_bound(from), m_memberships.end());
    m_persisted = std::min(m_persisted, lastIndex());
    actions.truncateFrom = actions.truncateFrom ? std::min(*actions.truncateFrom, from) : from;
    std::erase_if(actions.append, [from](const LogEntry &entry) { return entry.index >= from; });
}

void ReplicatedLog::appendEntry(LogEntry entry, LogActions &actions)
{
    recordMembership(entry);
    actions.append.push_back(entry);
    m_entries.push_back(std::move(entry));
}

void ReplicatedLog::appendFromLeader(const LogMessage &message, LogActions &actions)
{
    for (const LogEntry &entry : message.entries) {
        if (entry.index <= m_checkpoint.index)
            continue;
        if (entry.index <= lastIndex()) {
            if (termAt(entry.index) == entry.term)
                continue;
            truncate(entry.index, actions);
        }
        appendEntry(entry, actions);
    }
}

void ReplicatedLog::handleAppend(TimePoint, const LogMessage &message, LogActions &actions)
{
    LogMessage reply = makeMessage(LogMessageType::AppendReply, m_hardState.term);
    reply.sentAt = message.sentAt;
    const bool hasGap = message.index > lastIndex();
    const bool isInCheckpoint = message.index < m_checkpoint.index;
    if (hasGap || (!isInCheckpoint && termAt(message.index) != message.indexTerm)) {
        // Continuing from the commit index skips any number of conflicting terms in one round trip.
        reply.index = std::min(m_commit, lastIndex());
        actions.messages.push_back({message.from.node, std::move(reply)});
        return;
    }
    appendFromLeader(message, actions);
    reply.accepted = true;
    const uint64_t lastSent = message.index.value() + message.entries.size();
    reply.index = LogIndex(std::max(lastSent, m_checkpoint.index.value()));
    actions.messages.push_back({message.from.node, std::move(reply)});
    commitTo(std::min(message.commit, LogIndex(lastSent)), actions);
}

void ReplicatedLog::handleCheckpoint(TimePoint, const LogMessage &message, LogActions &actions)
{
    LogMessage reply = makeMessage(LogMessageType::AppendReply, m_hardState.term);
    reply.sentAt = message.sentAt;
    reply.accepted = true;
    // A log that holds the checkpoint's last entry holds all that the checkpoint covers, and behind it entries that
    // this member may have acknowledged: those stay, since the leader may be the only other member that has them.
    if (holds(message.checkpoint.index, message.checkpoint.term)) {
        commitTo(message.checkpoint.index, actions);
    } else if (message.checkpoint.index > m_commit) {
        m_checkpoint = message.checkpoint;
        m_entries.clear();
        m_recentEntries.clear();
        m_memberships = {{m_checkpoint.index, m_checkpoint.membership}};
        m_commit = m_checkpoint.index;
        m_persisted = m_checkpoint.index;
        actions.installCheckpoint = m_checkpoint;
    }
    reply.index = m_commit;
    actions.messages.push_back({message.from.node, std::move(reply)});
}

void ReplicatedLog::handleAppendReply(TimePoint now, const LogMessage &message, LogActions &actions)
{
    if (!isLeader())
        return;
    const auto found = m_progress.find(message.from);
    if (found == m_progress.end())
        return;
    Progress &progress = found->second;
    const TimePoint sent{Duration(message.sentAt)};
    if (!progress.ackedSend || sent > *progress.ackedSend)
        progress.ackedSend = sent;
    if (!message.accepted) {
        resumeAfterRejection(now, message, progress, actions);
        return;
    }
    progress.checkpointProbe.reset();
    progress.match = std::max(progress.match, message.index);
    progress.next = std::max(progress.next, after(progress.match));
    advanceCommit(actions);
    if (progress.match < lastIndex() && progress.next <= lastIndex())
        sendAppend(now, message.from, actions);
}

void ReplicatedLog::resumeAfterRejection(TimePoint now, const LogMessage &reply, Progress &progress,
                                         LogActions &actions)
{
    // The member names its commit index, which after a restart is that of its checkpoint. Its log may go on far beyond
    // it, also beyond this leader's checkpoint, and would be replaced by that. So the entries behind the checkpoint are
    // offered first, and the checkpoint is sent only to a member that has refused those.
    const std::optional<int64_t> probe = std::exchange(progress.checkpointProbe, std::nullopt);
    const bool needsCheckpoint = reply.index < m_checkpoint.index;
    if (needsCheckpoint && probe && reply.sentAt < *probe) {
        progress.checkpointProbe = probe;
        return;
    }
    progress.next = after(reply.index);
    if (needsCheckpoint && probe != reply.sentAt) {
        progress.next = after(m_checkpoint.index);
        progress.checkpointProbe = now.time_since_epoch().count();
    }
    sendAppend(now, reply.from, actions);
}

void ReplicatedLog::sendAppend(TimePoint now, const MemberId &to, LogActions &actions)
{
    Progress &progress = m_progress[to];
    const bool needsCheckpoint = progress.next <= m_checkpoint.index;
    LogMessage message =
        makeMessage(needsCheckpoint ? LogMessageType::InstallCheckpoint : LogMessageType::Append, m_hardState.term);
    message.sentAt = now.time_since_epoch().count();
    message.commit = m_commit;
    if (needsCheckpoint) {
        // The member may drop its log for the checkpoint, so what it held behind it no longer counts.
        progress.match = std::min(progress.match, m_checkpoint.index);
        message.checkpoint = m_checkpoint;
        actions.messages.push_back({to.node, std::move(message)});
        return;
    }
    message.index = LogIndex(progress.next.value() - 1);
    message.indexTerm = termAt(message.index);
    for (LogIndex index = progress.next; index <= lastIndex() && message.entries.size() < m_timing.maxEntriesPerMessage;
         index = after(index))
        message.entries.push_back(entryAt(index));
    // Assumes that the message arrives. If it is lost, the member rejects the next heartbeat, which resets next.
    progress.next = LogIndex(progress.next.value() + message.entries.size());
    actions.messages.push_back({to.node, std::move(message)});
}

void ReplicatedLog::sendHeartbeats(TimePoint now, LogActions &actions)
{
    m_nextHeartbeat = now + m_timing.heartbeat;
    const std::vector<MemberId> members = otherMembers();
    // A member that is removed and admitted again is tracked from scratch.
    std::erase_if(m_progress, [&](const auto &item) {
        return std::find(members.begin(), members.end(), item.first) == members.end();
    });
    for (const MemberId &member : members) {
        if (!m_progress.contains(member))
            startTracking(now, member);
        sendAppend(now, member, actions);
    }
}

void ReplicatedLog::startTracking(TimePoint now, const MemberId &member)
{
    Progress &progress = m_progress[member];
    progress.next = after(lastIndex());
    progress.trackedSince = now;
}

Result<LogIndex> ReplicatedLog::propose(const std::string &command, LogActions &actions)
{
    if (!isLeader())
        return failure(ResultCode::NoLeader, "this host does not lead the log", true);
    appendEntry({after(lastIndex()), m_hardState.term, static_cast<uint8_t>(EntryKind::Command), command}, actions);
    // The next tick sends the entry, so that commands of one batch share a message and a disk write.
    m_nextHeartbeat = TimePoint();
    return lastIndex();
}

Result<LogIndex> ReplicatedLog::proposeMembership(const Membership &next, LogActions &actions)
{
    if (!isLeader())
        return failure(ResultCode::NoLeader, "this host does not lead the log", true);
    if (membershipChangePending() || !isCurrent())
        return failure(ResultCode::MemberChangePending, "another membership change is not committed yet", true);
    if (next.voters.empty())
        return failure(ResultCode::TooFewVoters, "the last voter cannot be removed", true);
    const LogEntry entry{after(lastIndex()), m_hardState.term, static_cast<uint8_t>(EntryKind::Membership),
                         packMembership(next)};
    appendEntry(entry, actions);
    m_nextHeartbeat = TimePoint();
    return entry.index;
}

LogActions ReplicatedLog::persisted(TimePoint now, LogIndex index)
{
    LogActions actions;
    recordWrite(now);
    m_persisted = std::max(m_persisted, std::min(index, lastIndex()));
    if (isLeader())
        advanceCommit(actions);
    return actions;
}

void ReplicatedLog::advanceCommit(LogActions &actions)
{
    std::vector<LogIndex> matches;
    for (const MemberId &voter : membership().voters)
        matches.push_back(voter == m_self ? m_persisted : m_progress[voter].match);
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex majorityMatch = matches.at(membership().majority() - 1);
    // An entry of an earlier term is committed only together with one of this term: until then a later leader
    // may still overwrite it.
    if (majorityMatch > m_commit && termAt(majorityMatch) == m_hardState.term)
        commitTo(majorityMatch, actions);
}

void ReplicatedLog::commitTo(LogIndex index, LogActions &actions)
{
    for (LogIndex next = after(m_commit); next <= std::min(index, lastIndex()); next = after(next)) {
        actions.committed.push_back(entryAt(next));
        m_recentEntries.push_back(entryAt(next));
        if (m_recentEntries.size() > m_timing.maxRecentEntries)
            m_recentEntries.pop_front();
        m_commit = next;
    }
}

std::optional<TimePoint> ReplicatedLog::quorumAckedSend() const
{
    std::vector<TimePoint> sends;
    for (const MemberId &voter : membership().voters) {
        if (voter == m_self) {
            sends.push_back(TimePoint::max());
            continue;
        }
        const auto found = m_progress.find(voter);
        if (found != m_progress.end() && found->second.ackedSend)
            sends.push_back(*found->second.ackedSend);
    }
    if (sends.size() < membership().majority())
        return std::nullopt;
    std::sort(sends.begin(), sends.end(), std::greater<>());
    return sends.at(membership().majority() - 1);
}

bool ReplicatedLog::holdsLease(TimePoint now) const
{
    if (!isLeader())
        return false;
    const std::optional<TimePoint> sent = quorumAckedSend();
    if (!sent)
        return false;
    const Duration leaseDuration(
        static_cast<int64_t>(static_cast<double>(m_timing.electionTimeout.count()) * (1.0 - m_timing.allowedDrift)));
    return *sent == TimePoint::max() || now - *sent < leaseDuration;
}

bool ReplicatedLog::isCaughtUp(const MemberId &member) const
{
    const auto found = m_progress.find(member);
    return isLeader() && found != m_progress.end() && found->second.match >= m_commit && m_commit >= m_termStart;
}

std::vector<LogEntry> ReplicatedLog::uncommitted() const
{
    const auto committed = static_cast<std::ptrdiff_t>(m_commit.value() - m_checkpoint.index.value());
    return {m_entries.begin() + committed, m_entries.end()};
}

Duration ReplicatedLog::timeSinceLastReply(TimePoint now, const MemberId &member) const
{
    if (!isLeader() || member == m_self)
        return Duration::zero();
    const auto found = m_progress.find(member);
    if (found == m_progress.end())
        return Duration::zero();
    return now - std::max(found->second.ackedSend.value_or(TimePoint()), found->second.trackedSince);
}

std::optional<std::vector<LogEntry>> ReplicatedLog::committedAfter(LogIndex index, size_t maxCount) const
{
    std::vector<LogEntry> result;
    if (index >= m_commit)
        return result;
    if (m_recentEntries.empty() || m_recentEntries.front().index > after(index))
        return std::nullopt;
    for (size_t i = index.value() + 1 - m_recentEntries.front().index.value();
         i < m_recentEntries.size() && result.size() < maxCount; ++i)
        result.push_back(m_recentEntries[i]);
    return result;
}

Checkpoint ReplicatedLog::makeCheckpoint(LogIndex applied, std::string state)
{
    HS_INVARIANT(CommittedKept, applied <= m_commit)
        << "checkpoint " << applied << " is after the commit index " << m_commit;
    Checkpoint checkpoint;
    checkpoint.index = applied;
    checkpoint.term = termAt(applied);
    checkpoint.membership = std::prev(m_memberships.upper_bound(applied))->second;
    checkpoint.state = std::move(state);
    const uint64_t dropped = applied.value() - m_checkpoint.index.value();
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<int64_t>(dropped));
    m_memberships.erase(m_memberships.begin(), std::prev(m_memberships.upper_bound(applied)));
    m_checkpoint = checkpoint;
    return checkpoint;
}

} // namespace hickoryspur
