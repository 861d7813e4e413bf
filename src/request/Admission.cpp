#include "hickoryspur/request/Admission.h"

#include <algorithm>

namespace hickoryspur {

namespace {

constexpr double kDecreaseFactor = 0.9;
constexpr Duration kDecreaseInterval = 100ms;
/** A new sample enters the average time with a weight of one divided by this. */
constexpr int kAverageTimeDivisor = 16;
/** A query needs this many times the average time; with a factor of 1, half of those admitted would be late. */
constexpr int kSlackFactor = 2;
/** With each sample the minimum time grows, and with each refusal it shrinks, by one part in this many. */
constexpr int kMinTimeDriftDivisor = 16;
/** Below this share of the limit the average time is stale, as it comes from a period of higher load. */
constexpr double kIdleShare = 0.25;

} // namespace

AdmissionActions Admission::submit(TimePoint now, QueryNumber query, const CallerName &caller, uint32_t weight,
                                   TimePoint deadline)
{
    AdmissionActions actions;
    Caller &state = m_callers[caller];
    state.weight = std::max<uint32_t>(1, weight);
    // An idle caller accumulates no credit.
    if (state.queue.empty())
        state.virtualTime = std::max(state.virtualTime, m_virtualTime);
    state.queue.insert({deadline, query});
    ++m_waitingCount;
    admitWaiting(now, actions);
    if (m_waitingCount > kMaxWaiting)
        shedFromLongestQueue(actions);
    return actions;
}

void Admission::shedFromLongestQueue(AdmissionActions &actions)
{
    const auto load = [](const Caller &caller) { return static_cast<double>(caller.queue.size()) / caller.weight; };
    const auto longest = std::max_element(m_callers.begin(), m_callers.end(), [&](const auto &left, const auto &right) {
        return load(left.second) < load(right.second);
    });
    std::set<Waiting> &queue = longest->second.queue;
    actions.refuse.emplace_back(queue.rbegin()->query, ResultCode::Overloaded);
    queue.erase(std::prev(queue.end()));
    --m_waitingCount;
}

void Admission::refuseUnmeetable(TimePoint now, AdmissionActions &actions)
{
    const bool idle = static_cast<double>(m_running.size()) < kIdleShare * m_limit;
    const TimePoint latestUnmeetable = now + (idle ? m_minTime : kSlackFactor * m_averageTime);
    for (auto &[name, caller] : m_callers) {
        while (!caller.queue.empty() && caller.queue.begin()->deadline <= latestUnmeetable) {
            actions.refuse.emplace_back(caller.queue.begin()->query, ResultCode::DeadlineTooShort);
            caller.queue.erase(caller.queue.begin());
            --m_waitingCount;
            // Without samples the minimum time would stay too high and an idle thread would refuse forever.
            if (idle)
                m_minTime -= m_minTime / kMinTimeDriftDivisor;
        }
    }
}

Admission::Caller *Admission::nextCaller()
{
    Caller *next = nullptr;
    for (auto &[name, caller] : m_callers)
        if (!caller.queue.empty() && (!next || caller.virtualTime < next->virtualTime))
            next = &caller;
    return next;
}

void Admission::admitWaiting(TimePoint now, AdmissionActions &actions)
{
    refuseUnmeetable(now, actions);
    while (static_cast<double>(m_running.size() + 1) <= m_limit) {
        Caller *caller = nextCaller();
        if (!caller)
            return;
        const QueryNumber query = caller->queue.begin()->query;
        caller->queue.erase(caller->queue.begin());
        --m_waitingCount;
        m_virtualTime = caller->virtualTime;
        caller->virtualTime += 1.0 / caller->weight;
        m_running[query] = now;
        actions.admit.push_back(query);
    }
}

AdmissionActions Admission::finished(TimePoint now, QueryNumber query, bool inTime)
{
    AdmissionActions actions;
    const auto found = m_running.find(query);
    if (found == m_running.end())
        return actions;
    const Duration took = now - found->second;
    m_running.erase(found);
    m_minTime = m_minTime == Duration::zero() ? took : std::min(m_minTime + m_minTime / kMinTimeDriftDivisor, took);
    m_averageTime =
        m_averageTime == Duration::zero() ? took : m_averageTime + (took - m_averageTime) / kAverageTimeDivisor;
    if (!inTime && now >= m_nextDecrease) {
        m_limit = std::max(1.0, m_limit * kDecreaseFactor);
        m_nextDecrease = now + kDecreaseInterval;
    } else if (inTime && m_waitingCount > 0) {
        m_limit = std::min(kMaxLimit, m_limit + 1.0 / m_limit);
    }
    admitWaiting(now, actions);
    return actions;
}

AdmissionActions Admission::tick(TimePoint now)
{
    AdmissionActions actions;
    admitWaiting(now, actions);
    return actions;
}

} // namespace hickoryspur
