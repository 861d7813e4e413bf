#include "request/QueryService.h"

#include "hickoryspur/process/Check.h"
#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/Metrics.h"
#include "request/AnswerJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickoryspur {

namespace {

/** An upstream whose home cannot be reached, or is just moving, comes after all others. */
constexpr double kNoHomeCostMicros = 1e9;
/** Share of queries that may be restarted as a whole on a newer snapshot. */
constexpr double kRestartShare = 0.05;
/** Part of an action's time that claiming its key may take. */
constexpr int kClaimTimeDivisor = 2;
/** An action's outcome is stored even when its caller has stopped waiting. */
constexpr Duration kOutcomePatience = 5s;
/** A key whose time lies further ahead than this is an error of the caller's clock. */
constexpr int64_t kClockSlackSeconds = 60;

ServiceAnswer refused(const Failure &failure, const View *view)
{
    return {failure.code, failureJson(failure, view)};
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
    , m_restartBudget(kRestartShare)
{
}

std::optional<Failure> QueryService::refusal(Environment environment, const ServiceName &service,
                                             const CallerName &caller) const
{
    if (m_shuttingDown)
        return Failure{ResultCode::ShuttingDown, "this entry is shutting down", true};
    if (!m_view || !m_hooks.mayServe(monotonicNow()))
        return Failure{ResultCode::EntryWithoutLease, "this entry is cut off from the others", true};
    const EnvironmentView *content = m_view->find(environment);
    const ServiceConfig *config = content ? content->document.find(service) : nullptr;
    if (!config)
        return Failure{ResultCode::UnknownService, "the document serves no service " + service.value(), true};
    if (!content->document.allows(service, caller))
        return Failure{ResultCode::NotAllowed, caller.value() + " may not ask " + service.value(), true};
    const auto known = content->services.find(service);
    if (known == content->services.end() || known->second.maps.empty())
        return Failure{ResultCode::NoShardMap, "the shard map of " + service.value() + " is not known yet", true};
    return std::nullopt;
}

void QueryService::carryOut(const AdmissionActions &actions)
{
    const auto tell = [this](QueryNumber query, ResultCode code) {
        const auto found = m_waiting.find(query);
        if (found == m_waiting.end())
            return;
        found->second->admission = code;
        found->second->changed.notify_all();
    };
    for (const QueryNumber query : actions.admit)
        tell(query, ResultCode::Ok);
    for (const auto &[query, code] : actions.refuse)
        tell(query, code);
}

ResultCode QueryService::admit(const CallerName &caller, uint32_t weight, TimePoint deadline, QueryNumber number)
{
    const auto mailbox = std::make_shared<Mailbox>();
    m_waiting[number] = mailbox;
    carryOut(m_admission.arrive(monotonicNow(), number, caller, weight, deadline));
    std::unique_lock lock(mailbox->mutex);
    mailbox->changed.wait(lock, [&] { return mailbox->admission.has_value(); });
    m_waiting.erase(number);
    return *mailbox->admission;
}

void QueryService::tick(TimePoint now)
{
    carryOut(m_admission.tick(now));
}

ServiceAnswer QueryService::query(const QueryRequest &request)
{
    const TimePoint arrived = monotonicNow();
    if (const std::optional<Failure> failure = refusal(request.environment, request.service, request.caller)) {
        queriesTotal(failure->code).add();
        return refused(*failure, m_view.get());
    }
    const EnvironmentView &content = *m_view->find(request.environment);
    const ServiceConfig config = *content.document.find(request.service);
    const uint32_t weight = content.document.callers.at(request.caller).weight;
    const Duration patience =
        request.deadline > Duration::zero() ? std::min(request.deadline, config.deadline) : config.deadline;
    const TimePoint deadline = arrived + patience;
    const QueryNumber number = m_nextQuery++;
    const ResultCode admitted = admit(request.caller, weight, deadline, number);
    if (admitted != ResultCode::Ok) {
        queriesTotal(admitted).add();
        return refused({admitted, "this entry has more queries than it can answer in time", true}, m_view.get());
    }
    ++m_runningCount;
    FanOutAnswer answer = fanOut(request, config, deadline);
    --m_runningCount;
    const TimePoint now = monotonicNow();
    const bool whole = answer.code == ResultCode::Ok && answer.missing.empty();
    carryOut(m_admission.finished(now, number, whole && now <= deadline));
    queriesTotal(answer.code).add();
    return {answer.code, answerJson(answer)};
}

PlanOptions QueryService::planOptions(const ServiceConfig &config) const
{
    PlanOptions options;
    options.snapshotsBehind = config.snapshotsBehind;
    return options;
}

HedgeDelays &QueryService::delays(Environment environment, const ServiceName &service)
{
    return m_delays[{environment, service}];
}

double QueryService::cost(const UpstreamView &upstream) const
{
    double result = m_scores.cost(monotonicNow(), upstream.announcement.id);
    if (upstream.settling || !m_hooks.isAlive(upstream.home))
        result += kNoHomeCostMicros;
    return result;
}

FanOutHooks QueryService::hooksFor(const std::shared_ptr<ViewPointer> &view, const QueryRequest &request,
                                   const ServiceConfig &config)
{
    const auto service = [view, environment = request.environment, name = request.service]() -> const ServiceView & {
        return (*view)->find(environment)->services.at(name);
    };
    FanOutHooks hooks;
    hooks.nextId = [this] { return m_router.nextId(); };
    hooks.hedgeDelay = [this, environment = request.environment, name = request.service](uint32_t shard) {
        return delays(environment, name).delay(shard);
    };
    hooks.takeExtra = [this](TimePoint now) { return m_budget.takeExtra(now); };
    hooks.cost = [this, service](uint32_t upstream) { return cost(service().upstreams[upstream]); };
    hooks.replan = [this, view, environment = request.environment, name = request.service,
                    options = planOptions(config)](TimePoint now, SnapshotId gone) -> std::optional<QueryPlan> {
        const EnvironmentView *content = m_view->find(environment);
        const auto found = content ? content->services.find(name) : decltype(content->services.end())();
        if (!content || found == content->services.end() || !m_restartBudget.takeExtra(now))
            return std::nullopt;
        PlanOptions other = options;
        other.avoid = gone;
        std::optional<QueryPlan> plan = makePlan(found->second, other);
        if (plan)
            *view = m_view;
        return plan;
    };
    return hooks;
}

void QueryService::send(const View &, const ServiceView &service, const FanOutSend &send, const QueryRequest &request,
                        const std::shared_ptr<Mailbox> &mailbox)
{
    const UpstreamView &upstream = service.upstreams[send.upstream];
    const TimePoint now = monotonicNow();
    SubRequest sub;
    sub.id = send.id;
    sub.upstream = upstream.announcement.id;
    sub.shard = send.shard;
    sub.generation = send.generation;
    sub.snapshot = send.snapshot;
    sub.timeLeftMicros = (send.deadline - now).count();
    sub.body = request.body;
    m_scores.sent(sub.upstream);
    if (!send.extra)
        m_budget.noteFirst(now, 1);
    m_router.send(upstream.home, std::move(sub),
                  [this, mailbox, now, shard = send.shard, id = upstream.announcement.id,
                   environment = request.environment, name = request.service](const SubReply &reply) {
                      const TimePoint end = monotonicNow();
                      m_scores.ended(end, id, reply.kind(), end - now);
                      if (reply.kind() == SubOutcome::Ok)
                          delays(environment, name).add(shard, end - now);
                      mailbox->replies.push_back(reply);
                      mailbox->changed.notify_all();
                  });
}

FanOutAnswer QueryService::fanOut(const QueryRequest &request, const ServiceConfig &config, TimePoint deadline)
{
    const auto view = std::make_shared<ViewPointer>(m_view);
    const auto serviceOf = [&]() -> const ServiceView & {
        return (*view)->find(request.environment)->services.at(request.service);
    };
    std::optional<QueryPlan> plan = makePlan(serviceOf(), planOptions(config));
    if (!plan) {
        FanOutAnswer none;
        none.code = ResultCode::NoUpstream;
        none.message = "no upstream holds a snapshot that may be served";
        none.notRun = true;
        none.shardCount = serviceOf().maps.back().shards;
        for (uint32_t shard = 0; shard < none.shardCount; ++shard)
            none.missing.push_back(shard);
        return none;
    }
    m_restartBudget.noteFirst(monotonicNow(), 1);
    const auto mailbox = std::make_shared<Mailbox>();
    FanOutConfig fanOutConfig;
    fanOutConfig.plan = std::move(*plan);
    fanOutConfig.deadline = deadline;
    fanOutConfig.leastCoverage = std::max(request.leastCoverage, config.leastCoverage);
    fanOutConfig.seed = m_random();
    FanOut query(std::move(fanOutConfig), hooksFor(view, request, config));
    // Where each live sub-request went, so that a cancellation finds it.
    std::unordered_map<SubRequestId, std::pair<NodeId, UpstreamId>> homes;
    std::optional<FanOutAnswer> answer;
    std::optional<TimePoint> wakeAt;
    const auto carryOutQuery = [&](FanOutActions actions) {
        for (const SubRequestId id : actions.cancels) {
            const auto found = homes.find(id);
            if (found == homes.end())
                continue;
            m_scores.ended(monotonicNow(), found->second.second, SubOutcome::Cancelled, Duration::zero());
            m_router.cancel(found->second.first, id);
        }
        for (const FanOutSend &item : actions.sends) {
            const UpstreamView &upstream = serviceOf().upstreams[item.upstream];
            homes[item.id] = {upstream.home, upstream.announcement.id};
            send(**view, serviceOf(), item, request, mailbox);
        }
        if (actions.answer)
            answer = std::move(actions.answer);
        if (actions.wakeAt)
            wakeAt = actions.wakeAt;
    };
    carryOutQuery(query.start(monotonicNow()));
    std::unique_lock lock(mailbox->mutex);
    while (!answer) {
        if (mailbox->replies.empty())
            mailbox->changed.wait_until(lock, wakeAt.value_or(deadline));
        const std::vector<SubReply> replies = std::move(mailbox->replies);
        mailbox->replies.clear();
        const TimePoint now = monotonicNow();
        for (const SubReply &reply : replies)
            if (!answer)
                carryOutQuery(query.reply(now, reply));
        if (!answer && request.callerGone && request.callerGone())
            carryOutQuery(query.cancel(now, ResultCode::CallerGone));
        if (!answer && (replies.empty() || (wakeAt && now >= *wakeAt)))
            carryOutQuery(query.tick(now));
    }
    static Counter &hedges = Metrics::counter("hickoryspur_hedges_total");
    static Counter &retries = Metrics::counter("hickoryspur_retries_total");
    hedges.add(answer->hedges);
    retries.add(answer->retries);
    return std::move(*answer);
}

ApplyOutcome QueryService::commitAndWait(Command command, Duration patience)
{
    const auto promise = std::make_shared<boost::fibers::promise<ApplyOutcome>>();
    boost::fibers::future<ApplyOutcome> future = promise->get_future();
    m_hooks.commit(std::move(command), patience,
                   [promise](ApplyOutcome outcome) { promise->set_value(std::move(outcome)); });
    return future.get();
}

ServiceAnswer QueryService::act(const ActionRequest &request)
{
    const TimePoint arrived = monotonicNow();
    if (const std::optional<Failure> failure = refusal(request.environment, request.service, request.caller))
        return refused(*failure, m_view.get());
    const ViewPointer view = m_view;
    const EnvironmentView &content = *view->find(request.environment);
    const ServiceConfig &config = *content.document.find(request.service);
    const std::optional<QueryPlan> plan = makePlan(content.services.at(request.service), planOptions(config));
    if (!plan || request.shard >= plan->shardCount || plan->candidates[request.shard].empty())
        return refused({ResultCode::NoUpstream, "no upstream serves this shard", true}, view.get());
    const ServiceView &service = content.services.at(request.service);
    const std::vector<uint32_t> &candidates = plan->candidates[request.shard];
    const uint32_t chosen = *std::min_element(candidates.begin(), candidates.end(), [&](uint32_t left, uint32_t right) {
        return cost(service.upstreams[left]) < cost(service.upstreams[right]);
    });
    const Duration patience =
        request.deadline > Duration::zero() ? std::min(request.deadline, config.deadline) : config.deadline;
    const TimePoint deadline = arrived + patience;
    if (request.key.empty())
        return runAction(request, service.upstreams[chosen], plan->generation, plan->snapshot, deadline);

    Command claim;
    claim.type = static_cast<uint8_t>(CommandType::Claim);
    claim.subject = std::string(environmentName(request.environment)) + '/' + request.service.value();
    claim.key = request.caller.value() + '/' + request.key;
    claim.digest = sha256Hex(std::to_string(request.shard) + '\n' + request.body);
    claim.operatorName = m_self.value();
    claim.number = m_incarnation;
    claim.expiresAtSeconds = request.keySeconds + ControlState::kClaimLifeSeconds;
    if (request.keySeconds > wallClockSeconds() + kClockSlackSeconds)
        return refused({ResultCode::MalformedRequest, "the key's time lies in the future", true}, nullptr);
    const ApplyOutcome claimed = commitAndWait(claim, patience / kClaimTimeDivisor);
    if (claimed.number == 1)
        return {claimed.resultCode(), claimed.message};
    if (!claimed.ok()) {
        const bool notRun = claimed.resultCode() != ResultCode::OutcomeUnknown;
        return refused({claimed.resultCode(), claimed.message, notRun}, view.get());
    }
    const ServiceAnswer answer =
        runAction(request, service.upstreams[chosen], plan->generation, plan->snapshot, deadline);
    Command outcome;
    outcome.type = static_cast<uint8_t>(CommandType::ClaimOutcome);
    outcome.subject = claim.subject;
    outcome.key = claim.key;
    outcome.text = answer.json;
    outcome.count = static_cast<uint64_t>(answer.code);
    m_hooks.commit(std::move(outcome), kOutcomePatience, [](const ApplyOutcome &) {});
    return answer;
}

ServiceAnswer QueryService::runAction(const ActionRequest &request, const UpstreamView &upstream,
                                      MapGeneration generation, SnapshotId snapshot, TimePoint deadline)
{
    const TimePoint now = monotonicNow();
    if (now >= deadline)
        return refused({ResultCode::DeadlineTooShort, "the deadline passed before it was sent", true}, nullptr);
    SubRequest sub;
    sub.id = m_router.nextId();
    sub.upstream = upstream.announcement.id;
    sub.shard = request.shard;
    sub.generation = generation;
    sub.snapshot = snapshot;
    sub.timeLeftMicros = (deadline - now).count();
    sub.idempotent = false;
    sub.body = request.body;
    const SubRequestId id = sub.id;
    const auto promise = std::make_shared<boost::fibers::promise<SubReply>>();
    boost::fibers::future<SubReply> future = promise->get_future();
    m_router.send(upstream.home, std::move(sub), [promise](const SubReply &reply) { promise->set_value(reply); });
    if (future.wait_until(deadline) != boost::fibers::future_status::ready) {
        m_router.cancel(upstream.home, id);
        return refused({ResultCode::OutcomeUnknown, "no answer in time; it may have been run", false}, nullptr);
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
        return refused({ResultCode::Overloaded, "the upstream did not run it", true}, nullptr);
    if (reply.kind() == SubOutcome::Failed)
        return refused({ResultCode::UpstreamFailed, "the upstream ran it and failed", false}, nullptr);
    return refused({ResultCode::OutcomeUnknown, "the connection broke; it may have been run", false}, nullptr);
}

} // namespace hickoryspur
