#include "request/RequestGate.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"
#include "request/ActiveRequest.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace hickoryspur {

namespace {

/** A shorter wait of the timer would mostly find that nothing has changed. */
constexpr Duration kMinWakeInterval = 1ms;
/** Priorities below this one are counted together. */
constexpr int kMaxCountedPriority = 7;

/** Counts requests by what was decided on them and by their priority. */
void countDecision(const char *decision, int priority)
{
    const std::string shown = std::to_string(std::clamp(priority, 0, kMaxCountedPriority));
    Metrics::counter(std::string("hickoryspur_admission_") + decision + "_total{priority=\"" + shown + "\"}").add();
}

const char *nameOf(AdmissionRefusal reason)
{
    return reason == AdmissionRefusal::Late ? "late" : "queue-full";
}

std::string scopeOf(const Route &route, const ScatterPlan &plan, int priority)
{
    std::string scope = route.host + route.pathPrefix + ' ' + std::to_string(priority);
    if (!route.isScattered())
        scope += ' ' + plan.shards.front().value();
    return scope;
}

} // namespace

EntryTraffic::RequestGate::RequestGate(EntryTraffic &traffic, uint64_t seed)
    : m_traffic(traffic)
    , m_admission([this](const AdmissionDemand &demand, size_t spare) { return hasRoom(demand, spare); }, seed)
    , m_timer(traffic.m_context)
{
}

void EntryTraffic::RequestGate::setRoutes(const RouteTable &routes)
{
    m_groups.clear();
    m_fullShards.clear();
    for (const Route &route : routes.routes) {
        if (!route.isScattered())
            continue;
        const std::string &name = route.shards.front().value();
        for (const ServiceName &shard : route.shards) {
            const auto [found, isNew] = m_groups.try_emplace(shard, name);
            if (isNew || found->second == name)
                continue;
            // The routes share this shard, so their groups are one.
            const std::string joined = found->second;
            for (auto &[service, group] : m_groups)
                if (group == joined)
                    group = name;
        }
    }
}

AdmissionDemand EntryTraffic::RequestGate::makeDemand(const Route &route, const ForwardedRequest &request,
                                                      TimePoint arrived, const Waiter &waiter) const
{
    const ScatterPlan &plan = *waiter.plan;
    const ServiceName &shard = plan.shards.front();
    const auto group = m_groups.find(shard);
    AdmissionDemand demand;
    demand.number = m_lastNumber;
    demand.priority = priorityOf(route, request);
    demand.scope = scopeOf(route, plan, demand.priority);
    demand.group = group == m_groups.end() ? shard.value() : group->second;
    demand.customer = request.customer.value();
    demand.arrived = arrived;
    demand.targetTime = std::min(plan.deadline, arrived + route.targetLatency);
    demand.deadline = plan.deadline;
    demand.usualTime = m_traffic.latencyOf(route).hedgeDelay.value();
    demand.shards = plan.shards.size();
    return demand;
}

AdmissionNumber EntryTraffic::RequestGate::enter(TimePoint arrived, const Route &route, const ForwardedRequest &request,
                                                 Waiter waiter)
{
    const AdmissionNumber number = ++m_lastNumber;
    AdmissionDemand demand = makeDemand(route, request, arrived, waiter);
    const int priority = demand.priority;
    m_pending[number] = {std::move(waiter), request.id, route.name, priority};
    execute(m_admission.submit(arrived, std::move(demand)));
    if (m_pending.contains(number))
        countDecision("waited", priority);
    scheduleWake(arrived);
    return number;
}

void EntryTraffic::RequestGate::leave(AdmissionNumber number)
{
    const TimePoint now = monotonicNow();
    m_pending.erase(number);
    m_admission.withdraw(number);
    m_admission.ended(now, number);
    onRoomChanged();
}

void EntryTraffic::RequestGate::onRoomChanged()
{
    if (!m_pending.empty())
        postUpdate();
}

void EntryTraffic::RequestGate::postUpdate()
{
    if (std::exchange(m_updatePosted, true))
        return;
    boost::asio::post(m_traffic.m_context, [this] {
        m_updatePosted = false;
        const TimePoint now = monotonicNow();
        execute(m_admission.update(now));
        scheduleWake(now);
    });
}

void EntryTraffic::RequestGate::tick(TimePoint now)
{
    static Counter &waiting = Metrics::counter("hickoryspur_admission_waiting");
    static Counter &running = Metrics::counter("hickoryspur_admission_running");
    std::vector<AdmissionNumber> numbers;
    for (const auto &[number, pending] : m_pending)
        numbers.push_back(number);
    for (const AdmissionNumber number : numbers) {
        const auto found = m_pending.find(number);
        if (found == m_pending.end() || !found->second.waiter.endIfUnwanted())
            continue;
        m_pending.erase(number);
        m_admission.withdraw(number);
    }
    execute(m_admission.tick(now));
    scheduleWake(now);
    waiting.set(static_cast<int64_t>(m_admission.waiting()));
    running.set(static_cast<int64_t>(m_admission.running()));
}

void EntryTraffic::RequestGate::execute(const AdmissionDecisions &decisions)
{
    for (const AdmissionNumber number : decisions.admit) {
        const auto found = m_pending.find(number);
        if (found == m_pending.end())
            continue;
        const Pending pending = std::move(found->second);
        m_pending.erase(found);
        countDecision("admitted", pending.priority);
        pending.waiter.start();
    }
    for (const RefusedRequest &refused : decisions.refuse)
        refuse(refused);
    if (!decisions.admit.empty())
        onRoomChanged();
}

void EntryTraffic::RequestGate::refuse(const RefusedRequest &refused)
{
    const auto found = m_pending.find(refused.number);
    if (found == m_pending.end())
        return;
    const Pending pending = std::move(found->second);
    m_pending.erase(found);
    countDecision("refused", pending.priority);
    HS_LOG_REQUEST(LogEvent::RequestNotAdmitted)
        << "request=" << pending.requestId << " route=" << pending.route << " priority=" << pending.priority
        << " reason=" << nameOf(refused.reason) << " retry-ms=" << toMilliseconds(refused.retryAfter)
        << " waiting=" << m_admission.waiting() << " running=" << m_admission.running();
    pending.waiter.refuse(refused.retryAfter);
}

void EntryTraffic::RequestGate::scheduleWake(TimePoint now)
{
    const TimePoint wake = m_admission.nextWake(now);
    if (wake == m_wakeAt)
        return;
    m_wakeAt = wake;
    if (wake == TimePoint::max()) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(std::max<Duration>(wake - now, kMinWakeInterval));
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        m_wakeAt = TimePoint::max();
        const TimePoint at = monotonicNow();
        execute(m_admission.update(at));
        scheduleWake(at);
    });
}

bool EntryTraffic::RequestGate::hasRoom(const AdmissionDemand &demand, size_t spare)
{
    const ScatterPlan &plan = *m_pending.at(demand.number).waiter.plan;
    const size_t mayLack = plan.shards.size() - std::min(plan.minParts, plan.shards.size());
    const TimePoint now = monotonicNow();
    // Mostly the same shards are full again, and nothing else has to be looked at.
    std::vector<ServiceName> &full = m_fullShards[demand.scope];
    const auto hasNone = [&](const ServiceName &shard) { return !hasRoomAt(now, shard, demand.priority, spare); };
    // The list may be of a request that was accepted under an earlier configuration, with other shards.
    const auto isStillFull = [&](const ServiceName &shard) {
        return std::find(plan.shards.begin(), plan.shards.end(), shard) != plan.shards.end() && hasNone(shard);
    };
    if (full.size() > mayLack && std::all_of(full.begin(), full.end(), isStillFull))
        return false;
    full.clear();
    for (const ServiceName &shard : plan.shards) {
        if (!hasNone(shard))
            continue;
        full.push_back(shard);
        if (full.size() > mayLack)
            return false;
    }
    return true;
}

bool EntryTraffic::RequestGate::hasRoomAt(TimePoint now, const ServiceName &shard, int priority, size_t spare) const
{
    // Other entries ask the shards that belong to them, and this one does not know what room there is.
    if (m_traffic.m_routeGroups.contains(shard) && !m_traffic.m_routeGroups.isHolder(shard))
        return true;
    const std::vector<const KnownUpstream *> usable = m_traffic.usableReplicas(now, shard, VersionGroup::Any);
    const auto withRoom = std::count_if(usable.begin(), usable.end(), [&](const KnownUpstream *known) {
        const UpstreamId &id = known->announcement.id;
        return m_traffic.m_connections.hasRoomBesidesPosted(id) && !m_traffic.m_replicaTracker.isDegraded(now, id)
            && m_traffic.hasSharedRoom(now, id, priority);
    });
    return static_cast<size_t>(withRoom) >= std::clamp<size_t>(usable.size(), 1, 1 + spare);
}

} // namespace hickoryspur
