#include "request/ActiveRequest.h"

#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"
#include "hickoryspur/request/TopRecords.h"
#include "process/ConnectionGuard.h"
#include "request/RequestGate.h"

#include <algorithm>
#include <array>

namespace hickoryspur {

namespace {

/** An attempt may run this long after its caller has disconnected; then its connection is closed. */
constexpr Duration kCallerGoneGrace = 250ms;

} // namespace

const char *outcomeName(ScatterOutcome outcome)
{
    switch (outcome) {
    case ScatterOutcome::Complete:
        return "complete";
    case ScatterOutcome::Partial:
        return "partial";
    case ScatterOutcome::Failed:
        return "failed";
    case ScatterOutcome::NotRun:
        return "not-run";
    case ScatterOutcome::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

namespace {

/** Upper bounds of the request time histogram, in milliseconds. */
constexpr std::array<int64_t, 9> kRequestBounds = {10, 20, 40, 80, 160, 320, 640, 1280, 2560};

/** Counts a request in every bucket whose bound it does not exceed: Prometheus buckets are cumulative. */
void observeRequest(Duration took)
{
    static const std::array<Counter *, kRequestBounds.size()> kBuckets = [] {
        std::array<Counter *, kRequestBounds.size()> buckets{};
        for (size_t i = 0; i < kRequestBounds.size(); ++i)
            buckets[i] =
                &Metrics::counter("hickoryspur_request_ms_bucket{le=\"" + std::to_string(kRequestBounds[i]) + "\"}");
        return buckets;
    }();
    for (size_t i = 0; i < kRequestBounds.size(); ++i)
        if (toMilliseconds(took) <= static_cast<double>(kRequestBounds[i]))
            kBuckets[i]->add();
}

} // namespace

LogEvent eventOf(ScatterOutcome outcome)
{
    if (outcome == ScatterOutcome::Partial)
        return LogEvent::RequestPartial;
    return outcome == ScatterOutcome::NotRun ? LogEvent::RequestRefused : LogEvent::RequestFailed;
}

void countRequest(Duration took, ScatterOutcome outcome)
{
    static Counter &requests = Metrics::counter("hickoryspur_requests_total");
    static Counter &partial = Metrics::counter("hickoryspur_requests_partial_total");
    static Counter &failed = Metrics::counter("hickoryspur_requests_failed_total");
    requests.add();
    observeRequest(took);
    if (outcome == ScatterOutcome::Partial)
        partial.add();
    else if (outcome != ScatterOutcome::Complete)
        failed.add();
}

ScatterHooks EntryTraffic::ActiveRequest::hooks()
{
    ScatterHooks hooks;
    hooks.choose = [this](const ServiceName &service,
                          const std::vector<UpstreamId> &tried) -> std::optional<ReplicaChoice> {
        if (isStopped())
            return std::nullopt;
        return m_traffic.chooseReplica(service, tried, versionGroup(service, !tried.empty()),
                                       priorityOf(m_route, m_request), m_request.body.size());
    };
    hooks.tryConsumeBudget = [this](const ServiceName &service) { return m_traffic.tryConsumeBudget(service); };
    hooks.reportOverdue = [this](const UpstreamId &upstream) {
        m_traffic.m_replicaTracker.recordOverdue(upstream);
        m_traffic.m_sharedLoad.recordOverdue(upstream);
    };
    hooks.tryWithdraw = [this](AttemptKey key) {
        const auto sent = m_runningAttempts.find(key);
        return sent != m_runningAttempts.end() && m_traffic.m_connections.cancelIfNotSent(sent->second.handle);
    };
    return hooks;
}

bool EntryTraffic::ActiveRequest::isStopped() const
{
    return lacksAuthentication(*m_routes, *m_traffic.m_routes, m_request)
        || (!m_isProbe && m_traffic.isQuarantined(m_request));
}

VersionGroup EntryTraffic::ActiveRequest::versionGroup(const ServiceName &service, bool isExtra)
{
    const auto found = m_versionGroups.find(service);
    if (found == m_versionGroups.end())
        return m_versionGroups[service] = m_traffic.m_versions.pick(m_started, service);
    return isExtra ? m_traffic.m_versions.pickForExtra(service, found->second) : found->second;
}

CallerAnswer EntryTraffic::ActiveRequest::serve()
{
    ScatterPlan plan = m_traffic.makePlan(m_started, m_route, m_request);
    plan.probesFirst = m_isProbe;
    boost::fibers::future<CallerAnswer> answer = m_promise.get_future();
    std::optional<AdmissionNumber> number;
    // A probe is sent to one upstream, and must not be delayed: others wait for what it shows.
    if (m_traffic.m_gate && !m_isProbe)
        number = enterGate(std::move(plan));
    else
        start(std::move(plan));
    CallerAnswer result = answer.get();
    if (number)
        m_traffic.m_gate->leave(*number);
    reportLosses();
    return result;
}

AdmissionNumber EntryTraffic::ActiveRequest::enterGate(ScatterPlan plan)
{
    m_waitingPlan = std::move(plan);
    RequestGate::Waiter waiter;
    waiter.plan = &*m_waitingPlan;
    waiter.start = [self = shared_from_this()] {
        // It may run from a handler of the loop, where nothing catches; a part of the request may have been sent.
        const bool started = runGuarded("admission", [&self] {
            self->m_begun = monotonicNow();
            self->start(std::move(*self->m_waitingPlan));
        });
        if (!started)
            self->abandon();
    };
    waiter.refuse = [self = shared_from_this()](Duration retryAfter) {
        self->endUnsent(self->m_traffic.m_codec.refusal(RefusalKind::NotRunTryLater, retryAfter));
    };
    waiter.endIfUnwanted = [self = shared_from_this()] { return self->endIfUnwanted(); };
    return m_traffic.m_gate->enter(m_started, m_route, m_request, std::move(waiter));
}

void EntryTraffic::ActiveRequest::endUnsent(CallerAnswer answer)
{
    m_finished = true;
    countRequest(monotonicNow() - m_started, ScatterOutcome::NotRun);
    m_promise.set_value(std::move(answer));
}

bool EntryTraffic::ActiveRequest::endIfUnwanted()
{
    if (m_isCallerGone())
        endUnsent(m_traffic.m_codec.refusal(RefusalKind::TimedOut, Duration::zero()));
    else if (isStopped() || !m_traffic.canFinish(monotonicNow(), m_route, m_request))
        endUnsent(m_traffic.refuseNotRun(m_request, m_route, Duration::zero()));
    return m_finished;
}

void EntryTraffic::ActiveRequest::serveGroup(GroupOrder order)
{
    ScatterPlan plan = m_traffic.makePlan(m_started, m_route, m_request);
    plan.shards = order.shards;
    plan.minParts = 0;
    plan.maxSkipped = order.maxSkipped;
    plan.waitsForAll = true;
    plan.targetTime = order.reportAt;
    plan.deadline = order.deadline;
    m_group = std::move(order);
    start(std::move(plan));
}

void EntryTraffic::ActiveRequest::start(ScatterPlan plan)
{
    m_deadline = plan.deadline;
    m_shardCount = plan.shards.size();
    for (const ServiceName &service : plan.shards)
        m_traffic.budget(service).recordFirstSubRequests(m_begun, 1);
    m_scatter.emplace(std::move(plan), hooks());
    execute(m_scatter->start(m_begun));
}

void EntryTraffic::ActiveRequest::execute(const ScatterActions &actions)
{
    for (const SendAttempt &attempt : actions.sends)
        send(attempt);
    if (actions.outcome && !m_finished)
        finish(*actions.outcome);
    // Only a new attempt can become overdue before the timer expires.
    if (m_finished || !actions.sends.empty() || m_timerExpiry <= monotonicNow())
        scheduleTimer();
}

void EntryTraffic::ActiveRequest::send(const SendAttempt &attempt)
{
    const TimePoint now = monotonicNow();
    const std::optional<UpstreamTarget> target = m_traffic.targetOf(attempt.upstream);
    ExchangeRequest request;
    // The time left is computed when the request is written, since a connection may have to be opened first.
    request.encode = [self = shared_from_this(), upstream = attempt.upstream, key = attempt.key](TimePoint at) {
        self->noteWritten(at, key);
        const Duration timeout = self->m_request.timeout.value_or(self->m_route.timeout);
        return self->m_traffic.m_codec.encode(self->m_request, upstream, self->m_started + timeout - at);
    };
    request.requestId = m_request.id;
    request.isHead = m_request.method == "HEAD";
    request.bodyBytes = m_request.body.size();
    request.deadline = m_deadline;
    request.fresh = !m_route.idempotent;
    request.priority = m_traffic.waitingPriority(m_route, m_request);
    m_traffic.m_replicaTracker.recordSent(attempt.upstream);
    m_traffic.m_sharedLoad.recordChosen(now, attempt.upstream, priorityOf(m_route, m_request));
    m_traffic.m_probes.reachability().recordSent(now, attempt.upstream);
    ++m_traffic.m_sentSubRequests;
    const Announcement &announcement = m_traffic.m_registry.find(attempt.upstream)->announcement;
    m_traffic.m_admission.recordSent(now, m_traffic.admissionQuery(announcement));
    SentAttempt &sent = m_runningAttempts[attempt.key];
    sent = {attempt.upstream, announcement.incarnation, now, 0, attempt.isProbe, std::nullopt, std::nullopt};
    request.mayStart = [self = shared_from_this(), sent] {
        return !self->isStopped() && self->m_traffic.mayStillSend(sent.at, sent.upstream, sent.incarnation);
    };
    sent.handle = m_traffic.m_connections.send(*target, std::move(request),
                                               [self = shared_from_this(), key = attempt.key](ExchangeResult result) {
                                                   self->onAttemptEnded(key, std::move(result));
                                               });
}

AttemptOutcome EntryTraffic::ActiveRequest::classifyOutcome(const ExchangeResult &result, const AnswerVerdict &verdict)
{
    if (result.outcome != AttemptOutcome::Answered)
        return result.outcome;
    if (verdict.notRun)
        return AttemptOutcome::Refused;
    return verdict.success ? AttemptOutcome::Answered : AttemptOutcome::Failed;
}

void EntryTraffic::ActiveRequest::onAttemptEnded(AttemptKey key, ExchangeResult result)
{
    const TimePoint now = monotonicNow();
    const SentAttempt sent = m_runningAttempts.at(key);
    m_runningAttempts.erase(key);
    AnswerVerdict verdict;
    if (result.outcome == AttemptOutcome::Answered) {
        m_traffic.m_probes.reachability().recordAnswer();
        verdict = m_traffic.m_codec.read(result.answer);
    } else if (result.outcome == AttemptOutcome::Lost) {
        m_traffic.m_probes.reachability().recordLost(now, sent.upstream);
    }
    if (verdict.signals)
        m_traffic.recordSignals(now, sent.upstream, sent.incarnation, *verdict.signals);
    const AttemptOutcome outcome = classifyOutcome(result, verdict);
    noteUsage(sent, outcome);
    noteSurvival(sent, outcome, result.outcome == AttemptOutcome::Answered && !verdict.notRun);
    RouteLatency &latency = m_traffic.latencyOf(m_route);
    const Duration took = now - sent.at;
    const Duration median = latency.median.value();
    const double ratio = median > Duration::zero() ? static_cast<double>(took.count()) / median.count() : 1;
    m_traffic.m_replicaTracker.recordEnd(now, sent.upstream, outcome, ratio, m_scatter->wasOverdue(key));
    recordLoad(now, key, sent, outcome, median);
    if (outcome == AttemptOutcome::Answered) {
        latency.median.add(took);
        latency.hedgeDelay.add(took);
    } else if (outcome != AttemptOutcome::Cancelled) {
        m_lastReason = sent.upstream.value() + ": "
            + (result.reason.empty() ? "status " + std::to_string(result.answer.status) : result.reason);
    }
    if (!m_finished && outcome == AttemptOutcome::Answered && !m_answers.contains(key.shard)) {
        m_signatures[key.shard] = std::move(verdict.signature);
        m_answers[key.shard] = std::move(result.answer);
        keep(std::move(result.held));
        if (m_group)
            m_unreported.push_back(key.shard);
    } else if (!m_finished && outcome == AttemptOutcome::Failed && verdict.presentable) {
        m_failure = std::move(result.answer);
        keep(std::move(result.held));
    }
    m_traffic.recordVersionSample(m_route, sent.upstream, outcome, took);
    const ScatterActions actions = m_scatter->attemptEnded(now, key, outcome);
    // After the caller has been answered or has disconnected, results only update the statistics above.
    if (!m_finished)
        execute(actions);
    reportGroupIfDue(now);
    if (m_traffic.m_gate)
        m_traffic.m_gate->onRoomChanged();
}

void EntryTraffic::ActiveRequest::noteWritten(TimePoint now, AttemptKey key)
{
    const auto sent = m_runningAttempts.find(key);
    if (sent == m_runningAttempts.end() || sent->second.writtenAt)
        return;
    sent->second.writtenAt = now;
    sent->second.run = m_usage->begin(now);
    m_traffic.m_sharedLoad.recordWritten(sent->second.upstream);
}

void EntryTraffic::ActiveRequest::recordLoad(TimePoint now, AttemptKey key, const SentAttempt &sent,
                                             AttemptOutcome outcome, Duration median)
{
    SharedLoad::End end;
    end.wasWritten = sent.writtenAt.has_value();
    end.wasOverdue = m_scatter->wasOverdue(key);
    end.wasShed = outcome == AttemptOutcome::Refused;
    if (outcome == AttemptOutcome::Answered && sent.writtenAt) {
        // Without the wait for a connection, which says nothing of the upstream.
        end.took = now - *sent.writtenAt;
        if (median > Duration::zero())
            end.latencyRatio = static_cast<double>(end.took->count()) / static_cast<double>(median.count());
    }
    m_traffic.m_sharedLoad.recordEnd(now, sent.upstream, end);
}

void EntryTraffic::ActiveRequest::noteUsage(const SentAttempt &sent, AttemptOutcome outcome)
{
    if (!sent.run)
        return;
    if (outcome == AttemptOutcome::Refused)
        m_usage->endNotRun(*sent.run);
    else
        m_usage->endRun(*sent.run);
}

void EntryTraffic::ActiveRequest::keep(ByteBudget::Share held)
{
    held.pin();
    m_held.push_back(std::move(held));
}

void EntryTraffic::ActiveRequest::noteSurvival(const SentAttempt &sent, AttemptOutcome outcome, bool hasRun)
{
    if (hasRun && !m_ranAndAnswered)
        m_traffic.recordSurvivedRequest(m_request);
    m_ranAndAnswered |= hasRun;
    if (outcome == AttemptOutcome::Lost)
        m_losses.push_back({sent.upstream, sent.incarnation, hash64(m_request.id), sent.isProbe});
}

void EntryTraffic::ActiveRequest::reportLosses()
{
    if (!m_ranAndAnswered && !m_losses.empty())
        m_traffic.recordLosses(monotonicNow(), m_request, m_losses);
    if (m_isProbe)
        m_traffic.endProbe(m_request);
}

void EntryTraffic::ActiveRequest::scheduleTimer()
{
    if (m_finished && m_cancelRunningAt == TimePoint::max()) {
        m_timer.cancel();
        return;
    }
    const TimePoint now = monotonicNow();
    const TimePoint wake =
        m_finished ? m_cancelRunningAt : std::min(m_scatter->nextWake(now), now + kCallerGoneCheckInterval);
    // This runs after every attempt; resetting the timer costs more than an early expiry.
    if (m_timerExpiry > now && m_timerExpiry <= wake)
        return;
    m_timerExpiry = wake;
    m_timer.expires_after(std::max<Duration>(wake - now, 100us));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->onTimer();
    });
}

void EntryTraffic::ActiveRequest::onTimer()
{
    m_timerExpiry = TimePoint();
    if (m_finished) {
        // A timer that expires after the answer was given must not cancel the remaining attempts.
        if (m_cancelRunningAt != TimePoint::max())
            cancelRunningAttempts();
        return;
    }
    if (!m_isCallerGone()) {
        const TimePoint now = monotonicNow();
        // An answer, whichever it is, is worth more to the caller than a connection that ends without one.
        execute(m_scatter->tick(now >= m_traffic.m_stopTime ? std::max(now, m_deadline) : now));
        reportGroupIfDue(now);
        return;
    }
    abandon();
}

void EntryTraffic::ActiveRequest::abandon()
{
    if (m_finished)
        return;
    m_finished = true;
    m_cancelRunningAt = m_runningAttempts.empty() ? TimePoint::max() : monotonicNow() + kCallerGoneGrace;
    if (!m_group)
        m_promise.set_value(m_traffic.m_codec.refusal(RefusalKind::TimedOut, Duration::zero()));
    cancelQueuedAttempts();
    scheduleTimer();
}

void EntryTraffic::ActiveRequest::cancelRunningAttempts()
{
    m_cancelRunningAt = TimePoint::max();
    for (const UpstreamConnections::Handle handle : runningHandles())
        m_traffic.m_connections.cancel(handle);
}

void EntryTraffic::ActiveRequest::cancelQueuedAttempts()
{
    for (const UpstreamConnections::Handle handle : runningHandles())
        m_traffic.m_connections.cancelIfNotSent(handle);
}

std::vector<UpstreamConnections::Handle> EntryTraffic::ActiveRequest::runningHandles() const
{
    std::vector<UpstreamConnections::Handle> handles;
    for (const auto &[key, sent] : m_runningAttempts)
        handles.push_back(sent.handle);
    return handles;
}

void EntryTraffic::ActiveRequest::finish(ScatterOutcome outcome)
{
    m_finished = true;
    for (const auto &[key, sent] : m_runningAttempts)
        noteUsage(sent, AttemptOutcome::NoResponse);
    if (outcome != ScatterOutcome::Complete)
        logOutcome(outcome);
    if (m_group) {
        reportGroup(true);
        return cancelQueuedAttempts();
    }
    countRequest(monotonicNow() - m_started, outcome);
    m_promise.set_value(m_route.isScattered()
                                && (outcome == ScatterOutcome::Complete || outcome == ScatterOutcome::Partial)
                            ? mergedAnswer()
                            : singleAnswer(outcome));
    cancelQueuedAttempts();
}

void EntryTraffic::ActiveRequest::reportGroup(bool ended)
{
    GroupReport report;
    std::vector<std::string_view> parts;
    for (const uint32_t shard : m_unreported) {
        report.signatures.push_back(m_signatures.at(shard));
        parts.emplace_back(m_answers.at(shard).body);
    }
    m_unreported.clear();
    report.records = mergeTopRecords(parts, m_route.topRecords);
    report.ended = ended;
    report.mayHaveRun = !m_scatter->provablyNotRun();
    report.begunMicrosAgo = begunMicrosAgo(monotonicNow(), *m_usage);
    if (ended)
        report.losses = m_losses;
    m_group->report(std::move(report));
}

void EntryTraffic::ActiveRequest::reportGroupIfDue(TimePoint now)
{
    if (m_group && !m_finished && now >= m_group->reportAt && !m_unreported.empty())
        reportGroup(false);
}

CallerAnswer EntryTraffic::ActiveRequest::mergedAnswer() const
{
    std::vector<std::string> signatures;
    std::vector<std::string_view> parts;
    for (const auto &[shard, answer] : m_answers) {
        signatures.push_back(m_signatures.at(shard));
        parts.emplace_back(answer.body);
    }
    return m_traffic.m_codec.merged(signatures, m_shardCount - parts.size(),
                                    mergeTopRecords(parts, m_route.topRecords));
}

CallerAnswer EntryTraffic::ActiveRequest::singleAnswer(ScatterOutcome outcome) const
{
    if (outcome == ScatterOutcome::Complete)
        return m_traffic.m_codec.passThrough(m_answers.begin()->second);
    if (outcome == ScatterOutcome::NotRun)
        return m_traffic.refuseNotRun(m_request, m_route,
                                      m_traffic.timeUntilAdmitted(monotonicNow(), m_scatter->shards()));
    if (!m_route.isScattered() && m_failure)
        return m_traffic.m_codec.passThrough(*m_failure);
    return m_traffic.makeRefusal(outcome == ScatterOutcome::TimedOut ? RefusalKind::TimedOut
                                                                     : RefusalKind::UpstreamFailed);
}

void EntryTraffic::ActiveRequest::logOutcome(ScatterOutcome outcome) const
{
    HS_LOG_REQUEST(eventOf(outcome)) << "request=" << m_request.id << " route=" << m_route.name
                                     << " outcome=" << outcomeName(outcome) << " parts=" << m_scatter->answeredParts()
                                     << '/' << m_shardCount << " ms=" << toMilliseconds(monotonicNow() - m_started)
                                     << " routes=" << m_routes->number
                                     << " missing=" << m_scatter->describeUnanswered(monotonicNow()) << " last=\""
                                     << m_lastReason << '"';
}

} // namespace hickoryspur
