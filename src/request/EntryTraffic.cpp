#include "request/EntryTraffic.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"
#include "hickoryspur/request/TopRecords.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

/** Part of the shared budget that is used; the rest is for windows that the entries see differently. */
constexpr double kBudgetUsed = 0.85;
/** Entries until a control host has told how many there are. */
constexpr uint32_t kEntriesAtFirst = 8;
/** Part of an upstream's connections that all entries together use; connections of entries that were lost linger. */
constexpr double kConnectionsUsed = 0.6;
/** The way between caller and entry, and an answer's time in this process, come off the target latency. */
constexpr Duration kAnswerMargin = 14ms;
/** The same off the caller's deadline; a later answer reaches nobody. */
constexpr Duration kDeadlineMargin = 12ms;
/** Sub-requests of a scattered request are overdue beyond this quantile; one in many is hedged early. */
constexpr double kScatterOverdue = 0.88;
constexpr double kSingleOverdue = 0.95;
constexpr Duration kShortestHedge = 3ms;
/** Until latencies are known, an attempt is overdue after this part of the target latency. */
constexpr int kUnknownHedgePart = 4;
constexpr int kLongestHedgePart = 2;
/** What runs when its caller has gone may take this much longer before its connection is closed. */
constexpr Duration kGoneLinger = 250ms;
constexpr Duration kGoneCheck = 100ms;
/** How often the services are looked at for the log; a loss shorter than this is seen by requests alone. */
constexpr Duration kServiceLook = 500ms;
/** An entry that has just started knows what is in force after about this long. */
constexpr Duration kStarting = 250ms;
/** Callers turned away come back after this, spread so that they do not come together. */
constexpr Duration kComeBack = 60ms;
constexpr Duration kComeBackSpread = 120ms;

const char *endName(ScatterEnd end)
{
    switch (end) {
    case ScatterEnd::Complete:
        return "complete";
    case ScatterEnd::Partial:
        return "partial";
    case ScatterEnd::Failed:
        return "failed";
    case ScatterEnd::NotRun:
        return "not-run";
    case ScatterEnd::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

/** Upper bounds of the request time histogram, in milliseconds. */
constexpr std::array<int64_t, 9> kRequestBounds = {10, 20, 40, 80, 160, 320, 640, 1280, 2560};

/** Counts a request's time in every bucket that holds it, as Prometheus histograms do. */
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

double millis(Duration duration)
{
    return toMilliseconds(duration);
}

} // namespace

/** One request on its way: carries out what its ScatterRun decides. Outlives the caller's fiber while attempts run. */
class EntryTraffic::Run : public std::enable_shared_from_this<Run>
{
public:
    Run(EntryTraffic &traffic, std::shared_ptr<const RouteTable> routes, const Route &route, CarriedRequest request,
        std::function<bool()> gone)
        : m_traffic(traffic)
        , m_routes(std::move(routes))
        , m_route(route)
        , m_request(std::move(request))
        , m_gone(std::move(gone))
        , m_timer(traffic.m_context)
        , m_started(monotonicNow())
    {
    }

    CallerAnswer serve();

private:
    struct Sent
    {
        UpstreamId upstream;
        TimePoint at;
        UpstreamConnections::Handle handle = 0;
    };

    ScatterHooks hooks();
    void carryOut(const ScatterActions &actions);
    void send(const SendAttempt &attempt);
    void exchanged(AttemptKey key, ExchangeResult result);
    static AttemptOutcome judge(const ExchangeResult &result, const AnswerMeaning &meaning);
    void arm();
    void onTimer();
    void leaveBehind();
    /** Nobody waits for the attempts that have not been sent yet. */
    void withdrawUnsent();
    std::vector<UpstreamConnections::Handle> runningHandles() const;
    void finish(ScatterEnd end);
    CallerAnswer mergedAnswer() const;
    CallerAnswer singleAnswer(ScatterEnd end) const;
    void log(ScatterEnd end) const;

    EntryTraffic &m_traffic;
    /** Keeps the route alive when another table takes its place. */
    std::shared_ptr<const RouteTable> m_routes;
    const Route &m_route;
    CarriedRequest m_request;
    std::function<bool()> m_gone;
    asio::steady_timer m_timer;
    TimePoint m_started;
    TimePoint m_deadline;
    TimePoint m_leaveAt = TimePoint::max();
    /** When the timer fires next; in the past while it is not set. */
    TimePoint m_wakeAt;
    std::optional<ScatterRun> m_run;
    size_t m_shardCount = 0;
    std::map<AttemptKey, Sent> m_running;
    std::map<uint32_t, UpstreamAnswer> m_answers;
    std::map<uint32_t, std::string> m_signatures;
    std::optional<UpstreamAnswer> m_failure;
    std::string m_lastReason;
    boost::fibers::promise<CallerAnswer> m_promise;
    bool m_finished = false;
};

ScatterHooks EntryTraffic::Run::hooks()
{
    ScatterHooks hooks;
    hooks.choose = [this](const ServiceName &service, const std::vector<UpstreamId> &tried) {
        return m_traffic.choose(service, tried);
    };
    hooks.takeExtra = [this](const ServiceName &service) { return m_traffic.takeExtra(service); };
    hooks.overdue = [this](const UpstreamId &upstream) { m_traffic.m_book.overdue(upstream); };
    return hooks;
}

CallerAnswer EntryTraffic::Run::serve()
{
    ScatterPlan plan = m_traffic.makePlan(m_started, m_route, m_request);
    m_deadline = plan.deadline;
    m_shardCount = plan.shards.size();
    for (const ServiceName &service : plan.shards)
        m_traffic.budget(service).noteFirst(m_started, 1);
    m_run.emplace(std::move(plan), hooks());
    boost::fibers::future<CallerAnswer> answer = m_promise.get_future();
    carryOut(m_run->start(m_started));
    return answer.get();
}

void EntryTraffic::Run::carryOut(const ScatterActions &actions)
{
    for (const SendAttempt &attempt : actions.sends)
        send(attempt);
    if (actions.end && !m_finished)
        finish(*actions.end);
    arm();
}

void EntryTraffic::Run::send(const SendAttempt &attempt)
{
    const TimePoint now = monotonicNow();
    const std::optional<UpstreamTarget> target = m_traffic.target(attempt.upstream);
    ExchangeRequest request;
    // What is left is told as of the moment of sending: a connection may have to be opened first.
    request.encode = [self = shared_from_this(), upstream = attempt.upstream](TimePoint at) {
        const Duration patience = self->m_request.patience.value_or(self->m_route.timeout);
        return self->m_traffic.m_dialect.encode(self->m_request, upstream, self->m_started + patience - at);
    };
    request.requestId = m_request.id;
    request.deadline = m_deadline;
    request.fresh = !m_route.idempotent;
    m_traffic.m_book.sent(attempt.upstream);
    Sent &sent = m_running[attempt.key];
    sent = {attempt.upstream, now, 0};
    sent.handle = m_traffic.m_connections.send(*target, std::move(request),
                                               [self = shared_from_this(), key = attempt.key](ExchangeResult result) {
                                                   self->exchanged(key, std::move(result));
                                               });
}

AttemptOutcome EntryTraffic::Run::judge(const ExchangeResult &result, const AnswerMeaning &meaning)
{
    if (result.outcome != AttemptOutcome::Answered)
        return result.outcome;
    if (meaning.notRun)
        return AttemptOutcome::Refused;
    return meaning.success ? AttemptOutcome::Answered : AttemptOutcome::Failed;
}

void EntryTraffic::Run::exchanged(AttemptKey key, ExchangeResult result)
{
    const TimePoint now = monotonicNow();
    const Sent sent = m_running.at(key);
    m_running.erase(key);
    AnswerMeaning meaning;
    if (result.outcome == AttemptOutcome::Answered)
        meaning = m_traffic.m_dialect.read(result.answer);
    const AttemptOutcome outcome = judge(result, meaning);
    RouteLatency &latency = m_traffic.latency(m_route);
    const Duration took = now - sent.at;
    const Duration usual = latency.usual.value();
    const double ratio = usual > Duration::zero() ? static_cast<double>(took.count()) / usual.count() : 1;
    m_traffic.m_book.ended(now, sent.upstream, outcome, ratio, m_run->wasOverdue(key));
    if (outcome == AttemptOutcome::Answered) {
        latency.usual.add(took);
        latency.overdue.add(took);
    } else {
        m_lastReason = sent.upstream.value() + ": "
            + (result.reason.empty() ? "status " + std::to_string(result.answer.status) : result.reason);
    }
    if (!m_finished && outcome == AttemptOutcome::Answered && !m_answers.contains(key.shard)) {
        m_signatures[key.shard] = std::move(meaning.signature);
        m_answers[key.shard] = std::move(result.answer);
    } else if (!m_finished && outcome == AttemptOutcome::Failed && result.outcome == AttemptOutcome::Answered) {
        m_failure = std::move(result.answer);
    }
    const ScatterActions actions = m_run->ended(now, key, outcome);
    // Once the caller has its answer or has gone, the ends are only learned from.
    if (!m_finished)
        carryOut(actions);
}

void EntryTraffic::Run::arm()
{
    if (m_finished && m_leaveAt == TimePoint::max()) {
        m_timer.cancel();
        return;
    }
    const TimePoint now = monotonicNow();
    const TimePoint wake = m_finished ? m_leaveAt : std::min(m_run->nextWake(now), now + kGoneCheck);
    // Each end of an attempt comes by here; setting the timer again costs more than waking a little early.
    if (m_wakeAt > now && m_wakeAt <= wake)
        return;
    m_wakeAt = wake;
    m_timer.expires_after(std::max<Duration>(wake - now, 100us));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->onTimer();
    });
}

void EntryTraffic::Run::onTimer()
{
    m_wakeAt = TimePoint();
    if (m_finished) {
        // A timer that was due when the answer was given leaves nothing behind.
        if (m_leaveAt != TimePoint::max())
            leaveBehind();
        return;
    }
    if (!m_gone()) {
        carryOut(m_run->tick(monotonicNow()));
        return;
    }
    // Nobody waits any more: nothing new is sent, and what still runs soon is closed.
    m_finished = true;
    m_leaveAt = m_running.empty() ? TimePoint::max() : monotonicNow() + kGoneLinger;
    m_promise.set_value(m_traffic.m_dialect.refusal(RefusalKind::TimedOut, Duration::zero()));
    withdrawUnsent();
    arm();
}

void EntryTraffic::Run::leaveBehind()
{
    m_leaveAt = TimePoint::max();
    for (const UpstreamConnections::Handle handle : runningHandles())
        m_traffic.m_connections.cancel(handle);
}

void EntryTraffic::Run::withdrawUnsent()
{
    for (const UpstreamConnections::Handle handle : runningHandles())
        m_traffic.m_connections.cancelIfNotSent(handle);
}

std::vector<UpstreamConnections::Handle> EntryTraffic::Run::runningHandles() const
{
    std::vector<UpstreamConnections::Handle> handles;
    for (const auto &[key, sent] : m_running)
        handles.push_back(sent.handle);
    return handles;
}

void EntryTraffic::Run::finish(ScatterEnd end)
{
    static Counter &requests = Metrics::counter("hickoryspur_requests_total");
    static Counter &partial = Metrics::counter("hickoryspur_requests_partial_total");
    static Counter &failed = Metrics::counter("hickoryspur_requests_failed_total");
    m_finished = true;
    requests.add();
    observeRequest(monotonicNow() - m_started);
    if (end == ScatterEnd::Partial)
        partial.add();
    else if (end != ScatterEnd::Complete)
        failed.add();
    if (end != ScatterEnd::Complete)
        log(end);
    m_promise.set_value(m_route.isScattered() && (end == ScatterEnd::Complete || end == ScatterEnd::Partial)
                            ? mergedAnswer()
                            : singleAnswer(end));
    withdrawUnsent();
}

CallerAnswer EntryTraffic::Run::mergedAnswer() const
{
    std::vector<std::string> signatures;
    std::vector<std::string_view> parts;
    for (const auto &[shard, answer] : m_answers) {
        signatures.push_back(m_signatures.at(shard));
        parts.emplace_back(answer.body);
    }
    return m_traffic.m_dialect.merged(signatures, m_shardCount - parts.size(),
                                      mergeTopRecords(parts, m_route.topRecords));
}

CallerAnswer EntryTraffic::Run::singleAnswer(ScatterEnd end) const
{
    if (end == ScatterEnd::Complete)
        return m_traffic.m_dialect.passThrough(m_answers.begin()->second);
    if (end == ScatterEnd::NotRun)
        return m_traffic.refuse(RefusalKind::NotRunTryLater);
    if (!m_route.isScattered() && m_failure)
        return m_traffic.m_dialect.passThrough(*m_failure);
    return m_traffic.refuse(end == ScatterEnd::TimedOut ? RefusalKind::TimedOut : RefusalKind::UpstreamFailed);
}

void EntryTraffic::Run::log(ScatterEnd end) const
{
    const LogEvent event = end == ScatterEnd::Partial ? LogEvent::RequestPartial
        : end == ScatterEnd::NotRun                   ? LogEvent::RequestRefused
                                                      : LogEvent::RequestFailed;
    HS_LOG_REQUEST(event) << "request=" << m_request.id << " route=" << m_route.name << " outcome=" << endName(end)
                          << " parts=" << m_run->partsIn() << '/' << m_shardCount
                          << " ms=" << millis(monotonicNow() - m_started) << " routes=" << m_routes->number
                          << " missing=" << m_run->unanswered(monotonicNow()) << " last=\"" << m_lastReason << '"';
}

EntryTraffic::EntryTraffic(asio::io_context &context, TrafficConfig config, Dialect dialect)
    : m_context(context)
    , m_config(std::move(config))
    , m_dialect(std::move(dialect))
    , m_entries(kEntriesAtFirst)
    , m_book(m_config.seed)
    , m_connections(context, m_dialect.belongsTo, m_config.seed + 2)
    , m_random(m_config.seed + 1)
{
}

CallerAnswer EntryTraffic::refuse(RefusalKind kind)
{
    const Duration spread(static_cast<int64_t>(draw() * kComeBackSpread.count()));
    return m_dialect.refusal(kind, (m_routes ? kComeBack : kStarting) + spread);
}

CallerAnswer EntryTraffic::serve(const CarriedRequest &request, const std::function<bool()> &gone)
{
    if (!m_routes)
        return refuse(RefusalKind::NotRunTryLater);
    const std::shared_ptr<const RouteTable> routes = m_routes;
    const Route *route = routes->find(request.host, request.path);
    if (!route)
        return refuse(RefusalKind::NoRoute);
    return std::make_shared<Run>(*this, routes, *route, request, gone)->serve();
}

ScatterPlan EntryTraffic::makePlan(TimePoint now, const Route &route, const CarriedRequest &request)
{
    ScatterPlan plan;
    plan.shards = route.isScattered() ? route.shards : std::vector<ServiceName>{route.pickService(draw())};
    plan.attempts = std::max<uint32_t>(1, route.attempts);
    plan.leastParts = 1;
    if (route.isScattered())
        plan.leastParts = std::max<size_t>(
            1, static_cast<size_t>(std::ceil(route.leastCoverage * static_cast<double>(plan.shards.size()) - 1e-9)));
    plan.idempotent = route.idempotent;
    const Duration patience = std::min(request.patience.value_or(route.timeout), route.timeout);
    plan.deadline = now + std::max<Duration>(patience - kDeadlineMargin, patience / 2);
    plan.answerBy = plan.deadline;
    if (route.isScattered())
        plan.answerBy = std::min(plan.deadline, now + std::max<Duration>(route.targetLatency - kAnswerMargin, 0ms));
    Duration overdue = latency(route).overdue.value();
    if (overdue == Duration::zero())
        overdue = route.targetLatency / kUnknownHedgePart;
    plan.hedgeAfter = std::clamp<Duration>(overdue, kShortestHedge,
                                           std::max<Duration>(kShortestHedge, route.targetLatency / kLongestHedgePart));
    return plan;
}

std::optional<ReplicaChoice> EntryTraffic::choose(const ServiceName &service, const std::vector<UpstreamId> &tried)
{
    std::vector<ReplicaBook::Candidate> all;
    std::vector<ReplicaBook::Candidate> withRoom;
    for (const UpstreamId &id : m_registry.replicas(service)) {
        const Announcement &announcement = m_registry.find(id)->announcement;
        if (m_out.contains(announcement.dataCentre.value()) || std::find(tried.begin(), tried.end(), id) != tried.end())
            continue;
        ReplicaBook::Candidate candidate;
        candidate.id = id;
        candidate.sameDataCentre = announcement.dataCentre == m_config.dataCentre;
        candidate.cold = announcement.coldForMillis > 0;
        candidate.silence = m_registry.silence(id);
        all.push_back(candidate);
        if (holdsConnections(announcement) && m_connections.hasRoom(*target(id)))
            withRoom.push_back(std::move(candidate));
    }
    const std::vector<ReplicaBook::Candidate> &candidates = withRoom.empty() ? all : withRoom;
    if (candidates.empty())
        return std::nullopt;
    const TimePoint now = monotonicNow();
    const UpstreamId &best = candidates[m_book.best(now, candidates)].id;
    return ReplicaChoice{best, m_book.isDoubtful(now, best)};
}

bool EntryTraffic::takeExtra(const ServiceName &service)
{
    static Counter &taken = Metrics::counter("hickoryspur_extra_sub_requests_total");
    static Counter &denied = Metrics::counter("hickoryspur_extra_sub_requests_denied_total");
    const bool allowed = budget(service).takeExtra(monotonicNow());
    (allowed ? taken : denied).add();
    return allowed;
}

ExtraBudget &EntryTraffic::budget(const ServiceName &service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    return m_budgets.emplace(service, ExtraBudget(m_config.extraShare * kBudgetUsed, slackPerEntry())).first->second;
}

double EntryTraffic::slackPerEntry() const
{
    return m_config.extraSlack * kBudgetUsed / m_entries;
}

RouteLatency &EntryTraffic::latency(const Route &route)
{
    const double quantile = route.isScattered() ? kScatterOverdue : kSingleOverdue;
    return m_latencies.try_emplace(route.host + route.pathPrefix, quantile).first->second;
}

uint32_t EntryTraffic::connectionsFor(const ServiceName &service) const
{
    const auto found = m_routes ? m_routes->services.find(service) : decltype(m_routes->services.end())();
    if (!m_routes || found == m_routes->services.end())
        return 1;
    const double limit = kConnectionsUsed * found->second.connectionLimit / m_entries;
    return std::max<uint32_t>(1, static_cast<uint32_t>(limit));
}

bool EntryTraffic::holdsConnections(const Announcement &announcement) const
{
    const auto service = m_routes->services.find(announcement.service);
    return service == m_routes->services.end() || m_subset.holds(announcement.id, service->second.connectionLimit);
}

std::optional<UpstreamTarget> EntryTraffic::target(const UpstreamId &upstream) const
{
    const KnownUpstream *known = m_registry.find(upstream);
    if (!known)
        return std::nullopt;
    const Announcement &announcement = known->announcement;
    return UpstreamTarget{upstream, {announcement.address, announcement.port}, connectionsFor(announcement.service)};
}

void EntryTraffic::setRoutes(RouteTable table)
{
    if (m_routes && table.number <= m_routes->number)
        return;
    HS_LOG(INFO, LogEvent::RoutesApplied)
        << "routes=" << table.number << " before=" << routesNumber() << " count=" << table.routes.size();
    m_routes = std::make_shared<const RouteTable>(std::move(table));
}

void EntryTraffic::setDataCentresOut(std::vector<std::string> out)
{
    m_out = std::set<std::string>(out.begin(), out.end());
}

void EntryTraffic::setEntryCount(uint32_t entries)
{
    if (entries == 0 || entries == m_entries)
        return;
    m_entries = entries;
    for (auto &[service, budget] : m_budgets)
        budget.setSlack(slackPerEntry());
}

void EntryTraffic::accept(TimePoint now, const Announcement &announcement)
{
    const RegistryChange change = announcement.upstreamState() == UpstreamState::Gone
        ? m_registry.remove(now, announcement.id, announcement.incarnation)
        : m_registry.accept(now, announcement);
    if (change != RegistryChange::Changed)
        return;
    const KnownUpstream *known = m_registry.find(announcement.id);
    if (known && known->takesWork())
        return;
    m_connections.removeUpstream(announcement.id);
}

void EntryTraffic::noteServices(TimePoint now)
{
    static Counter &upstreams = Metrics::counter("hickoryspur_upstreams_known");
    static Counter &unserved = Metrics::counter("hickoryspur_services_without_upstreams");
    static Counter &routes = Metrics::counter("hickoryspur_routes_number");
    static Counter &entries = Metrics::counter("hickoryspur_entries_known");
    if (now < m_nextServiceLook)
        return;
    m_nextServiceLook = now + kServiceLook;
    int64_t replicas = 0;
    int64_t without = 0;
    for (const auto &[service, spec] : m_routes->services) {
        const size_t count = m_registry.replicas(service).size();
        replicas += static_cast<int64_t>(count);
        without += count == 0 ? 1 : 0;
        if (count == 0 && m_servedServices.erase(service) > 0)
            HS_LOG(WARNING, LogEvent::ServiceWithoutUpstreams) << "service=" << service << " routes=" << routesNumber();
        else if (count > 0 && m_servedServices.insert(service).second)
            HS_LOG(INFO, LogEvent::ServiceHasUpstreams) << "service=" << service << " upstreams=" << count;
    }
    upstreams.set(replicas);
    unserved.set(without);
    routes.set(static_cast<int64_t>(routesNumber()));
    entries.set(m_entries);
}

void EntryTraffic::tick(TimePoint now)
{
    m_connections.tick(now);
    m_registry.removeExpired(now);
    // A first connection to every upstream that a route may lead to spares the first request its wait.
    if (!m_routes)
        return;
    noteServices(now);
    for (const auto &[id, known] : m_registry.all())
        if (known.takesWork() && m_routes->services.contains(known.announcement.service)
            && holdsConnections(known.announcement))
            m_connections.warm(*target(id));
}

} // namespace hickoryspur
