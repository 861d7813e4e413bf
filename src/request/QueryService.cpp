#include "request/QueryService.h"

#include "hickoryspur/process/Check.h"
#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/Metrics.h"
#include "request/AnswerJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace hickoryspur {

namespace {

/** Added to the cost of an upstream whose home is unreachable or changing, so that it is chosen last. */
constexpr double kUnreachableHomeCostMicros = 1e9;
/** Maximum share of queries that may be restarted as a whole on a newer snapshot. */
constexpr double kMaxRestartShare = 0.05;
/** Slightly longer than callers may use an address from /v1/entries. */
constexpr Duration kAddressValidity = 2500ms;
/** Claiming an action's key may take at most the action's timeout divided by this. */
constexpr int kClaimTimeoutDivisor = 2;
/** Time limit for storing an action's outcome, which goes on after its caller has stopped waiting. */
constexpr Duration kStoreOutcomeTimeout = 5s;
/** A key time further in the future than this is rejected as an error of the caller's clock. */
constexpr int64_t kMaxClockSkewSeconds = 60;

ServiceAnswer refusalAnswer(const Failure &failure, const View *view)
{
    return {failure.code, failureJson(failure, view)};
}

/** The answer if no upstream holds a snapshot that may be served: every shard of the newest map is missing. */
FanOutAnswer noUpstreamAnswer(uint32_t shards)
{
    FanOutAnswer answer;
    answer.code = ResultCode::NoUpstream;
    answer.message = "no upstream holds a snapshot that may be served";
    answer.notRun = true;
    answer.shardCount = shards;
    answer.missing.resize(shards);
    std::iota(answer.missing.begin(), answer.missing.end(), 0);
    return answer;
}

Counter &queriesTotal(ResultCode code)
{
    return Metrics::counter("hickoryspur_queries_total{result=\"" + std::string(resultCodeName(code)) + "\"}");
}

} // namespace

QueryService::QueryService(NodeId self, uint64_t incarnation, SubRequestRouter &router, Hooks hooks, uint64_t seed)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_router(router)
    , m_hooks(std::move(hooks))
    , m_random(seed)
    , m_restartBudget(kMaxRestartShare)
{
}

void QueryService::setView(ViewPointer view)
{
    m_view = std::move(view);
    const auto isSelf = [this](const EntryView &entry) { return entry.settings.name == m_self; };
    const auto self = std::find_if(m_view->entries.begin(), m_view->entries.end(), isSelf);
    if (self == m_view->entries.end() || !m_view->isOut(self->settings.dataCentre))
        m_dataCentreOutSince.reset();
    else if (!m_dataCentreOutSince)
        m_dataCentreOutSince = monotonicNow();
}

std::optional<Failure> QueryService::refusalReason(Environment environment, const ServiceName &service,
                                                   const CallerName &caller) const
{
    if (m_shuttingDown)
        return Failure{ResultCode::ShuttingDown, "this entry is shutting down", true};
    // Callers may still use the address that they got just before the data centre was taken out.
    if (m_dataCentreOutSince && monotonicNow() - *m_dataCentreOutSince > kAddressValidity)
        return Failure{ResultCode::EntryLeaving, "the data centre of this entry has been taken out", true};
    if (!m_view || !m_hooks.mayServe(monotonicNow()))
        return Failure{ResultCode::EntryWithoutLease, "this entry has no lease to serve at present; try another entry",
                       true};
    const EnvironmentView *content = m_view->find(environment);
    const ServiceConfig *config = content ? content->document.find(service) : nullptr;
    if (!config)
        return Failure{ResultCode::UnknownService, "the document in force has no service " + service.value(), true};
    if (!content->document.allows(service, caller))
        return Failure{ResultCode::NotAllowed,
                       "caller " + caller.value() + " is not allowed to use service " + service.value(), true};
    const auto known = content->services.find(service);
    if (known == content->services.end() || known->second.maps.empty())
        return Failure{ResultCode::NoShardMap,
                       "this entry does not know the shard map of service " + service.value() + " yet", true};
    return std::nullopt;
}

void QueryService::execute(const AdmissionActions &actions)
{
    const auto resolveAdmission = [this](QueryNumber query, ResultCode code) {
        const auto found = m_awaitingAdmission.find(query);
        if (found == m_awaitingAdmission.end())
            return;
        found->second->admission = code;
        found->second->condition.notify_all();
    };
    for (const QueryNumber query : actions.admit)
        resolveAdmission(query, ResultCode::Ok);
    for (const auto &[query, code] : actions.refuse)
        resolveAdmission(query, code);
}

ResultCode QueryService::admit(const CallerName &caller, uint32_t weight, TimePoint deadline, QueryNumber number)
{
    const auto mailbox = std::make_shared<Mailbox>();
    m_awaitingAdmission[number] = mailbox;
    execute(m_admission.submit(monotonicNow(), number, caller, weight, deadline));
    std::unique_lock lock(mailbox->mutex);
    mailbox->condition.wait(lock, [&] { return mailbox->admission.has_value(); });
    m_awaitingAdmission.erase(number);
    return *mailbox->admission;
}

void QueryService::tick(TimePoint now)
{
    execute(m_admission.tick(now));
}

ServiceAnswer QueryService::query(const QueryRequest &request)
{
    const TimePoint arrived = monotonicNow();
    if (const std::optional<Failure> failure = refusalReason(request.environment, request.service, request.caller)) {
        queriesTotal(failure->code).add();
        return refusalAnswer(*failure, m_view.get());
    }
    const EnvironmentView &content = *m_view->find(request.environment);
    const ServiceConfig config = *content.document.find(request.service);
    const uint32_t weight = content.document.callers.at(request.caller).weight;
    const Duration timeout =
        request.deadline > Duration::zero() ? std::min(request.deadline, config.deadline) : config.deadline;
    const TimePoint deadline = arrived + timeout;
    const QueryNumber number = m_nextQuery++;
    const ResultCode admitted = admit(request.caller, weight, deadline, number);
    if (admitted != ResultCode::Ok) {
        queriesTotal(admitted).add();
        FanOutAnswer notAdmitted;
        notAdmitted.code = admitted;
        recordAnswer(request, notAdmitted, monotonicNow() - arrived, false);
        return refusalAnswer({admitted, "this entry has too many queries to answer this one in time", true},
                             m_view.get());
    }
    ++m_runningCount;
    FanOutAnswer answer = fanOut(request, config, deadline);
    --m_runningCount;
    const TimePoint now = monotonicNow();
    const bool isComplete = answer.code == ResultCode::Ok && answer.missing.empty();
    recordAnswer(request, answer, now - arrived, now > deadline);
    execute(m_admission.finished(now, number, isComplete && now <= deadline));
    queriesTotal(answer.code).add();
    return {answer.code, answerJson(answer)};
}

std::optional<QueryPlan> QueryService::plan(Environment environment, const ServiceName &service,
                                            const ServiceConfig &config, std::optional<SnapshotId> excludedSnapshot)
{
    const EnvironmentView &content = *m_view->find(environment);
    const ServiceView &upstreams = content.services.at(service);
    PlanOptions options;
    options.snapshotsBehind = config.snapshotsBehind;
    options.excludedSnapshot = excludedSnapshot;
    const auto share = content.shares.find(service);
    if (share == content.shares.end())
        return makePlan(upstreams, options);
    const VersionShare &versions = share->second;
    const VersionName pickedVersion = m_versionPickers[service].pick(versions);
    const auto ofVersion = [](const VersionName &version) {
        return [version](const UpstreamView &upstream) { return upstream.announcement.version == version; };
    };
    options.mayUse = ofVersion(pickedVersion);
    std::optional<QueryPlan> plan = makePlan(upstreams, options);
    const bool isComplete = plan && plan->coveredShards() == plan->shardCount;
    if (isComplete || pickedVersion == versions.from)
        return plan;
    // Queries for the new version may fall back to the old one, but never the reverse: the few
    // upstreams of a canary must not get the load of old upstreams that were lost.
    options.mayUse = ofVersion(versions.from);
    std::optional<QueryPlan> fallback = makePlan(upstreams, options);
    const uint32_t covered = plan ? plan->coveredShards() : 0;
    return fallback && fallback->coveredShards() > covered ? fallback : plan;
}

void QueryService::recordSubRequest(const QueryRequest &request, const OutstandingSubRequest &outstanding,
                                    SubOutcome outcome, Duration latency)
{
    if (request.environment != Environment::Production || outcome == SubOutcome::SnapshotGone)
        return;
    RouteObservation &route =
        m_observations.services[request.service.value()].versions[outstanding.version.value()][request.caller.value()];
    SubRequestTally &byUpstream = route.byUpstream[outstanding.upstream.value()];
    if (provesNotRun(outcome)) {
        ++byUpstream.refused;
        return;
    }
    for (SubRequestTally *tally : {&byUpstream, &route.byShard[outstanding.shard]}) {
        ++tally->requests;
        tally->failures += outcome == SubOutcome::Failed || outcome == SubOutcome::Unknown ? 1 : 0;
        tally->latency.add(latency);
    }
}

void QueryService::recordAnswer(const QueryRequest &request, const FanOutAnswer &answer, Duration took, bool late)
{
    if (request.environment != Environment::Production || answer.code == ResultCode::CallerGone)
        return;
    AnswerTally &tally = m_observations.services[request.service.value()].answers[request.caller.value()];
    ++tally.answers;
    tally.late += late ? 1 : 0;
    const bool refused = answer.code != ResultCode::Ok;
    tally.partial += !refused && !answer.missing.empty() ? 1 : 0;
    tally.refused += refused ? 1 : 0;
    tally.latency.add(took);
}

ObservationBatch QueryService::drainObservations()
{
    ObservationBatch batch = std::move(m_observations);
    m_observations = ObservationBatch();
    return batch;
}

HedgeDelays &QueryService::hedgeDelays(Environment environment, const ServiceName &service)
{
    return m_hedgeDelays[{environment, service}];
}

double QueryService::cost(const UpstreamView &upstream) const
{
    double result = m_scores.cost(monotonicNow(), upstream.announcement.id);
    if (upstream.homeHandoverPending || !m_hooks.isAlive(upstream.home))
        result += kUnreachableHomeCostMicros;
    return result;
}

FanOutHooks QueryService::makeHooks(const std::shared_ptr<ViewPointer> &view, const QueryRequest &request,
                                    const ServiceConfig &config)
{
    const auto service = [view, environment = request.environment, name = request.service]() -> const ServiceView & {
        return (*view)->find(environment)->services.at(name);
    };
    FanOutHooks hooks;
    hooks.nextId = [this] { return m_router.nextId(); };
    hooks.hedgeDelay = [this, environment = request.environment, name = request.service](uint32_t shard) {
        return hedgeDelays(environment, name).delay(shard);
    };
    hooks.tryConsumeBudget = [this](TimePoint now) { return m_budget.tryConsumeBudget(now); };
    hooks.cost = [this, service](uint32_t upstream) { return cost(service().upstreams[upstream]); };
    hooks.replan = [this, view, environment = request.environment, name = request.service,
                    config](TimePoint now, SnapshotId goneSnapshot) -> std::optional<QueryPlan> {
        const EnvironmentView *content = m_view->find(environment);
        const auto found = content ? content->services.find(name) : decltype(content->services.end())();
        if (!content || found == content->services.end() || !m_restartBudget.tryConsumeBudget(now))
            return std::nullopt;
        std::optional<QueryPlan> newPlan = plan(environment, name, config, goneSnapshot);
        if (newPlan)
            *view = m_view;
        return newPlan;
    };
    return hooks;
}

void QueryService::send(const OutstandingSubRequest &outstanding, const FanOutSend &send, const QueryRequest &request,
                        const std::shared_ptr<Mailbox> &mailbox)
{
    SubRequest subRequest;
    subRequest.id = send.id;
    subRequest.upstream = outstanding.upstream;
    subRequest.shard = send.shard;
    subRequest.generation = send.generation;
    subRequest.snapshot = send.snapshot;
    subRequest.timeLeftMicros = (send.deadline - outstanding.sent).count();
    subRequest.body = request.body;
    m_scores.recordSent(subRequest.upstream);
    static Counter &firstSubRequests = Metrics::counter("hickoryspur_first_sub_requests_total");
    if (!send.extra && !send.resent) {
        firstSubRequests.add();
        m_budget.recordFirstSubRequests(outstanding.sent, 1);
    }
    // The request outlives its sub-requests: each is answered or cancelled before the query ends.
    m_router.send(
        outstanding.home, std::move(subRequest), [this, mailbox, outstanding, &request](const SubReply &reply) {
            const TimePoint end = monotonicNow();
            m_scores.recordEnd(end, outstanding.upstream, reply.kind(), end - outstanding.sent);
            recordSubRequest(request, outstanding, reply.kind(), end - outstanding.sent);
            if (reply.kind() == SubOutcome::Ok)
                hedgeDelays(request.environment, request.service).add(outstanding.shard, end - outstanding.sent);
            mailbox->replies.push_back(reply);
            mailbox->condition.notify_all();
        });
}

void QueryService::cancel(const OutstandingSubRequest &outstanding, SubRequestId id, const QueryRequest &request)
{
    const TimePoint now = monotonicNow();
    m_scores.recordEnd(now, outstanding.upstream, SubOutcome::Cancelled, Duration::zero());
    // A first sub-request that was overtaken by its hedge took at least this long, which counts as a
    // latency sample. A cancelled hedge ran too briefly to be one.
    if (!outstanding.extra) {
        recordSubRequest(request, outstanding, SubOutcome::Cancelled, now - outstanding.sent);
        hedgeDelays(request.environment, request.service).add(outstanding.shard, now - outstanding.sent);
    }
    m_router.cancel(outstanding.home, id);
}

FanOutAnswer QueryService::fanOut(const QueryRequest &request, const ServiceConfig &config, TimePoint deadline)
{
    const auto view = std::make_shared<ViewPointer>(m_view);
    const auto serviceOf = [&]() -> const ServiceView & {
        return (*view)->find(request.environment)->services.at(request.service);
    };
    std::optional<QueryPlan> initialPlan = plan(request.environment, request.service, config, std::nullopt);
    if (!initialPlan)
        return noUpstreamAnswer(serviceOf().maps.back().shards);
    m_restartBudget.recordFirstSubRequests(monotonicNow(), 1);
    const auto mailbox = std::make_shared<Mailbox>();
    FanOutConfig fanOutConfig;
    fanOutConfig.plan = std::move(*initialPlan);
    fanOutConfig.deadline = deadline;
    fanOutConfig.minCoverage = std::max(request.minCoverage, config.minCoverage);
    fanOutConfig.seed = m_random();
    FanOut query(std::move(fanOutConfig), makeHooks(view, request, config));
    std::unordered_map<SubRequestId, OutstandingSubRequest> outstanding;
    std::optional<FanOutAnswer> answer;
    std::optional<TimePoint> wakeAt;
    const auto executeActions = [&](FanOutActions actions) {
        for (const SubRequestId id : actions.cancels)
            cancel(outstanding.at(id), id, request);
        for (const FanOutSend &item : actions.sends) {
            const UpstreamView &upstream = serviceOf().upstreams[item.upstream];
            OutstandingSubRequest &out = outstanding[item.id];
            out = {upstream.home, upstream.announcement.id, upstream.announcement.version,
                   item.shard,    monotonicNow(),           item.extra};
            send(out, item, request, mailbox);
        }
        if (actions.answer)
            answer = std::move(actions.answer);
        if (actions.wakeAt)
            wakeAt = actions.wakeAt;
    };
    executeActions(query.start(monotonicNow()));
    std::unique_lock lock(mailbox->mutex);
    while (!answer) {
        if (mailbox->replies.empty())
            mailbox->condition.wait_until(lock, wakeAt.value_or(deadline));
        const std::vector<SubReply> replies = std::move(mailbox->replies);
        mailbox->replies.clear();
        const TimePoint now = monotonicNow();
        for (const SubReply &reply : replies)
            if (!answer)
                executeActions(query.reply(now, reply));
        if (!answer && request.isCallerGone && request.isCallerGone())
            executeActions(query.cancel(now, ResultCode::CallerGone));
        if (!answer && (replies.empty() || (wakeAt && now >= *wakeAt)))
            executeActions(query.tick(now));
    }
    static Counter &hedges = Metrics::counter("hickoryspur_hedges_total");
    static Counter &retries = Metrics::counter("hickoryspur_retries_total");
    hedges.add(answer->hedges);
    retries.add(answer->retries);
    return std::move(*answer);
}

ApplyOutcome QueryService::commitAndWait(Command command, Duration timeout)
{
    const auto promise = std::make_shared<boost::fibers::promise<ApplyOutcome>>();
    boost::fibers::future<ApplyOutcome> future = promise->get_future();
    m_hooks.commit(std::move(command), timeout,
                   [promise](ApplyOutcome outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

void QueryService::storeOutcome(Command outcome, TimePoint deadline)
{
    const auto stored = std::make_shared<boost::fibers::promise<void>>();
    boost::fibers::future<void> future = stored->get_future();
    m_hooks.commit(std::move(outcome), kStoreOutcomeTimeout, [stored](const ApplyOutcome &) { stored->set_value(); });
    // A caller that repeats the action right after its answer must get the stored outcome. Storing
    // continues after the deadline.
    future.wait_until(deadline);
}

ServiceAnswer QueryService::executeAction(const ActionRequest &request)
{
    const TimePoint arrived = monotonicNow();
    if (const std::optional<Failure> failure = refusalReason(request.environment, request.service, request.caller))
        return refusalAnswer(*failure, m_view.get());
    const ViewPointer view = m_view;
    const EnvironmentView &content = *view->find(request.environment);
    const ServiceConfig &config = *content.document.find(request.service);
    const std::optional<QueryPlan> chosenPlan = plan(request.environment, request.service, config, std::nullopt);
    if (!chosenPlan || request.shard >= chosenPlan->shardCount || chosenPlan->candidates[request.shard].empty())
        return refusalAnswer({ResultCode::NoUpstream, "no upstream serves this shard", true}, view.get());
    const ServiceView &service = content.services.at(request.service);
    const std::vector<uint32_t> &candidates = chosenPlan->candidates[request.shard];
    const uint32_t chosen = *std::min_element(candidates.begin(), candidates.end(), [&](uint32_t left, uint32_t right) {
        return cost(service.upstreams[left]) < cost(service.upstreams[right]);
    });
    const Duration timeout =
        request.deadline > Duration::zero() ? std::min(request.deadline, config.deadline) : config.deadline;
    const TimePoint deadline = arrived + timeout;
    if (request.key.empty())
        return sendAction(request, service.upstreams[chosen], chosenPlan->generation, chosenPlan->snapshot, deadline);

    Command claim;
    claim.type = static_cast<uint8_t>(CommandType::Claim);
    claim.subject = std::string(environmentName(request.environment)) + '/' + request.service.value();
    claim.key = request.caller.value() + '/' + request.key;
    claim.digest = sha256Hex(std::to_string(request.shard) + '\n' + request.body);
    claim.operatorName = m_self.value();
    claim.number = m_incarnation;
    claim.expiresAtSeconds = request.keySeconds + ControlState::kClaimRetentionSeconds;
    if (request.keySeconds > wallClockSeconds() + kMaxClockSkewSeconds)
        return refusalAnswer({ResultCode::MalformedRequest, "hickoryspur-key-time lies in the future", true}, nullptr);
    const ApplyOutcome claimed = commitAndWait(claim, timeout / kClaimTimeoutDivisor);
    if (claimed.number == 1)
        return {claimed.resultCode(), claimed.message};
    if (!claimed.ok()) {
        const bool notRun = claimed.resultCode() != ResultCode::OutcomeUnknown;
        return refusalAnswer({claimed.resultCode(), claimed.message, notRun}, view.get());
    }
    ServiceAnswer answer =
        sendAction(request, service.upstreams[chosen], chosenPlan->generation, chosenPlan->snapshot, deadline);
    Command outcome;
    outcome.type = static_cast<uint8_t>(CommandType::ClaimOutcome);
    outcome.subject = claim.subject;
    outcome.key = claim.key;
    outcome.text = answer.json;
    outcome.count = static_cast<uint64_t>(answer.code);
    storeOutcome(std::move(outcome), deadline);
    return answer;
}

ServiceAnswer QueryService::sendAction(const ActionRequest &request, const UpstreamView &upstream,
                                       MapGeneration generation, SnapshotId snapshot, TimePoint deadline)
{
    const TimePoint now = monotonicNow();
    if (now >= deadline)
        return refusalAnswer({ResultCode::DeadlineTooShort, "the deadline passed before it was sent", true}, nullptr);
    SubRequest subRequest;
    subRequest.id = m_router.nextId();
    subRequest.upstream = upstream.announcement.id;
    subRequest.shard = request.shard;
    subRequest.generation = generation;
    subRequest.snapshot = snapshot;
    subRequest.timeLeftMicros = (deadline - now).count();
    subRequest.idempotent = false;
    subRequest.body = request.body;
    const SubRequestId id = subRequest.id;
    const auto promise = std::make_shared<boost::fibers::promise<SubReply>>();
    boost::fibers::future<SubReply> future = promise->get_future();
    m_router.send(upstream.home, std::move(subRequest),
                  [promise](const SubReply &reply) { promise->set_value(reply); });
    if (future.wait_until(deadline) != boost::fibers::future_status::ready) {
        m_router.cancel(upstream.home, id);
        return refusalAnswer({ResultCode::OutcomeUnknown, "no answer in time; it may have been run", false}, nullptr);
    }
    const SubReply reply = future.get();
    if (reply.kind() == SubOutcome::Ok) {
        FanOutAnswer answer;
        answer.generation = reply.generation;
        answer.snapshot = reply.snapshot;
        answer.shardCount = 1;
        answer.bodies.emplace(request.shard, reply.body);
        return {ResultCode::Ok, answerJson(answer)};
    }
    if (provesNotRun(reply.kind()))
        return refusalAnswer({ResultCode::Overloaded, "the upstream did not run it", true}, nullptr);
    if (reply.kind() == SubOutcome::Failed)
        return refusalAnswer({ResultCode::UpstreamFailed, "the upstream ran it and failed", false}, nullptr);
    return refusalAnswer({ResultCode::OutcomeUnknown, "the connection broke; it may have been run", false}, nullptr);
}

} // namespace hickoryspur
