#include "hickoryspur/request/ScatterGather.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace hickoryspur {

namespace {

/** Sends per shard beyond maxAttempts that may replace attempts which provably did not run. */
constexpr size_t kMaxNotRunResends = 2;

} // namespace

ScatterGather::ScatterGather(ScatterPlan plan, ScatterHooks hooks)
    : m_plan(std::move(plan))
    , m_hooks(std::move(hooks))
    , m_shards(m_plan.shards.size())
{
}

bool ScatterGather::hasRunning(const Shard &shard)
{
    return std::any_of(shard.attempts.begin(), shard.attempts.end(),
                       [](const Attempt &attempt) { return attempt.running; });
}

void ScatterGather::chooseFirst()
{
    size_t omittable = m_plan.maxSkipped.value_or(m_shards.size() - m_plan.minParts);
    for (uint32_t index = 0; index < m_shards.size(); ++index) {
        Shard &shard = m_shards[index];
        shard.first = m_hooks.choose(m_plan.shards[index], {});
        if (omittable == 0 || (shard.first && !shard.first->degraded))
            continue;
        // If the shard is needed later, its replica is chosen by what is known then.
        shard.first.reset();
        shard.lost = true;
        shard.skipped = true;
        ++m_lost;
        --omittable;
    }
}

void ScatterGather::sendToSkipped(TimePoint now, ScatterActions &actions)
{
    for (uint32_t index = 0; index < m_shards.size() && m_shards.size() - m_lost < m_plan.minParts; ++index) {
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

bool ScatterGather::anyRunning() const
{
    return std::any_of(m_shards.begin(), m_shards.end(), hasRunning);
}

void ScatterGather::markLost(Shard &shard)
{
    shard.lost = true;
    ++m_lost;
}

void ScatterGather::sendFirst(TimePoint now, ScatterActions &actions)
{
    for (uint32_t index = 0; index < m_shards.size(); ++index) {
        Shard &shard = m_shards[index];
        if (shard.skipped)
            continue;
        if (m_plan.probesFirst && !actions.sends.empty()) {
            shard.held = true;
            ++m_held;
        } else if (!trySend(now, index, false, actions)) {
            markLost(shard);
        }
    }
}

bool ScatterGather::mustHold(const Shard &shard, AttemptOutcome outcome) const
{
    return outcome == AttemptOutcome::Lost && m_answered == 0 && m_shards.size() > 1 && !hasRunning(shard);
}

bool ScatterGather::takeHeld(Shard &shard)
{
    if (!shard.held)
        return false;
    shard.held = false;
    --m_held;
    // The replica that was chosen at the start may have left since.
    shard.first.reset();
    return true;
}

void ScatterGather::releaseHeld(TimePoint now, ScatterActions &actions)
{
    for (uint32_t index = 0; index < m_shards.size() && m_held > 0; ++index) {
        Shard &shard = m_shards[index];
        if (!takeHeld(shard))
            continue;
        if (!trySend(now, index, !shard.attempts.empty(), actions))
            markLost(shard);
    }
    sendToSkipped(now, actions);
}

void ScatterGather::resolveHeld(TimePoint now, ScatterActions &actions)
{
    const bool hasRun = m_possibleRuns > 0;
    const bool mayProbe = !hasRun || !(m_plan.probesFirst || std::exchange(m_probedAfterLosses, true));
    for (uint32_t index = 0; index < m_shards.size() && m_held > 0; ++index) {
        Shard &shard = m_shards[index];
        if (!takeHeld(shard))
            continue;
        if (mayProbe && trySend(now, index, hasRun, actions))
            return;
        markLost(shard);
    }
}

bool ScatterGather::isProbing() const
{
    return m_answered == 0 && (m_plan.probesFirst || m_probedAfterLosses);
}

ScatterActions ScatterGather::start(TimePoint now)
{
    ScatterActions actions;
    chooseFirst();
    sendFirst(now, actions);
    sendToSkipped(now, actions);
    // If too few shards are reachable, this refuses the request before any upstream runs it.
    finishIfDue(now, actions);
    return actions;
}

std::optional<ReplicaChoice> ScatterGather::choose(uint32_t index)
{
    Shard &shard = m_shards[index];
    if (shard.first)
        return std::exchange(shard.first, std::nullopt);
    std::vector<UpstreamId> tried;
    for (const Attempt &attempt : shard.attempts)
        tried.push_back(attempt.upstream);
    return m_hooks.choose(m_plan.shards[index], tried);
}

bool ScatterGather::trySend(TimePoint now, uint32_t index, bool isExtra, ScatterActions &actions)
{
    Shard &shard = m_shards[index];
    if (shard.possibleRuns >= m_plan.maxAttempts || shard.attempts.size() >= m_plan.maxAttempts + kMaxNotRunResends)
        return false;
    const std::optional<ReplicaChoice> choice = choose(index);
    // A degraded replica is unlikely to answer in time, and an extra sub-request adds to its load.
    if (!choice || (isExtra && choice->degraded))
        return false;
    if (isExtra && !m_hooks.tryConsumeBudget(m_plan.shards[index])) {
        ++m_deniedExtras;
        return false;
    }
    shard.attempts.push_back({choice->id, now, true, false});
    // The attempt counts as possibly run until its outcome proves that it did not run.
    ++shard.possibleRuns;
    ++m_possibleRuns;
    actions.sends.push_back({{index, static_cast<uint32_t>(shard.attempts.size() - 1)}, choice->id, isProbing()});
    return true;
}

ScatterActions ScatterGather::attemptEnded(TimePoint now, AttemptKey key, AttemptOutcome outcome)
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
        if (++m_answered == 1)
            releaseHeld(now, actions);
    } else {
        handleFailure(now, key.shard, outcome, actions);
    }
    if (m_held > 0 && !anyRunning())
        resolveHeld(now, actions);
    finishIfDue(now, actions);
    return actions;
}

void ScatterGather::handleFailure(TimePoint now, uint32_t index, AttemptOutcome outcome, ScatterActions &actions)
{
    Shard &shard = m_shards[index];
    const bool nothingSent = outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::Withheld;
    const bool provablyNotRun = nothingSent || outcome == AttemptOutcome::Refused;
    if (provablyNotRun) {
        --shard.possibleRuns;
        --m_possibleRuns;
    }
    if (mustHold(shard, outcome)) {
        shard.held = true;
        ++m_held;
        return;
    }
    const bool isRepeatable = provablyNotRun || (m_plan.idempotent && !isProbing());
    // An attempt that was not sent put no load on the service, so its replacement is not charged to the budget.
    const bool isExtra = !nothingSent;
    if (isRepeatable && now < m_plan.deadline && trySend(now, index, isExtra, actions))
        return;
    if (hasRunning(shard) || shard.lost)
        return;
    markLost(shard);
    if (!isProbing())
        sendToSkipped(now, actions);
}

ScatterActions ScatterGather::tick(TimePoint now)
{
    ScatterActions actions;
    if (m_finished)
        return actions;
    hedgeOverdue(now, actions);
    finishIfDue(now, actions);
    return actions;
}

void ScatterGather::hedgeOverdue(TimePoint now, ScatterActions &actions)
{
    for (uint32_t index = 0; index < m_shards.size(); ++index) {
        Shard &shard = m_shards[index];
        if (shard.answered || shard.lost || shard.attempts.empty())
            continue;
        Attempt &latest = shard.attempts.back();
        if (!latest.running || latest.overdue || now - latest.sentAt < m_plan.hedgeAfter)
            continue;
        latest.overdue = true;
        m_hooks.reportOverdue(latest.upstream);
        if (m_plan.idempotent && !isProbing())
            trySend(now, index, true, actions);
    }
}

void ScatterGather::withdraw(AttemptKey key)
{
    Shard &shard = m_shards[key.shard];
    shard.attempts[key.attempt].running = false;
    --shard.possibleRuns;
    --m_possibleRuns;
}

void ScatterGather::withdrawUnsent(ScatterActions &actions)
{
    for (const SendAttempt &send : actions.sends)
        withdraw(send.key);
    actions.sends.clear();
    for (uint32_t index = 0; index < m_shards.size(); ++index)
        for (uint32_t number = 0; number < m_shards[index].attempts.size(); ++number)
            if (m_shards[index].attempts[number].running && m_hooks.tryWithdraw({index, number}))
                withdraw({index, number});
}

void ScatterGather::finishIfDue(TimePoint now, ScatterActions &actions)
{
    if (m_finished)
        return;
    const bool hasMinParts = m_answered >= m_plan.minParts;
    const bool cannotBeServed = m_shards.size() - m_lost < m_plan.minParts;
    if (m_answered == m_shards.size())
        actions.outcome = ScatterOutcome::Complete;
    else if (hasMinParts
             && (now >= (m_plan.waitsForAll ? m_plan.deadline : m_plan.targetTime)
                 || m_answered + m_lost == m_shards.size()))
        actions.outcome = ScatterOutcome::Partial;
    else if (cannotBeServed || now >= m_plan.deadline)
        actions.outcome = cannotBeServed ? ScatterOutcome::Failed : ScatterOutcome::TimedOut;
    m_finished = actions.outcome.has_value();
    if (!m_finished || hasMinParts)
        return;
    withdrawUnsent(actions);
    if (provablyNotRun())
        actions.outcome = ScatterOutcome::NotRun;
}

std::string ScatterGather::describeUnanswered(TimePoint now) const
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
    text << " denied=" << m_deniedExtras;
    return text.str();
}

TimePoint ScatterGather::nextWake(TimePoint now) const
{
    TimePoint next = m_plan.deadline;
    if (now < m_plan.targetTime)
        next = std::min(next, m_plan.targetTime);
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
