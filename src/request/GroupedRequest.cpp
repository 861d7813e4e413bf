#include "request/GroupedRequest.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"
#include "hickoryspur/request/TopRecords.h"
#include "process/ConnectionGuard.h"
#include "request/RequestGate.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <sstream>

namespace hickoryspur {

namespace {

/** The last reports arrive together, and are merged before the answer is sent. */
constexpr Duration kMergeTime = 3ms;

} // namespace

EntryTraffic::GroupedRequest::GroupedRequest(EntryTraffic &traffic, std::shared_ptr<const RouteTable> routes,
                                             const Route &route, ForwardedRequest request,
                                             std::shared_ptr<const std::vector<ShardGroup>> groups,
                                             std::function<bool()> isCallerGone, Usage usage)
    : m_traffic(traffic)
    , m_routes(std::move(routes))
    , m_route(route)
    , m_request(std::move(request))
    , m_groups(std::move(groups))
    , m_isCallerGone(std::move(isCallerGone))
    , m_usage(std::move(usage))
    , m_timer(traffic.m_context)
    , m_started(monotonicNow())
    , m_plan(traffic.makePlan(m_started, route, m_request))
    , m_dispatches(m_groups->size())
{
    m_plan.targetTime -= kMergeTime;
}

CallerAnswer EntryTraffic::GroupedRequest::serve()
{
    GroupPlan plan;
    for (const ShardGroup &group : *m_groups)
        plan.sizes.push_back(group.shards.size());
    plan.minParts = m_plan.minParts;
    plan.targetTime = m_plan.targetTime;
    plan.deadline = m_plan.deadline;
    m_gather.emplace(std::move(plan));
    boost::fibers::future<CallerAnswer> answer = m_promise.get_future();
    std::optional<AdmissionNumber> number;
    if (m_traffic.m_gate)
        number = enterGate();
    else
        start();
    CallerAnswer result = answer.get();
    if (number)
        m_traffic.m_gate->leave(*number);
    reportLosses();
    return result;
}

void EntryTraffic::GroupedRequest::start()
{
    execute(m_gather->start());
    scheduleTimer();
}

AdmissionNumber EntryTraffic::GroupedRequest::enterGate()
{
    RequestGate::Waiter waiter;
    waiter.plan = &m_plan;
    waiter.start = [self = shared_from_this()] {
        // Another entry's configuration may still have a key that has been withdrawn here.
        if (self->endIfUnwanted())
            return;
        // It may run from a handler of the loop, where nothing catches; a part of the request may have been sent.
        if (!runGuarded("admission", [&self] { self->start(); }))
            self->abandon();
    };
    waiter.refuse = [self = shared_from_this()](Duration retryAfter) {
        self->endUnsent(self->m_traffic.m_codec.refusal(RefusalKind::NotRunTryLater, retryAfter));
    };
    waiter.endIfUnwanted = [self = shared_from_this()] { return self->endIfUnwanted(); };
    return m_traffic.m_gate->enter(m_started, m_route, m_request, std::move(waiter));
}

void EntryTraffic::GroupedRequest::endUnsent(CallerAnswer answer)
{
    m_finished = true;
    countRequest(monotonicNow() - m_started, ScatterOutcome::NotRun);
    m_promise.set_value(std::move(answer));
}

bool EntryTraffic::GroupedRequest::isStopped() const
{
    return lacksAuthentication(*m_routes, *m_traffic.m_routes, m_request) || m_traffic.isQuarantined(m_request);
}

bool EntryTraffic::GroupedRequest::endIfUnwanted()
{
    if (m_isCallerGone())
        endUnsent(m_traffic.m_codec.refusal(RefusalKind::TimedOut, Duration::zero()));
    else if (isStopped() || !m_traffic.canFinish(monotonicNow(), m_route, m_request))
        endUnsent(m_traffic.refuseNotRun(m_request, m_route, Duration::zero()));
    return m_finished;
}

void EntryTraffic::GroupedRequest::execute(const GroupActions &actions)
{
    for (const size_t group : actions.dispatches)
        dispatch(group);
    if (actions.outcome && !m_finished)
        finish(*actions.outcome);
}

std::string EntryTraffic::GroupedRequest::chooseEntry(TimePoint now, size_t group) const
{
    const DataCentreName &place = (*m_groups)[group].dataCentre;
    if (m_traffic.m_routeGroups.shardGroups().isMember(place))
        return "";
    for (const std::string &entry : m_traffic.m_routeGroups.shardGroups().members(place))
        if (!m_dispatches[group].tried.contains(entry) && m_traffic.m_delegations.isUsable(now, entry))
            return entry;
    return "";
}

void EntryTraffic::GroupedRequest::dispatch(size_t group)
{
    const TimePoint now = monotonicNow();
    Dispatch &dispatch = m_dispatches[group];
    dispatch.at = now;
    dispatch.entry = chooseEntry(now, group);
    if (dispatch.entry.empty())
        return serveHere(group);
    dispatch.tried.insert(dispatch.entry);
    delegate(now, group);
}

void EntryTraffic::GroupedRequest::delegate(TimePoint now, size_t group)
{
    static Counter &delegated = Metrics::counter("hickoryspur_groups_delegated_total");
    delegated.add();
    DelegatedRequest order;
    order.request = m_request;
    const auto left = [now](TimePoint until) { return (until - now - DelegatedRequest::kHopTime).count(); };
    if (m_request.timeout)
        order.timeoutMicros = left(m_started + *m_request.timeout);
    order.shards = (*m_groups)[group].shards;
    order.maxSkipped = static_cast<uint32_t>(m_gather->skippable()[group]);
    order.targetMicros = left(m_plan.targetTime);
    order.deadlineMicros = left(m_plan.deadline);
    Delegations::Hooks hooks;
    hooks.reply = [self = shared_from_this(), group](DelegatedReply reply) { self->onReply(group, std::move(reply)); };
    hooks.lost = [self = shared_from_this(), group](bool sent) { self->onLost(group, sent); };
    m_dispatches[group].run = m_usage->begin(now);
    m_dispatches[group].call = m_traffic.m_delegations.send(now, m_dispatches[group].entry, order, std::move(hooks));
}

void EntryTraffic::GroupedRequest::serveHere(size_t group)
{
    auto own = std::make_shared<ActiveRequest>(
        m_traffic, m_routes, m_route, m_request, false, [] { return false; }, m_usage);
    m_dispatches[group].run.reset();
    m_dispatches[group].own = own;
    GroupOrder order;
    order.shards = (*m_groups)[group].shards;
    order.maxSkipped = m_gather->skippable()[group];
    order.reportAt = m_plan.targetTime;
    order.deadline = m_plan.deadline;
    // Posted, since a report may come while the groups are still being sent.
    order.report = [self = shared_from_this(), group](GroupReport report) {
        boost::asio::post(self->m_traffic.m_context, [self, group, report = std::move(report)]() mutable {
            self->onReport(group, std::move(report));
        });
    };
    own->serveGroup(std::move(order));
}

void EntryTraffic::GroupedRequest::onReply(size_t group, DelegatedReply reply)
{
    static Counter &refused = Metrics::counter("hickoryspur_groups_refused_total");
    if (!reply.refused)
        return onReport(group, std::move(reply.group));
    refused.add();
    m_dispatches[group].call.reset();
    m_usage->endNotRun(*m_dispatches[group].run);
    if (!m_finished)
        execute(m_gather->groupRefused(monotonicNow(), group));
}

void EntryTraffic::GroupedRequest::onReport(size_t group, GroupReport report)
{
    if (const std::optional<RequestUsage::RunId> run = m_dispatches[group].run)
        noteReportedUsage(monotonicNow(), *run, report, *m_usage);
    if (report.ended) {
        m_dispatches[group].call.reset();
        m_losses.insert(m_losses.end(), report.losses.begin(), report.losses.end());
    }
    if (m_finished || m_gather->hasEnded(group))
        return;
    const TimePoint now = monotonicNow();
    if (report.signatures.size() > m_gather->missingParts(group))
        return execute(m_gather->groupLost(now, group));
    std::move(report.signatures.begin(), report.signatures.end(), std::back_inserter(m_signatures));
    m_records.push_back(std::move(report.records));
    execute(m_gather->partsArrived(now, group, report.signatures.size(), report.ended, report.mayHaveRun));
}

void EntryTraffic::GroupedRequest::onLost(size_t group, bool sent)
{
    static Counter &lost = Metrics::counter("hickoryspur_groups_lost_total");
    lost.add();
    const TimePoint now = monotonicNow();
    m_dispatches[group].call.reset();
    if (sent)
        m_usage->endRun(*m_dispatches[group].run);
    else
        m_usage->endNotRun(*m_dispatches[group].run);
    HS_LOG_REQUEST(LogEvent::GroupLost) << "request=" << m_request.id << " group=" << (*m_groups)[group].dataCentre
                                        << " entry=" << m_dispatches[group].entry << " sent=" << sent
                                        << " ms=" << toMilliseconds(now - m_dispatches[group].at);
    if (!m_finished)
        execute(sent ? m_gather->groupLost(now, group) : m_gather->groupRefused(now, group));
}

void EntryTraffic::GroupedRequest::scheduleTimer()
{
    if (m_finished)
        return;
    const TimePoint now = monotonicNow();
    const TimePoint wake = std::min(m_gather->nextWake(now), now + kCallerGoneCheckInterval);
    m_timer.expires_after(std::max<Duration>(wake - now, 100us));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->onTimer();
    });
}

void EntryTraffic::GroupedRequest::onTimer()
{
    if (m_finished)
        return;
    if (m_isCallerGone())
        return abandon();
    const TimePoint now = monotonicNow();
    // An answer, whichever it is, is worth more to the caller than a connection that ends without one.
    execute(m_gather->tick(now >= m_traffic.m_stopTime ? std::max(now, m_plan.deadline) : now));
    scheduleTimer();
}

void EntryTraffic::GroupedRequest::abandon()
{
    if (m_finished)
        return;
    m_finished = true;
    m_usage->endRequest();
    m_promise.set_value(m_traffic.m_codec.refusal(RefusalKind::TimedOut, Duration::zero()));
    cancelGroups();
}

void EntryTraffic::GroupedRequest::cancelGroups()
{
    for (Dispatch &dispatch : m_dispatches) {
        if (dispatch.call)
            m_traffic.m_delegations.cancel(*dispatch.call);
        dispatch.call.reset();
        if (const std::shared_ptr<ActiveRequest> own = dispatch.own.lock())
            own->abandon();
    }
}

void EntryTraffic::GroupedRequest::finish(ScatterOutcome outcome)
{
    m_finished = true;
    m_usage->endRequest();
    m_timer.cancel();
    countRequest(monotonicNow() - m_started, outcome);
    if (outcome != ScatterOutcome::Complete)
        logOutcome(outcome);
    m_promise.set_value(answer(outcome));
    cancelGroups();
}

CallerAnswer EntryTraffic::GroupedRequest::answer(ScatterOutcome outcome) const
{
    switch (outcome) {
    case ScatterOutcome::Complete:
    case ScatterOutcome::Partial: {
        const std::vector<std::string_view> parts(m_records.begin(), m_records.end());
        return m_traffic.m_codec.merged(m_signatures, m_gather->shardCount() - m_signatures.size(),
                                        mergeTopRecords(parts, m_route.topRecords));
    }
    case ScatterOutcome::NotRun:
        return m_traffic.refuseNotRun(m_request, m_route, m_traffic.timeUntilAdmitted(monotonicNow(), m_route.shards));
    case ScatterOutcome::TimedOut:
        return m_traffic.makeRefusal(RefusalKind::TimedOut);
    case ScatterOutcome::Failed:
        break;
    }
    return m_traffic.makeRefusal(RefusalKind::UpstreamFailed);
}

void EntryTraffic::GroupedRequest::logOutcome(ScatterOutcome outcome) const
{
    const TimePoint now = monotonicNow();
    std::ostringstream groups;
    for (size_t group = 0; group < m_groups->size(); ++group)
        groups << (*m_groups)[group].dataCentre << '['
               << (m_dispatches[group].entry.empty() ? "here" : m_dispatches[group].entry)
               << (m_gather->hasEnded(group) ? '-' : '+') << toMilliseconds(now - m_dispatches[group].at)
               << " missing=" << m_gather->missingParts(group) << ']';
    HS_LOG_REQUEST(eventOf(outcome)) << "request=" << m_request.id << " route=" << m_route.name
                                     << " outcome=" << outcomeName(outcome) << " parts=" << m_signatures.size() << '/'
                                     << m_gather->shardCount() << " ms=" << toMilliseconds(now - m_started)
                                     << " routes=" << m_routes->number << " groups=" << groups.str();
}

void EntryTraffic::GroupedRequest::reportLosses()
{
    if (m_signatures.empty() && !m_losses.empty())
        m_traffic.recordLosses(monotonicNow(), m_request, m_losses);
}

} // namespace hickoryspur
