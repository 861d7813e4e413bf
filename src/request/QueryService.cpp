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

/** An upstream whose home cannot be reached, or is just moving, comes after all others. */
constexpr double kNoHomeCostMicros = 1e9;
/** Share of queries that may be restarted as a whole on a newer snapshot. */
constexpr double kRestartShare = 0.05;
/** As long as callers may use addresses from /v1/entries, and a little more. */
constexpr Duration kAddressesValid = 2500ms;
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

/** No upstream holds any snapshot that may be served: every shard of the newest map is missing. */
FanOutAnswer nothingServed(uint32_t shards)
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
    , m_restartBudget(kRestartShare)
{
}

void QueryService::setView(ViewPointer view)
{
    m_view = std::move(view);
    const auto isSelf = [this](const EntryView &entry) { return entry.settings.name == m_self; };
    const auto self = std::find_if(m_view->entries.begin(), m_view->entries.end(), isSelf);
    if (self == m_view->entries.end() || !m_view->isOut(self->settings.dataCentre))
        m_outSince.reset();
    else if (!m_outSince)
        m_outSince = monotonicNow();
}

std::optional<Failure> QueryService::refusal(Environment environment, const ServiceName &service,
                                             const CallerName &caller) const
{
    if (m_shuttingDown)
        return Failure{ResultCode::ShuttingDown, "this entry is shutting down", true};
    // Callers may still use an address that they were given just before.
    if (m_outSince && monotonicNow() - *m_outSince > kAddressesValid)
        return Failure{ResultCode::EntryLeaving, "the data centre of this entry is out", true};
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
        FanOutAnswer none;
        none.code = admitted;
        noteAnswer(request, none, monotonicNow() - arrived, false);
        return refused({admitted, "this entry has more queries than it can answer in time", true}, m_view.get());
    }
    ++m_runningCount;
    FanOutAnswer answer = fanOut(request, config, deadline);
    --m_runningCount;
    const TimePoint now = monotonicNow();
    const bool whole = answer.code == ResultCode::Ok && answer.missing.empty();
    noteAnswer(request, answer, now - arrived, now > deadline);
    carryOut(m_admission.finished(now, number, whole && now <= deadline));
    queriesTotal(answer.code).add();
    return {answer.code, answerJson(answer)};
}

std::optional<QueryPlan> QueryService::plan(Environment environment, const ServiceName &service,
                                            const ServiceConfig &config, std::optional<SnapshotId> avoid)
{
    const EnvironmentView &content = *m_view->find(environment);
    const ServiceView &upstreams = content.services.at(service);
    PlanOptions options;
    options.snapshotsBehind = config.snapshotsBehind;
    options.avoid = avoid;
    const auto share = content.shares.find(service);
    if (share == content.shares.end())
        return makePlan(upstreams, options);
    const VersionShare &versions = share->second;
    const VersionName picked = m_pickers[service].pick(versions);
    const auto only = [](const VersionName &version) {
        return [version](const UpstreamView &upstream) { return upstream.announcement.version == version; };
    };
    options.mayUse = only(picked);
    std::optional<QueryPlan> plan = makePlan(upstreams, options);
    const bool whole = plan && plan->coveredShards() == plan->shardCount;
    if (whole || picked == versions.from)
        return plan;
    // The old version may stand in for the new one, but never the other way: a canary's few
    // upstreams must not get the load of lost old ones.
    options.mayUse = only(versions.from);
    std::optional<QueryPlan> other = makePlan(upstreams, options);
    const uint32_t covered = plan ? plan->coveredShards() : 0;
    return other && other->coveredShards() > covered ? other : plan;
}

void QueryService::noteSubRequest(const QueryRequest &request, const Outgoing &outgoing, SubOutcome outcome,
                                  Duration latency)
{
    if (request.environment != Environment::Production || outcome == SubOutcome::SnapshotGone)
        return;
    RouteObservation &route =
        m_observations.services[request.service.value()].versions[outgoing.version.value()][request.caller.value()];
    Tally &byUpstream = route.byUpstream[outgoing.upstream.value()];
    if (provesNotRun(outcome)) {
        ++byUpstream.refused;
        return;
    }
    for (Tally *tally : {&byUpstream, &route.byShard[outgoing.shard]}) {
        ++tally->requests;
        tally->failures += outcome == SubOutcome::Failed || outcome == SubOutcome::Unknown ? 1 : 0;
        tally->latency.add(latency);
    }
}

void QueryService::noteAnswer(const QueryRequest &request, const FanOutAnswer &answer, Duration took, bool late)
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

ObservationBatch QueryService::takeObservations()
{
    ObservationBatch batch = std::move(m_observations);
    m_observations = ObservationBatch();
    return batch;
}

HedgeDelays &QueryService::delays(Environment environment, const ServiceName &service)
{
    return m_delays[{environment, service}];
}

double QueryService::cost(const UpstreamView &upstream) const
{
    double result = m_scores.cost(monotonicNow(), upstream.announcement.id);
    if (upstream.homeHandoverPending || !m_hooks.isAlive(upstream.home))
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
                    config](TimePoint now, SnapshotId gone) -> std::optional<QueryPlan> {
        const EnvironmentView *content = m_view->find(environment);
        const auto found = content ? content->services.find(name) : decltype(content->services.end())();
        if (!content || found == content->services.end() || !m_restartBudget.takeExtra(now))
            return std::nullopt;
        std::optional<QueryPlan> other = plan(environment, name, config, gone);
        if (other)
            *view = m_view;
        return other;
    };
    return hooks;
}

void QueryService::send(const Outgoing &outgoing, const FanOutSend &send, const QueryRequest &request,
                        const std::shared_ptr<Mailbox> &mailbox)
{
    SubRequest sub;
    sub.id = send.id;
    sub.upstream = outgoing.upstream;
    sub.shard = send.shard;
    sub.generation = send.generation;
    sub.snapshot = send.snapshot;
    sub.timeLeftMicros = (send.deadline - outgoing.sent).count();
    sub.body = request.body;
    m_scores.sent(sub.upstream);
    static Counter &first = Metrics::counter("hickoryspur_first_sub_requests_total");
    if (!send.extra && !send.resent) {
        first.add();
        m_budget.noteFirst(outgoing.sent, 1);
    }
    // The request outlives its sub-requests: each is answered or cancelled before the query ends.
    m_router.send(outgoing.home, std::move(sub), [this, mailbox, outgoing, &request](const SubReply &reply) {
        const TimePoint end = monotonicNow();
        m_scores.ended(end, outgoing.upstream, reply.kind(), end - outgoing.sent);
        noteSubRequest(request, outgoing, reply.kind(), end - outgoing.sent);
        if (reply.kind() == SubOutcome::Ok)
            delays(request.environment, request.service).add(outgoing.shard, end - outgoing.sent);
        mailbox->replies.push_back(reply);
        mailbox->changed.notify_all();
    });
}

void QueryService::cancel(const Outgoing &outgoing, SubRequestId id, const QueryRequest &request)
{
    const TimePoint now = monotonicNow();
    m_scores.ended(now, outgoing.upstream, SubOutcome::Cancelled, Duration::zero());
    // A first sub-request that its hedge has overtaken was at least this slow; a young hedge tells nothing.
    if (!outgoing.extra) {
        noteSubRequest(request, outgoing, SubOutcome::Cancelled, now - outgoing.sent);
        delays(request.environment, request.service).add(outgoing.shard, now - outgoing.sent);
    }
    m_router.cancel(outgoing.home, id);
}

FanOutAnswer QueryService::fanOut(const QueryRequest &request, const ServiceConfig &config, TimePoint deadline)
{
    const auto view = std::make_shared<ViewPointer>(m_view);
    const auto serviceOf = [&]() -> const ServiceView & {
        return (*view)->find(request.environment)->services.at(request.service);
    };
    std::optional<QueryPlan> first = plan(request.environment, request.service, config, std::nullopt);
    if (!first)
        return nothingServed(serviceOf().maps.back().shards);
    m_restartBudget.noteFirst(monotonicNow(), 1);
    const auto mailbox = std::make_shared<Mailbox>();
    FanOutConfig fanOutConfig;
    fanOutConfig.plan = std::move(*first);
    fanOutConfig.deadline = deadline;
    fanOutConfig.leastCoverage = std::max(request.leastCoverage, config.leastCoverage);
    fanOutConfig.seed = m_random();
    FanOut query(std::move(fanOutConfig), hooksFor(view, request, config));
    std::unordered_map<SubRequestId, Outgoing> outgoing;
    std::optional<FanOutAnswer> answer;
    std::optional<TimePoint> wakeAt;
    const auto carryOutQuery = [&](FanOutActions actions) {
        for (const SubRequestId id : actions.cancels)
            cancel(outgoing.at(id), id, request);
        for (const FanOutSend &item : actions.sends) {
            const UpstreamView &upstream = serviceOf().upstreams[item.upstream];
            Outgoing &out = outgoing[item.id];
            out = {upstream.home, upstream.announcement.id, upstream.announcement.version,
                   item.shard,    monotonicNow(),           item.extra};
            send(out, item, request, mailbox);
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

void QueryService::storeOutcome(Command outcome, TimePoint deadline)
{
    const auto stored = std::make_shared<boost::fibers::promise<void>>();
    boost::fibers::future<void> future = stored->get_future();
    m_hooks.commit(std::move(outcome), kOutcomePatience, [stored](const ApplyOutcome &) { stored->set_value(); });
    // A caller that sends again right after its answer should find it; storing goes on beyond the deadline.
    future.wait_until(deadline);
}

ServiceAnswer QueryService::act(const ActionRequest &request)
{
    const TimePoint arrived = monotonicNow();
    if (const std::optional<Failure> failure = refusal(request.environment, request.service, request.caller))
        return refused(*failure, m_view.get());
    const ViewPointer view = m_view;
    const EnvironmentView &content = *view->find(request.environment);
    const ServiceConfig &config = *content.document.find(request.service);
    const std::optional<QueryPlan> chosenPlan = plan(request.environment, request.service, config, std::nullopt);
    if (!chosenPlan || request.shard >= chosenPlan->shardCount || chosenPlan->candidates[request.shard].empty())
        return refused({ResultCode::NoUpstream, "no upstream serves this shard", true}, view.get());
    const ServiceView &service = content.services.at(request.service);
    const std::vector<uint32_t> &candidates = chosenPlan->candidates[request.shard];
    const uint32_t chosen = *std::min_element(candidates.begin(), candidates.end(), [&](uint32_t left, uint32_t right) {
        return cost(service.upstreams[left]) < cost(service.upstreams[right]);
    });
    const Duration patience =
        request.deadline > Duration::zero() ? std::min(request.deadline, config.deadline) : config.deadline;
    const TimePoint deadline = arrived + patience;
    if (request.key.empty())
        return runAction(request, service.upstreams[chosen], chosenPlan->generation, chosenPlan->snapshot, deadline);

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
    ServiceAnswer answer =
        runAction(request, service.upstreams[chosen], chosenPlan->generation, chosenPlan->snapshot, deadline);
    Command outcome;
    outcome.type = static_cast<uint8_t>(CommandType::ClaimOutcome);
    outcome.subject = claim.subject;
    outcome.key = claim.key;
    outcome.text = answer.json;
    outcome.count = static_cast<uint64_t>(answer.code);
    storeOutcome(std::move(outcome), deadline);
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
