#include "hickoryspur/request/RequestAdmission.h"

#include <algorithm>
#include <iterator>

namespace hickoryspur {

namespace {

/** A new sample enters an average with a weight of one divided by this. */
constexpr int kAverageDivisor = 8;
/** Replicas recover within seconds; an average of older samples says nothing of the next request. */
constexpr Duration kSampleLifetime = 2s;
/** A late request decreases the limit on its kind by this factor, and one in time increases it by a part of this. */
constexpr double kDecreaseFactor = 0.8;
constexpr double kLimitIncrease = 0.25;
/** Replicas that pause make about this share of the requests late also while there is room. */
constexpr double kUsualLateShare = 0.2;
/** So long after an urgent request had to wait, less urgent ones leave room for the next one. */
constexpr Duration kReserveTime = 500ms;
/** A caller that is refused within its target latency divided by this has time for another try. */
constexpr int kRefusalDivisor = 4;
/** Retry delays are at most the caller's time left divided by this, so that it has time for two more tries. */
constexpr int kMaxRetryDivisor = 3;
/** A shorter retry delay would cost the caller a try before another request can have ended. */
constexpr Duration kMinRetryAfter = 5ms;

/** Until then a refusal leaves the caller time for another try. */
TimePoint lastTryOf(const AdmissionDemand &demand)
{
    return demand.arrived + (demand.targetTime - demand.arrived) / kRefusalDivisor;
}

} // namespace

void RequestAdmission::LearnedTime::add(TimePoint now, Duration time)
{
    m_average = isStale(now) ? time : m_average + (time - m_average) / kAverageDivisor;
    m_lastSample = now;
    m_any = true;
}

bool RequestAdmission::LearnedTime::isStale(TimePoint now) const
{
    return !m_any || now - m_lastSample >= kSampleLifetime;
}

Duration RequestAdmission::LearnedTime::value(TimePoint now, Duration usual) const
{
    const Duration age = now - m_lastSample;
    if (isStale(now))
        return usual;
    const double weight = 1 - static_cast<double>(age.count()) / static_cast<double>(Duration(kSampleLifetime).count());
    return usual + Duration(static_cast<int64_t>(weight * static_cast<double>((m_average - usual).count())));
}

Duration RequestAdmission::expectedTime(TimePoint now, const AdmissionDemand &demand) const
{
    const auto found = m_scopes.find(demand.scope);
    return found == m_scopes.end() ? demand.usualTime : found->second.time.value(now, demand.usualTime);
}

size_t RequestAdmission::waiting() const
{
    size_t count = 0;
    for (const auto &[name, group] : m_groups)
        count += group.waiting.size();
    return count;
}

AdmissionDecisions RequestAdmission::submit(TimePoint now, AdmissionDemand demand)
{
    AdmissionDecisions decisions;
    Group &group = m_groups[demand.group];
    const auto sameCustomer = [&demand](const Waiting &other) { return other.demand.customer == demand.customer; };
    // An idle customer accumulates no credit.
    double &served = group.served[demand.customer];
    if (std::none_of(group.waiting.begin(), group.waiting.end(), sameCustomer))
        served = std::max(served, group.servedBase);
    group.waiting.push_back({std::move(demand)});
    decide(now, group, decisions);
    refuseExcess(now, decisions);
    return decisions;
}

void RequestAdmission::ended(TimePoint now, AdmissionNumber number)
{
    const auto found = m_running.find(number);
    if (found == m_running.end())
        return;
    const Running &running = found->second;
    const Duration took = now - running.since;
    Scope &scope = m_scopes[running.scope];
    scope.time.add(now, took);
    --scope.running;
    const double late = now <= running.targetTime ? 0 : 1;
    scope.lateShare += (late - scope.lateShare) / kAverageDivisor;
    if (now <= running.targetTime) {
        scope.limit = std::min(kMaxLimit, scope.limit + kLimitIncrease / scope.limit);
    } else if (now >= scope.nextDecrease && scope.lateShare > kUsualLateShare) {
        // From what runs rather than from a limit that has not been reached.
        scope.limit = std::max(1.0, kDecreaseFactor * std::min(scope.limit, static_cast<double>(scope.running + 1)));
        scope.nextDecrease = now + took;
    }
    Group &group = m_groups[running.group];
    group.time.add(now, took);
    --group.running;
    m_running.erase(found);
}

void RequestAdmission::withdraw(AdmissionNumber number)
{
    for (auto &[name, group] : m_groups)
        std::erase_if(group.waiting, [number](const Waiting &request) { return request.demand.number == number; });
}

AdmissionDecisions RequestAdmission::update(TimePoint now)
{
    AdmissionDecisions decisions;
    for (auto &[name, group] : m_groups)
        decide(now, group, decisions);
    return decisions;
}

void RequestAdmission::decide(TimePoint now, Group &group, AdmissionDecisions &decisions)
{
    // After a start there may be room for another one, which is known only once the first one has been sent.
    if (!admitOne(now, group, decisions))
        refuseLate(now, group, decisions);
}

AdmissionDecisions RequestAdmission::tick(TimePoint now)
{
    if (m_lastTick != TimePoint())
        m_lag = std::max<Duration>(now - m_lastTick - kTickInterval, m_lag / 2);
    m_lastTick = now;
    forgetIdle(now);
    return update(now);
}

void RequestAdmission::forgetIdle(TimePoint now)
{
    std::erase_if(m_scopes,
                  [now](const auto &item) { return item.second.running == 0 && item.second.time.isStale(now); });
    std::erase_if(m_groups, [now](const auto &item) {
        const Group &group = item.second;
        return group.waiting.empty() && group.running == 0 && group.time.isStale(now);
    });
    // What a customer has received beyond the others counts until they have caught up.
    for (auto &[name, group] : m_groups)
        if (group.waiting.empty())
            std::erase_if(group.served, [&base = group.servedBase](const auto &item) { return item.second <= base; });
}

RequestAdmission::Place RequestAdmission::placeOf(TimePoint now, const Group &group,
                                                  const AdmissionDemand &demand) const
{
    const bool missesTarget = now + expectedTime(now, demand) > demand.targetTime;
    return {demand.priority, missesTarget, group.served.at(demand.customer), demand.targetTime, demand.number};
}

std::vector<RequestAdmission::Waiting>::iterator RequestAdmission::first(TimePoint now, Group &group,
                                                                         const std::vector<std::string> &fullScopes,
                                                                         std::optional<int> priority)
{
    auto best = group.waiting.end();
    Place bestPlace;
    for (auto request = group.waiting.begin(); request != group.waiting.end(); ++request) {
        const AdmissionDemand &demand = request->demand;
        if ((priority && demand.priority > *priority) || now >= demand.deadline
            || std::find(fullScopes.begin(), fullScopes.end(), demand.scope) != fullScopes.end())
            continue;
        // An estimate that nothing corrects must not keep the last request from starting.
        if (group.running > 0 && isTooLate(now, *request))
            continue;
        const Place place = placeOf(now, group, demand);
        if (best != group.waiting.end() && bestPlace < place)
            continue;
        best = request;
        bestPlace = place;
    }
    return best;
}

bool RequestAdmission::admitOne(TimePoint now, Group &group, AdmissionDecisions &decisions)
{
    std::vector<std::string> fullScopes;
    std::optional<int> priority;
    for (;;) {
        const auto request = first(now, group, fullScopes, priority);
        if (request == group.waiting.end())
            return false;
        const Scope &scope = m_scopes[request->demand.scope];
        const bool isWithinLimit = static_cast<double>(scope.running + 1) <= scope.limit;
        if (group.running == 0
            || (isWithinLimit && m_hasRoom(request->demand, spareFor(now, group, request->demand)))) {
            start(now, group, request, decisions);
            return true;
        }
        // Nothing less urgent takes the room for which this one waits.
        group.lastWait[request->demand.priority] = now;
        fullScopes.push_back(request->demand.scope);
        priority = request->demand.priority;
    }
}

size_t RequestAdmission::spareFor(TimePoint now, const Group &group, const AdmissionDemand &demand) const
{
    for (const auto &[priority, lastWait] : group.lastWait)
        if (priority < demand.priority && now - lastWait < kReserveTime)
            return 1;
    return 0;
}

void RequestAdmission::start(TimePoint now, Group &group, std::vector<Waiting>::iterator request,
                             AdmissionDecisions &decisions)
{
    const AdmissionDemand &demand = request->demand;
    double &served = group.served[demand.customer];
    group.servedBase = std::max(group.servedBase, served);
    served += 1.0 / std::max<uint32_t>(1, demand.weight);
    ++group.running;
    ++m_scopes[demand.scope].running;
    m_running[demand.number] = {demand.scope, demand.group, now, demand.targetTime};
    decisions.admit.push_back(demand.number);
    group.waiting.erase(request);
}

size_t RequestAdmission::countBefore(TimePoint now, const Group &group, const Waiting &request) const
{
    const Place place = placeOf(now, group, request.demand);
    return static_cast<size_t>(std::count_if(group.waiting.begin(), group.waiting.end(), [&](const Waiting &other) {
        return placeOf(now, group, other.demand) < place;
    }));
}

Duration RequestAdmission::expectedWait(TimePoint now, const Group &group, const AdmissionDemand &demand,
                                        size_t before) const
{
    const Duration time = group.time.value(now, expectedTime(now, demand));
    // Of what runs, the next one to end is halfway through on average.
    const auto halves = static_cast<int64_t>(2 * before + 1);
    return time * halves / static_cast<int64_t>(2 * std::max<size_t>(1, group.running)) + m_lag;
}

TimePoint RequestAdmission::limitOf(TimePoint now, const Waiting &request) const
{
    // When even a request that does not wait is late, late answers are the best that there is.
    const AdmissionDemand &demand = request.demand;
    const bool targetIsPossible = demand.arrived + expectedTime(now, demand) <= demand.targetTime;
    return targetIsPossible ? std::min(demand.targetTime, demand.deadline) : demand.deadline;
}

bool RequestAdmission::isTooLate(TimePoint now, const Waiting &request) const
{
    return now + expectedTime(now, request.demand) > limitOf(now, request);
}

bool RequestAdmission::willBeTooLate(TimePoint now, const Group &group, const Waiting &request) const
{
    const Duration wait = expectedWait(now, group, request.demand, countBefore(now, group, request));
    return now + wait + expectedTime(now, request.demand) > limitOf(now, request);
}

void RequestAdmission::refuseLate(TimePoint now, Group &group, AdmissionDecisions &decisions)
{
    std::vector<AdmissionNumber> late;
    for (Waiting &request : group.waiting) {
        if (now >= lastTryOf(request.demand) || isTooLate(now, request)
            || (!request.isChecked && willBeTooLate(now, group, request))) {
            late.push_back(request.demand.number);
            decisions.refuse.push_back(refusal(now, group, request, AdmissionRefusal::Late));
        }
        request.isChecked = true;
    }
    if (late.empty())
        return;
    std::erase_if(group.waiting, [&late](const Waiting &request) {
        return std::find(late.begin(), late.end(), request.demand.number) != late.end();
    });
}

void RequestAdmission::refuseExcess(TimePoint now, AdmissionDecisions &decisions)
{
    while (waiting() > kMaxWaiting) {
        Group *groupOfCheapest = nullptr;
        std::vector<Waiting>::iterator cheapest;
        const auto key = [&](const AdmissionDemand &demand) {
            return std::tuple(demand.priority, static_cast<int64_t>(demand.shards) * expectedTime(now, demand),
                              demand.deadline, demand.number);
        };
        for (auto &[name, group] : m_groups) {
            for (auto request = group.waiting.begin(); request != group.waiting.end(); ++request) {
                if (groupOfCheapest && key(request->demand) < key(cheapest->demand))
                    continue;
                groupOfCheapest = &group;
                cheapest = request;
            }
        }
        decisions.refuse.push_back(refusal(now, *groupOfCheapest, *cheapest, AdmissionRefusal::QueueFull));
        groupOfCheapest->waiting.erase(cheapest);
    }
}

RefusedRequest RequestAdmission::refusal(TimePoint now, const Group &group, const Waiting &request,
                                         AdmissionRefusal reason)
{
    return {request.demand.number, reason, retryAfter(now, group, request)};
}

Duration RequestAdmission::retryAfter(TimePoint now, const Group &group, const Waiting &request)
{
    const AdmissionDemand &demand = request.demand;
    const auto isAsUrgent = [&demand](const Waiting &other) { return other.demand.priority <= demand.priority; };
    const auto asUrgent = std::count_if(group.waiting.begin(), group.waiting.end(), isAsUrgent);
    const Duration untilRoom = expectedWait(now, group, demand, countBefore(now, group, request));
    const Duration queueTime = expectedWait(now, group, demand, static_cast<size_t>(asUrgent));
    const Duration longest = std::max<Duration>(Duration::zero(), (demand.deadline - now) / kMaxRetryDivisor);
    const Duration latest = std::min(longest, std::max<Duration>(kMinRetryAfter, untilRoom + queueTime));
    // Callers that are refused at the same time do not come back at the same time.
    const Duration earliest = std::min<Duration>(std::max<Duration>(kMinRetryAfter, untilRoom), latest / 2);
    return Duration(std::uniform_int_distribution<int64_t>(earliest.count(), latest.count())(m_random));
}

TimePoint RequestAdmission::nextWake(TimePoint now) const
{
    TimePoint earliest = TimePoint::max();
    for (const auto &[name, group] : m_groups) {
        for (const Waiting &request : group.waiting) {
            const TimePoint tooLate = limitOf(now, request) - expectedTime(now, request.demand);
            earliest = std::min({earliest, tooLate, lastTryOf(request.demand)});
        }
    }
    return earliest;
}

} // namespace hickoryspur
