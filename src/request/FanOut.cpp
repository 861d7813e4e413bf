#include "hickoryspur/request/FanOut.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>

namespace hickoryspur {

double FanOutAnswer::coverage() const
{
    return shardCount == 0 ? 0 : static_cast<double>(bodies.size()) / shardCount;
}

FanOut::FanOut(FanOutConfig config, FanOutHooks hooks)
    : m_config(std::move(config))
    , m_hooks(std::move(hooks))
    , m_random(m_config.seed)
    , m_shards(m_config.plan.shardCount)
{
}

FanOutActions FanOut::start(TimePoint now)
{
    FanOutActions actions;
    for (uint32_t shard = 0; shard < m_shards.size() && !m_finished; ++shard)
        sendFirst(now, shard, actions);
    finishIfComplete(now, actions);
    scheduleWake(actions);
    return actions;
}

void FanOut::sendFirst(TimePoint now, uint32_t shard, FanOutActions &actions)
{
    if (!sendTo(now, shard, false, actions))
        markShardLost(now, shard, actions);
}

std::optional<uint32_t> FanOut::chooseUpstream(const Shard &state, uint32_t shard)
{
    std::vector<uint32_t> untried;
    for (const uint32_t candidate : m_config.plan.candidates[shard])
        if (std::find(state.tried.begin(), state.tried.end(), candidate) == state.tried.end())
            untried.push_back(candidate);
    if (untried.empty())
        return std::nullopt;
    // Power of two choices: if every entry selected the cheapest replica, all would select the same one.
    std::shuffle(untried.begin(), untried.end(), m_random);
    if (untried.size() == 1 || m_hooks.cost(untried[0]) <= m_hooks.cost(untried[1]))
        return untried[0];
    return untried[1];
}

bool FanOut::sendTo(TimePoint now, uint32_t shard, bool extra, FanOutActions &actions)
{
    Shard &state = m_shards[shard];
    const std::optional<uint32_t> upstream = chooseUpstream(state, shard);
    if (!upstream)
        return false;
    FanOutSend send;
    send.id = m_hooks.nextId();
    send.shard = shard;
    send.upstream = *upstream;
    send.generation = m_config.plan.generation;
    send.snapshot = m_config.plan.snapshot;
    send.deadline = answerDeadline();
    send.extra = extra;
    state.tried.push_back(*upstream);
    ++state.running;
    const Duration delay = m_hooks.hedgeDelay(shard);
    state.hedgeAt = delay > Duration::zero() ? now + delay : TimePoint::max();
    m_inFlight[send.id] = {shard, *upstream, now};
    actions.sends.push_back(send);
    return true;
}

FanOutActions FanOut::reply(TimePoint now, const SubReply &reply)
{
    FanOutActions actions;
    const auto found = m_inFlight.find(reply.id);
    if (m_finished || found == m_inFlight.end()) {
        ++m_droppedReplies;
        return actions;
    }
    const uint32_t shard = found->second.shard;
    m_inFlight.erase(found);
    Shard &state = m_shards[shard];
    --state.running;
    const SubOutcome outcome = reply.kind();
    m_mayHaveRun = m_mayHaveRun || !provesNotRun(outcome);
    const bool matches = reply.shard == shard && reply.snapshot == m_config.plan.snapshot
        && reply.generation == m_config.plan.generation;
    if (outcome == SubOutcome::Ok && matches) {
        state.body = reply.body;
        ++m_answered;
        cancelShard(shard, actions);
    } else {
        m_droppedReplies += outcome == SubOutcome::Ok ? 1 : 0;
        shardFailed(now, shard, outcome == SubOutcome::Ok ? SubOutcome::Failed : outcome, actions);
    }
    finishIfComplete(now, actions);
    // A successful reply can only postpone the next wake-up. Scanning every shard after each reply would
    // make the cost of a query quadratic in its number of shards.
    if (!actions.sends.empty() || m_shards[std::min<size_t>(shard, m_shards.size() - 1)].retryPending)
        scheduleWake(actions);
    return actions;
}

void FanOut::cancelShard(uint32_t shard, FanOutActions &actions)
{
    if (m_shards[shard].running == 0)
        return;
    std::erase_if(m_inFlight, [&](const auto &item) {
        if (item.second.shard != shard)
            return false;
        // A send that is still in these actions is removed from them; it needs no cancel message.
        const auto sameId = [&item](const FanOutSend &send) { return send.id == item.first; };
        if (std::erase_if(actions.sends, sameId) == 0) {
            actions.cancels.push_back(item.first);
            m_mayHaveRun = true;
        }
        return true;
    });
    m_shards[shard].running = 0;
}

void FanOut::shardFailed(TimePoint now, uint32_t shard, SubOutcome outcome, FanOutActions &actions)
{
    const Shard &state = m_shards[shard];
    if (state.running > 0)
        return; // Another sub-request of this shard is still in flight.
    const std::vector<uint32_t> &candidates = m_config.plan.candidates[shard];
    const bool exhausted = state.tried.size() >= candidates.size();
    if (outcome == SubOutcome::SnapshotGone && exhausted && restart(now, actions))
        return;
    if (exhausted && !provesNotRun(outcome)) {
        markShardLost(now, shard, actions);
        return;
    }
    // A sub-request that was not sent put no load on the upstream, so its replacement does not count as extra.
    if (outcome == SubOutcome::NotSent && !exhausted && now < answerDeadline() && sendTo(now, shard, false, actions)) {
        actions.sends.back().resent = true;
        return;
    }
    retry(now, shard, actions);
}

void FanOut::retry(TimePoint now, uint32_t shard, FanOutActions &actions)
{
    Shard &state = m_shards[shard];
    state.retryPending = true;
    state.retryAt = now + kBudgetRecheckInterval;
    if (now >= answerDeadline() || !m_hooks.tryConsumeBudget(now))
        return;
    // Every replica has been tried; the ones tried first may have free slots again.
    if (state.tried.size() >= m_config.plan.candidates[shard].size())
        state.tried.clear();
    if (!sendTo(now, shard, true, actions))
        return;
    state.retryPending = false;
    ++m_retries;
}

void FanOut::hedge(TimePoint now, uint32_t shard, FanOutActions &actions)
{
    Shard &state = m_shards[shard];
    // A hedge can be slow as well; it is then hedged on the next replica that was not tried.
    const bool hasOther = state.tried.size() < m_config.plan.candidates[shard].size();
    if (!hasOther) {
        state.hedgeAt = TimePoint::max();
        return;
    }
    if (!m_hooks.tryConsumeBudget(now)) {
        state.hedgeAt = now + kBudgetRecheckInterval;
        return;
    }
    if (sendTo(now, shard, true, actions))
        ++m_hedges;
}

bool FanOut::restart(TimePoint now, FanOutActions &actions)
{
    if (m_restarted || now >= answerDeadline())
        return false;
    std::optional<QueryPlan> plan = m_hooks.replan(now, m_config.plan.snapshot);
    if (!plan)
        return false;
    m_restarted = true;
    for (uint32_t shard = 0; shard < m_shards.size(); ++shard)
        cancelShard(shard, actions);
    m_config.plan = std::move(*plan);
    m_shards.assign(m_config.plan.shardCount, Shard());
    m_answered = 0;
    m_lost = 0;
    for (uint32_t shard = 0; shard < m_shards.size() && !m_finished; ++shard)
        sendFirst(now, shard, actions);
    return true;
}

bool FanOut::canReachMinCoverage(uint32_t answeredOrPending) const
{
    return static_cast<double>(answeredOrPending) >= m_config.minCoverage * m_config.plan.shardCount;
}

void FanOut::markShardLost(TimePoint, uint32_t shard, FanOutActions &actions)
{
    Shard &state = m_shards[shard];
    if (state.lost)
        return;
    state.lost = true;
    ++m_lost;
    const auto total = static_cast<uint32_t>(m_shards.size());
    // The minimum coverage is out of reach, so the query ends; its other sub-requests would only occupy slots.
    if (!m_finished && !canReachMinCoverage(total - m_lost))
        finish(ResultCode::CoverageTooLow, "too few shards can be reached", actions);
}

FanOutActions FanOut::tick(TimePoint now)
{
    FanOutActions actions;
    if (m_finished)
        return actions;
    if (now >= answerDeadline()) {
        if (canReachMinCoverage(m_answered) && m_answered > 0)
            finish(ResultCode::Ok, "", actions);
        else
            finish(ResultCode::CoverageTooLow, "the deadline passed with too few shards answered", actions);
        return actions;
    }
    for (uint32_t shard = 0; shard < m_shards.size() && !m_finished; ++shard) {
        const Shard &state = m_shards[shard];
        if (state.body || state.lost)
            continue;
        if (state.retryPending && now >= state.retryAt)
            retry(now, shard, actions);
        else if (!state.retryPending && now >= state.hedgeAt)
            hedge(now, shard, actions);
    }
    scheduleWake(actions);
    return actions;
}

FanOutActions FanOut::cancel(TimePoint, ResultCode code)
{
    FanOutActions actions;
    if (!m_finished)
        finish(code, "cancelled", actions);
    return actions;
}

void FanOut::finishIfComplete(TimePoint, FanOutActions &actions)
{
    if (m_finished || m_answered + m_lost < m_shards.size())
        return;
    if (canReachMinCoverage(m_answered) && m_answered > 0)
        finish(ResultCode::Ok, "", actions);
    else
        finish(ResultCode::CoverageTooLow, "too few shards could be reached", actions);
}

void FanOut::finish(ResultCode code, std::string message, FanOutActions &actions)
{
    m_finished = true;
    for (uint32_t shard = 0; shard < m_shards.size(); ++shard)
        cancelShard(shard, actions);
    FanOutAnswer answer;
    answer.code = code;
    answer.message = std::move(message);
    answer.generation = m_config.plan.generation;
    answer.snapshot = m_config.plan.snapshot;
    answer.shardCount = m_config.plan.shardCount;
    answer.hedges = m_hedges;
    answer.retries = m_retries;
    answer.restarted = m_restarted;
    answer.notRun = code != ResultCode::Ok && !m_mayHaveRun;
    for (uint32_t shard = 0; shard < m_shards.size(); ++shard) {
        if (m_shards[shard].body)
            answer.bodies.emplace(shard, std::move(*m_shards[shard].body));
        else
            answer.missing.push_back(shard);
    }
    HS_INVARIANT(CoverageTrue, answer.bodies.size() + answer.missing.size() == answer.shardCount)
        << answer.bodies.size() << " answered and " << answer.missing.size() << " missing of " << answer.shardCount;
    actions.answer = std::move(answer);
    actions.wakeAt.reset();
}

void FanOut::scheduleWake(FanOutActions &actions) const
{
    if (m_finished)
        return;
    TimePoint wake = answerDeadline();
    for (const Shard &state : m_shards) {
        if (state.body || state.lost)
            continue;
        if (state.retryPending)
            wake = std::min(wake, state.retryAt);
        else
            wake = std::min(wake, state.hedgeAt);
    }
    actions.wakeAt = wake;
}

} // namespace hickoryspur
