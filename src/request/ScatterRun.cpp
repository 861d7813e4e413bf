#include "hickoryspur/request/ScatterRun.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>
#include <sstream>

namespace hickoryspur {

namespace {

/** Sends beyond the permitted attempts, for upstreams that said they did not run it. */
constexpr size_t kSpareSends = 2;

} // namespace

ScatterRun::ScatterRun(ScatterPlan plan, ScatterHooks hooks)
    : m_plan(std::move(plan))
    , m_hooks(std::move(hooks))
    , m_shards(m_plan.shards.size())
{
}

bool ScatterRun::hasRunning(const Shard &shard)
{
    return std::any_of(shard.attempts.begin(), shard.attempts.end(),
                       [](const Attempt &attempt) { return attempt.running; });
}

void ScatterRun::skipDoubtful()
{
    size_t spare = m_shards.size() - m_plan.leastParts;
    for (uint32_t index = 0; index < m_shards.size() && spare > 0; ++index) {
        const std::optional<ReplicaChoice> choice = m_hooks.choose(m_plan.shards[index], {});
        if (choice && !choice->doubtful)
            continue;
        m_shards[index].lost = true;
        m_shards[index].skipped = true;
        ++m_lost;
        --spare;
    }
}

void ScatterRun::askSkipped(TimePoint now, ScatterActions &actions)
{
    for (uint32_t index = 0; index < m_shards.size() && m_shards.size() - m_lost < m_plan.leastParts; ++index) {
        Shard &shard = m_shards[index];
        if (!shard.skipped)
            continue;
        shard.skipped = false;
        if (!trySend(now, index, false, actions))
            continue;
        shard.lost = false;
        --m_lost;
    }
}

ScatterActions ScatterRun::start(TimePoint now)
{
    ScatterActions actions;
    skipDoubtful();
    for (uint32_t index = 0; index < m_shards.size(); ++index) {
        if (m_shards[index].skipped || trySend(now, index, false, actions))
            continue;
        m_shards[index].lost = true;
        ++m_lost;
    }
    askSkipped(now, actions);
    // A request that cannot be served is turned away before anything runs.
    if (m_shards.size() - m_lost < m_plan.leastParts) {
        actions.sends.clear();
        m_runs = 0;
        m_finished = true;
        actions.end = ScatterEnd::NotRun;
        return actions;
    }
    endIfDue(now, actions);
    return actions;
}

bool ScatterRun::trySend(TimePoint now, uint32_t index, bool paid, ScatterActions &actions)
{
    Shard &shard = m_shards[index];
    if (shard.runs >= m_plan.attempts || shard.attempts.size() >= m_plan.attempts + kSpareSends)
        return false;
    std::vector<UpstreamId> tried;
    for (const Attempt &attempt : shard.attempts)
        tried.push_back(attempt.upstream);
    const std::optional<ReplicaChoice> choice = m_hooks.choose(m_plan.shards[index], tried);
    // An extra sub-request to a replica that is overrun itself helps nobody.
    if (!choice || (paid && choice->doubtful))
        return false;
    if (paid && !m_hooks.takeExtra(m_plan.shards[index])) {
        ++m_denied;
        return false;
    }
    shard.attempts.push_back({choice->id, now, true, false});
    // Until its end says otherwise, what is sent may run.
    ++shard.runs;
    ++m_runs;
    actions.sends.push_back({{index, static_cast<uint32_t>(shard.attempts.size() - 1)}, choice->id});
    return true;
}

ScatterActions ScatterRun::ended(TimePoint now, AttemptKey key, AttemptOutcome outcome)
{
    ScatterActions actions;
    Shard &shard = m_shards[key.shard];
    Attempt &attempt = shard.attempts[key.attempt];
    HS_INVARIANT(SingleDispatch, attempt.running) << "an attempt at " << attempt.upstream << " ended twice";
    attempt.running = false;
    if (m_finished || shard.answered)
        return actions;
    if (outcome == AttemptOutcome::Answered) {
        shard.answered = true;
        ++m_answered;
    } else {
        failShard(now, key.shard, outcome, actions);
    }
    endIfDue(now, actions);
    return actions;
}

void ScatterRun::failShard(TimePoint now, uint32_t index, AttemptOutcome outcome, ScatterActions &actions)
{
    Shard &shard = m_shards[index];
    const bool surelyNotRun = outcome == AttemptOutcome::Refused || outcome == AttemptOutcome::Unsent;
    if (surelyNotRun) {
        --shard.runs;
        --m_runs;
    }
    const bool mayRepeat = surelyNotRun || m_plan.idempotent;
    // What never arrived costs the service nothing, so it is not paid from the budget either.
    const bool paid = outcome != AttemptOutcome::Unsent;
    if (mayRepeat && now < m_plan.deadline && trySend(now, index, paid, actions))
        return;
    if (hasRunning(shard) || shard.lost)
        return;
    shard.lost = true;
    ++m_lost;
    askSkipped(now, actions);
}

ScatterActions ScatterRun::tick(TimePoint now)
{
    ScatterActions actions;
    if (m_finished)
        return actions;
    hedgeOverdue(now, actions);
    endIfDue(now, actions);
    return actions;
}

void ScatterRun::hedgeOverdue(TimePoint now, ScatterActions &actions)
{
    for (uint32_t index = 0; index < m_shards.size(); ++index) {
        Shard &shard = m_shards[index];
        if (shard.answered || shard.lost || shard.attempts.empty())
            continue;
        Attempt &latest = shard.attempts.back();
        if (!latest.running || latest.overdue || now - latest.sentAt < m_plan.hedgeAfter)
            continue;
        latest.overdue = true;
        m_hooks.overdue(latest.upstream);
        if (m_plan.idempotent)
            trySend(now, index, true, actions);
    }
}

void ScatterRun::endIfDue(TimePoint now, ScatterActions &actions)
{
    if (m_finished)
        return;
    const bool enough = m_answered >= m_plan.leastParts;
    if (m_answered == m_shards.size())
        actions.end = ScatterEnd::Complete;
    else if (enough && (now >= m_plan.answerBy || m_answered + m_lost == m_shards.size()))
        actions.end = ScatterEnd::Partial;
    else if (m_shards.size() - m_lost < m_plan.leastParts)
        actions.end = surelyNotRun() ? ScatterEnd::NotRun : ScatterEnd::Failed;
    else if (now >= m_plan.deadline)
        actions.end = ScatterEnd::TimedOut;
    m_finished = actions.end.has_value();
}

std::string ScatterRun::unanswered(TimePoint now) const
{
    std::ostringstream text;
    for (size_t index = 0; index < m_shards.size(); ++index) {
        const Shard &shard = m_shards[index];
        if (shard.answered)
            continue;
        text << m_plan.shards[index] << '[';
        for (const Attempt &attempt : shard.attempts)
            text << attempt.upstream << (attempt.running ? "+" : "-") << toMilliseconds(now - attempt.sentAt) << ' ';
        text << ']';
    }
    text << " denied=" << m_denied;
    return text.str();
}

TimePoint ScatterRun::nextWake(TimePoint now) const
{
    TimePoint next = m_plan.deadline;
    if (now < m_plan.answerBy)
        next = std::min(next, m_plan.answerBy);
    for (const Shard &shard : m_shards) {
        if (shard.answered || shard.lost || shard.attempts.empty())
            continue;
        const Attempt &latest = shard.attempts.back();
        if (latest.running && !latest.overdue)
            next = std::min(next, latest.sentAt + m_plan.hedgeAfter);
    }
    return next;
}

} // namespace hickoryspur
