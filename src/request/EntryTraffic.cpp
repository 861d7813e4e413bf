#include "request/EntryTraffic.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"
#include "request/ActiveRequest.h"
#include "request/DelegatedServer.h"
#include "request/GroupedRequest.h"
#include "request/RemoteRequest.h"
#include "request/RequestGate.h"
#include "request/SignalReport.h"

#include <algorithm>
#include <cmath>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

/**
 * Share of the budget for extra sub-requests that the entries use. The rest is a reserve, since the
 * budget windows of the entries are not aligned.
 */
constexpr double kUsableBudgetShare = 0.85;
/** Subtracted from the target latency: the network time to the caller and the answer's time in this process. */
constexpr Duration kTargetLatencyMargin = 14ms;
/** Subtracted from the caller's deadline for the same reason; a later answer would not reach the caller in time. */
constexpr Duration kDeadlineMargin = 12ms;
/**
 * Latency quantile beyond which a sub-request of a scattered request is overdue. It is lower than for
 * single requests, so that one slow sub-request among many is hedged early.
 */
constexpr double kScatterHedgeQuantile = 0.88;
constexpr double kSingleHedgeQuantile = 0.95;
constexpr Duration kMinHedgeDelay = 3ms;
/** Until latencies are known, an attempt is overdue after the target latency divided by this. */
constexpr int kInitialHedgeDelayDivisor = 4;
/** The hedge delay is at most the target latency divided by this. */
constexpr int kMaxHedgeDelayDivisor = 2;
/** How often services are checked for upstreams; a shorter loss of all upstreams may go unlogged. */
constexpr Duration kServiceCheckInterval = 500ms;
/** How often connections are opened in advance; a closed one is missed for so long. */
constexpr Duration kAdvanceOpeningInterval = 200ms;
/** An upstream whose last heartbeat is older may have ended; it is not used to find out whether this entry is cut off.
 */
constexpr Duration kAliveTime = 3s;
/** Over so long the rate of sub-requests is averaged; about one request in this time comes to an entry at low load. */
constexpr Duration kLoadWindow = 2s;
/** Retry delay while there are no routes: an entry has the routes in force about this long after its start. */
constexpr Duration kStartupRetryAfter = 250ms;
/** Retry delay given to refused callers. */
constexpr Duration kRetryAfter = 60ms;
/** Maximum random addition to a retry delay, so that refused callers do not retry all at once. */
constexpr Duration kRetryAfterJitter = 120ms;

} // namespace

EntryTraffic::EntryTraffic(asio::io_context &context, TrafficConfig config, RequestCodec codec)
    : m_context(context)
    , m_config(std::move(config))
    , m_codec(std::move(codec))
    , m_authenticator(m_codec.customerField)
    , m_replicaTracker(m_config.seed)
    , m_sharedLoad(m_config.admission == AdmissionMode::Cost, m_config.seed + 6)
    , m_versions(m_config.seed + 3)
    , m_probes(context, m_config.seed + 5)
    , m_connections(context, m_codec.belongsTo, m_config.seed + 2,
                    [this](const UpstreamId &upstream, bool opened) {
                        if (opened)
                            m_probes.reachability().recordConnected();
                        else
                            m_probes.reachability().recordConnectFailed(monotonicNow(), upstream);
                    })
    , m_admission(m_config.seed + 4, m_config.upstreamDrainTime)
    , m_random(m_config.seed + 1)
    , m_delegations(context, m_config.internalAddress,
                    [this](DelegatedRequest order, const DelegatedServer::Reply &reply) {
                        return DelegatedServer(*this).serve(std::move(order), reply);
                    })
{
    if (m_config.admission == AdmissionMode::Cost)
        m_gate = std::make_unique<RequestGate>(*this, m_config.seed + 7);
    m_admission.setEntryCount(monotonicNow(), m_connectionPlan.entryCount());
    m_admission.setGroupOf([this](const UpstreamId &id) {
        const KnownUpstream *known = m_registry.find(id);
        if (!known)
            return UpstreamAdmission::Group();
        const ServiceName &service = known->announcement.service;
        return UpstreamAdmission::Group{m_routeGroups.holders(service), m_routeGroups.isHolder(service)};
    });
}

EntryTraffic::~EntryTraffic() = default;

CallerAnswer EntryTraffic::makeRefusal(RefusalKind kind, Duration minDelay)
{
    const Duration jitter(static_cast<int64_t>(randomFraction() * kRetryAfterJitter.count()));
    const Duration delay = std::max(m_routes ? kRetryAfter : kStartupRetryAfter, minDelay);
    return m_codec.refusal(kind, delay + jitter);
}

CallerAnswer EntryTraffic::serve(ForwardedRequest request, const std::function<bool()> &isCallerGone)
{
    if (!m_routes)
        return makeRefusal(RefusalKind::NotRunTryLater);
    const std::shared_ptr<const RouteTable> routes = m_routes;
    const Route *route = routes->find(request.host, request.path);
    if (!route)
        return makeRefusal(RefusalKind::NoRoute);
    if (const auto failure = m_authenticator.authenticate(*routes, *route, request))
        return refuseUnauthenticated(request, *route, *failure);
    if (!canFinish(monotonicNow(), *route, request))
        return makeRefusal(RefusalKind::NotRunTryLater);
    if (isCutOff()) {
        std::vector<std::string> others = shuffledEntries();
        if (!others.empty())
            return std::make_shared<RemoteRequest>(*this, routes, *route, request, std::move(others), isCallerGone,
                                                   makeUsage(request))
                ->serve();
    }
    return serveHere(routes, *route, request, isCallerGone, makeUsage(request));
}

EntryTraffic::Usage EntryTraffic::makeUsage(const ForwardedRequest &request) const
{
    if (request.customer.value().empty())
        return std::make_shared<RequestUsage>();
    return std::make_shared<RequestUsage>(
        [hook = m_usageCounted, customer = request.customer](TimePoint at) { hook(customer, at); });
}

void EntryTraffic::logUnauthenticated(const ForwardedRequest &request, const Route &route,
                                      const AuthenticationFailure &failure)
{
    HS_LOG_REQUEST(LogEvent::RequestUnauthenticated)
        << "request=" << request.id << " route=" << route.name << " reason=" << failure.reason
        << " key=" << (failure.key ? shortDigest(*failure.key) : "none");
}

CallerAnswer EntryTraffic::refuseUnauthenticated(const ForwardedRequest &request, const Route &route,
                                                 const AuthenticationFailure &failure)
{
    static Counter &refused = Metrics::counter("hickoryspur_requests_unauthenticated_total");
    refused.add();
    logUnauthenticated(request, route, failure);
    return makeRefusal(RefusalKind::Unauthenticated);
}

CallerAnswer EntryTraffic::refuseNotRun(const ForwardedRequest &request, const Route &route, Duration minDelay)
{
    if (isKeyWithdrawn(*m_routes, request))
        return refuseUnauthenticated(request, route, {"key-withdrawn", request.keyDigest});
    return makeRefusal(RefusalKind::NotRunTryLater, minDelay);
}

std::vector<std::string> EntryTraffic::shuffledEntries()
{
    std::vector<std::string> entries = m_otherEntries;
    std::shuffle(entries.begin(), entries.end(), m_random);
    return entries;
}

CallerAnswer EntryTraffic::serveHere(const std::shared_ptr<const RouteTable> &routes, const Route &route,
                                     const ForwardedRequest &request, const std::function<bool()> &isCallerGone,
                                     const Usage &usage)
{
    const QuarantineVerdict verdict = admit(monotonicNow(), request);
    if (verdict.decision == QuarantineDecision::Reject)
        return makeRefusal(RefusalKind::NotRunTryLater, verdict.retryAfter);
    const bool isProbe = verdict.decision == QuarantineDecision::Probe;
    // A probe goes to one upstream first, so it is not divided.
    const RouteGroups::Groups groups = isProbe ? nullptr : m_routeGroups.groupsOf(route);
    if (groups)
        return std::make_shared<GroupedRequest>(*this, routes, route, request, groups, isCallerGone, usage)->serve();
    return std::make_shared<ActiveRequest>(*this, routes, route, request, isProbe, isCallerGone, usage)->serve();
}

bool EntryTraffic::canFinish(TimePoint now, const Route &route, const ForwardedRequest &request) const
{
    if (m_stopTime == TimePoint::max())
        return true;
    Duration needed = std::min(request.timeout.value_or(route.timeout), route.timeout);
    // One that may be repeated is taken until later: if it takes longer than usual, its caller can send it again.
    if (route.idempotent)
        needed = std::min(needed, route.targetLatency);
    return now + needed <= m_stopTime;
}

QuarantineVerdict EntryTraffic::admit(TimePoint now, const ForwardedRequest &request)
{
    static Counter &rejected = Metrics::counter("hickoryspur_requests_quarantined_total");
    static Counter &probes = Metrics::counter("hickoryspur_request_probes_total");
    if (m_quarantine.empty())
        return {};
    const RequestFingerprint fingerprint = fingerprintOf(request);
    const QuarantineVerdict verdict = m_quarantine.admit(now, fingerprint);
    if (verdict.decision == QuarantineDecision::Probe)
        probes.add();
    if (verdict.decision != QuarantineDecision::Reject)
        return verdict;
    rejected.add();
    HS_LOG_REQUEST(LogEvent::RequestQuarantined) << "request=" << request.id << " fingerprint=" << fingerprint
                                                 << " rejected-ms=" << toMilliseconds(verdict.retryAfter);
    return verdict;
}

void EntryTraffic::recordSurvivedRequest(const ForwardedRequest &request)
{
    if (m_quarantine.empty())
        return;
    const RequestFingerprint fingerprint = fingerprintOf(request);
    if (m_quarantine.recordAnswer(fingerprint))
        HS_LOG_REQUEST(LogEvent::RequestCleared) << "request=" << request.id << " fingerprint=" << fingerprint;
}

void EntryTraffic::recordLosses(TimePoint now, const ForwardedRequest &request, const std::vector<UpstreamLoss> &losses)
{
    const RequestFingerprint fingerprint = fingerprintOf(request);
    m_quarantine.recordLosses(now, fingerprint, losses);
    HS_LOG_REQUEST(LogEvent::RequestSuspected)
        << "request=" << request.id << " fingerprint=" << fingerprint << " upstreams=" << losses.size()
        << " first=" << losses.front().upstream << " probe=" << losses.back().inProbe
        << " quarantined=" << m_quarantine.isInQuarantine(now, fingerprint);
    if (m_quarantine.isSuspect(fingerprint))
        m_suspectsChanged();
}

void EntryTraffic::mergeSuspects(TimePoint now, const std::vector<SuspectReport> &reports)
{
    if (m_quarantine.merge(now, reports))
        m_connections.withdrawUnusable();
}

void EntryTraffic::recordHeartbeat(TimePoint now, const UpstreamId &upstream)
{
    m_registry.recordHeartbeat(now, upstream);
    if (m_quarantine.empty())
        return;
    if (const KnownUpstream *known = m_registry.find(upstream))
        m_quarantine.recordHeartbeat(now, upstream, known->announcement.incarnation);
}

TimePoint EntryTraffic::deadlineFor(TimePoint now, Duration timeout)
{
    return now + std::max<Duration>(timeout - kDeadlineMargin, timeout / 2);
}

ScatterPlan EntryTraffic::makePlan(TimePoint now, const Route &route, const ForwardedRequest &request)
{
    ScatterPlan plan;
    plan.shards = route.isScattered() ? route.shards : std::vector<ServiceName>{route.pickService(randomFraction())};
    plan.maxAttempts = std::max<uint32_t>(1, route.maxAttempts);
    plan.minParts = 1;
    if (route.isScattered())
        plan.minParts = std::max<size_t>(
            1, static_cast<size_t>(std::ceil(route.minCoverage * static_cast<double>(plan.shards.size()) - 1e-9)));
    plan.idempotent = route.idempotent;
    plan.deadline = deadlineFor(now, std::min(request.timeout.value_or(route.timeout), route.timeout));
    plan.targetTime = plan.deadline;
    if (route.isScattered())
        plan.targetTime =
            std::min(plan.deadline, now + std::max<Duration>(route.targetLatency - kTargetLatencyMargin, 0ms));
    Duration hedgeDelay = latencyOf(route).hedgeDelay.value();
    if (hedgeDelay == Duration::zero())
        hedgeDelay = route.targetLatency / kInitialHedgeDelayDivisor;
    plan.hedgeAfter = std::clamp<Duration>(
        hedgeDelay, kMinHedgeDelay, std::max<Duration>(kMinHedgeDelay, route.targetLatency / kMaxHedgeDelayDivisor));
    return plan;
}

std::vector<const KnownUpstream *> EntryTraffic::usableReplicas(TimePoint now, const ServiceName &service,
                                                                VersionGroup group) const
{
    std::vector<const KnownUpstream *> usable = admittedReplicas(now, service, group, false);
    if (!usable.empty())
        return usable;
    if (const std::optional<VersionGroup> fallback = m_versions.fallback(service, group))
        usable = admittedReplicas(now, service, *fallback, false);
    if (usable.empty() && !m_admission.empty())
        usable = admittedReplicas(now, service, group, true);
    return usable;
}

std::vector<const KnownUpstream *> EntryTraffic::admittedReplicas(TimePoint now, const ServiceName &service,
                                                                  VersionGroup group, bool includesLeaving) const
{
    std::vector<const KnownUpstream *> admitted;
    for (const UpstreamId &id : m_registry.replicas(service)) {
        const KnownUpstream *known = m_registry.find(id);
        const Announcement &announcement = known->announcement;
        if (!isOpen(announcement) || !m_versions.isInGroup(service, announcement.version, group))
            continue;
        if (includesLeaving ? m_admission.maySendToLastReplica(now, admissionQuery(announcement))
                            : mayGetRequest(now, announcement))
            admitted.push_back(known);
    }
    return admitted;
}

bool EntryTraffic::mayGetRequest(TimePoint now, const Announcement &announcement) const
{
    // This runs for each replica of each shard, and mostly no upstream has a limit.
    if (announcement.coldForMillis <= 0 && m_admission.empty())
        return true;
    return m_admission.maySend(now, admissionQuery(announcement));
}

AdmissionQuery EntryTraffic::admissionQuery(const Announcement &announcement) const
{
    AdmissionQuery query{announcement.id, announcement.incarnation};
    if (announcement.coldForMillis <= 0)
        return query;
    const auto service = m_routes->services.find(announcement.service);
    query.coldRequestsPerSecond = service == m_routes->services.end() ? 0 : service->second.coldRequestsPerSecond;
    query.isHome = query.coldRequestsPerSecond <= 0 || m_connectionPlan.isHome(announcement.id);
    return query;
}

void EntryTraffic::recordSignals(TimePoint now, const UpstreamId &upstream, uint64_t incarnation,
                                 const UpstreamSignals &signals)
{
    const SignalChanges changes = m_admission.recordSignals(now, upstream, incarnation, signals);
    if (!changes.any())
        return;
    reportSignals(upstream, incarnation, signals, changes, m_connectionPlan.entryCount());
    reportCounts(m_admission.counts());
    if (changes.pauseBegun || changes.leavingBegun)
        m_connections.withdrawUnusable();
    if (changes.leavingBegun)
        m_connections.removeUpstream(upstream);
}

void EntryTraffic::updateAdmission(TimePoint now)
{
    const std::vector<UpstreamId> ended = m_admission.takeEndedPauses(now);
    for (const UpstreamId &upstream : ended)
        reportPauseEnded(upstream);
    if (!ended.empty())
        reportCounts(m_admission.counts());
}

Duration EntryTraffic::timeUntilAdmitted(TimePoint now, const std::vector<ServiceName> &services) const
{
    TimePoint latest = now;
    for (const ServiceName &service : services) {
        TimePoint earliest = TimePoint::max();
        for (const UpstreamId &id : m_registry.replicas(service)) {
            const Announcement &announcement = m_registry.find(id)->announcement;
            if (!m_dataCentresOut.contains(announcement.dataCentre.value()))
                earliest = std::min(earliest, m_admission.nextSend(now, admissionQuery(announcement)));
        }
        if (earliest != TimePoint::max())
            latest = std::max(latest, earliest);
    }
    return latest - now;
}

std::optional<ReplicaChoice> EntryTraffic::chooseReplica(const ServiceName &service,
                                                         const std::vector<UpstreamId> &tried, VersionGroup group,
                                                         int priority, size_t bodyBytes)
{
    std::vector<ReplicaTracker::Candidate> all;
    std::vector<ReplicaTracker::Candidate> withRoom;
    std::vector<ReplicaTracker::Candidate> withSharedRoom;
    const TimePoint now = monotonicNow();
    for (const KnownUpstream *known : usableReplicas(now, service, group)) {
        const Announcement &announcement = known->announcement;
        const UpstreamId &id = announcement.id;
        if (std::find(tried.begin(), tried.end(), id) != tried.end())
            continue;
        ReplicaTracker::Candidate candidate;
        candidate.id = id;
        candidate.sameDataCentre = announcement.dataCentre == m_config.dataCentre;
        candidate.cold = announcement.coldForMillis > 0;
        candidate.heartbeatAge = m_registry.heartbeatAge(*known);
        candidate.sharedLatencyRatio = m_sharedLoad.latencyRatio(now, id);
        all.push_back(candidate);
        if (!keepsConnections(id, service) || !m_connections.hasRoom(id, bodyBytes))
            continue;
        if (m_sharedLoad.isEnabled() && m_sharedLoad.hasRoom(now, id, announcement.slots, priority))
            withSharedRoom.push_back(candidate);
        withRoom.push_back(std::move(candidate));
    }
    const std::vector<ReplicaTracker::Candidate> &open = withRoom.empty() ? all : withRoom;
    const std::vector<ReplicaTracker::Candidate> &candidates = withSharedRoom.empty() ? open : withSharedRoom;
    if (candidates.empty())
        return std::nullopt;
    const UpstreamId &best = candidates[m_replicaTracker.best(now, candidates)].id;
    return ReplicaChoice{best, m_replicaTracker.isDegraded(now, best)};
}

std::vector<LoadRow> EntryTraffic::takeLoadRows(TimePoint now)
{
    return m_sharedLoad.takeRows(now, [this](const UpstreamId &id) {
        const KnownUpstream *known = m_registry.find(id);
        return known ? known->announcement.slots : 0;
    });
}

bool EntryTraffic::hasSharedRoom(TimePoint now, const UpstreamId &upstream, int priority)
{
    const KnownUpstream *known = m_registry.find(upstream);
    return !known || m_sharedLoad.hasRoom(now, upstream, known->announcement.slots, priority);
}

void EntryTraffic::recordVersionSample(const Route &route, const UpstreamId &upstream, AttemptOutcome outcome,
                                       Duration latency)
{
    const KnownUpstream *known = m_registry.find(upstream);
    if (!known)
        return;
    VersionSample sample;
    sample.service = known->announcement.service;
    sample.version = known->announcement.version;
    sample.route = route.name;
    sample.upstream = upstream;
    sample.outcome = outcome;
    sample.latency = latency;
    sample.cold = known->announcement.coldForMillis > 0;
    m_versions.record(sample);
}

bool EntryTraffic::tryConsumeBudget(const ServiceName &service)
{
    static Counter &taken = Metrics::counter("hickoryspur_extra_sub_requests_total");
    static Counter &denied = Metrics::counter("hickoryspur_extra_sub_requests_denied_total");
    const bool allowed = budget(service).tryConsumeBudget(monotonicNow());
    (allowed ? taken : denied).add();
    return allowed;
}

RetryBudget &EntryTraffic::budget(const ServiceName &service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    return m_budgets.emplace(service, RetryBudget(m_config.extraShare * kUsableBudgetShare, slackPerEntry()))
        .first->second;
}

double EntryTraffic::slackPerEntry() const
{
    return m_config.extraSlack * kUsableBudgetShare / m_connectionPlan.entryCount();
}

RouteLatency &EntryTraffic::latencyOf(const Route &route)
{
    const double quantile = route.isScattered() ? kScatterHedgeQuantile : kSingleHedgeQuantile;
    return m_latencies.try_emplace(route.host + route.pathPrefix, quantile).first->second;
}

int EntryTraffic::waitingPriority(const Route &route, const ForwardedRequest &request) const
{
    return m_gate ? priorityOf(route, request) : 0;
}

std::optional<uint32_t> EntryTraffic::connectionLimit(const ServiceName &service) const
{
    if (!m_routes)
        return std::nullopt;
    const auto found = m_routes->services.find(service);
    return found == m_routes->services.end() ? std::nullopt : std::optional(found->second.connectionLimit);
}

bool EntryTraffic::keepsConnections(const UpstreamId &upstream, const ServiceName &service) const
{
    if (m_routeGroups.contains(service))
        return m_routeGroups.isHolder(service);
    const std::optional<uint32_t> limit = connectionLimit(service);
    return !limit || m_connectionPlan.keepsConnections(upstream, *limit);
}

uint32_t EntryTraffic::maxConnections(const ServiceName &service, uint32_t limit) const
{
    if (m_routeGroups.isHolder(service))
        return ConnectionPlan::maxConnections(limit, m_routeGroups.holders(service));
    return m_connectionPlan.maxConnections(limit);
}

std::set<DataCentreName> EntryTraffic::placesOf(const ServiceName &service) const
{
    std::set<DataCentreName> places;
    for (const UpstreamId &id : m_registry.replicas(service)) {
        const DataCentreName &place = m_registry.find(id)->announcement.dataCentre;
        if (!m_dataCentresOut.contains(place.value()))
            places.insert(place);
    }
    return places;
}

void EntryTraffic::updateGroups()
{
    if (m_routes)
        m_routeGroups.update(*m_routes, [this](const ServiceName &shard) { return placesOf(shard); });
    m_admission.updateShares(monotonicNow());
}

std::optional<UpstreamTarget> EntryTraffic::targetOf(const UpstreamId &upstream) const
{
    const KnownUpstream *known = m_registry.find(upstream);
    if (!known)
        return std::nullopt;
    const Announcement &announcement = known->announcement;
    UpstreamTarget target{upstream, {announcement.address, announcement.port}};
    const std::optional<uint32_t> limit = connectionLimit(announcement.service);
    target.connections = limit ? maxConnections(announcement.service, *limit) : 1;
    target.keepsIdle = keepsConnections(upstream, announcement.service);
    return target;
}

void EntryTraffic::setRoutes(RouteTable table)
{
    if (m_routes && table.number < m_routes->number)
        return;
    HS_LOG(INFO, LogEvent::RoutesApplied)
        << "routes=" << table.number << " before=" << routesNumber() << " count=" << table.routes.size();
    m_routes = std::make_shared<const RouteTable>(std::move(table));
    updateGroups();
    if (!m_routes->customers.empty())
        m_connections.withdrawUnusable();
    if (m_gate)
        m_gate->setRoutes(*m_routes);
}

void EntryTraffic::setDataCentresOut(std::vector<std::string> out)
{
    m_dataCentresOut = std::set<std::string>(out.begin(), out.end());
    m_routeGroups.setOutdated();
    m_connections.withdrawUnusable();
}

void EntryTraffic::setMoves(const std::map<std::string, std::string> &packed)
{
    m_versions.setMoves(packed);
    m_connections.withdrawUnusable();
}

void EntryTraffic::setEntryCount(uint32_t entries)
{
    if (entries == 0 || entries == m_connectionPlan.entryCount())
        return;
    m_connectionPlan.setEntryCount(entries);
    for (auto &[service, budget] : m_budgets)
        budget.setSlack(slackPerEntry());
    m_admission.setEntryCount(monotonicNow(), entries);
}

void EntryTraffic::setEntries(TimePoint now, const std::string &self, const std::vector<EntryLocation> &entries)
{
    const bool wasOffered = m_connectionPlan.isOffered();
    std::vector<std::string> addresses;
    addresses.reserve(entries.size());
    for (const EntryLocation &entry : entries)
        addresses.push_back(entry.address);
    m_connectionPlan.setEntries(now, self, addresses);
    m_otherEntries = std::move(addresses);
    std::erase(m_otherEntries, self);
    if (m_routeGroups.setEntries({self, m_config.dataCentre}, entries))
        updateGroups();
    if (wasOffered && !m_connectionPlan.isOffered())
        m_connections.closeIdle();
}

double EntryTraffic::subRequestsPerSecond(TimePoint now)
{
    if (now - m_sentSince < kLoadWindow)
        return m_subRequestsPerSecond;
    m_subRequestsPerSecond =
        static_cast<double>(m_sentSubRequests) / std::chrono::duration<double>(now - m_sentSince).count();
    m_sentSince = now;
    m_sentSubRequests = 0;
    return m_subRequestsPerSecond;
}

void EntryTraffic::accept(TimePoint now, const Announcement &announcement)
{
    const RegistryChange change = announcement.upstreamState() == UpstreamState::Gone
        ? m_registry.remove(now, announcement.id, announcement.incarnation)
        : m_registry.accept(now, announcement);
    if (change != RegistryChange::Changed)
        return;
    m_routeGroups.setOutdated();
    const KnownUpstream *known = m_registry.find(announcement.id);
    if (!known || known->announcement.coldForMillis <= 0)
        m_admission.endCold(announcement.id);
    if (known && known->takesWork())
        return;
    if (!known || known->announcement.upstreamState() == UpstreamState::Gone)
        m_admission.remove(announcement.id);
    m_connections.withdrawUnusable();
    m_connections.removeUpstream(announcement.id);
}

bool EntryTraffic::mayStillSend(TimePoint chosenAt, const UpstreamId &upstream, uint64_t incarnation) const
{
    const KnownUpstream *known = m_registry.find(upstream);
    if (!known || !known->takesWork() || known->announcement.incarnation != incarnation)
        return false;
    return isOpen(known->announcement)
        && (m_admission.empty() || m_admission.mayStillSend(monotonicNow(), chosenAt, {upstream, incarnation}));
}

bool EntryTraffic::isOpen(const Announcement &announcement) const
{
    return !m_dataCentresOut.contains(announcement.dataCentre.value())
        && !m_versions.isTakenBack(announcement.service, announcement.version);
}

bool EntryTraffic::isQuarantined(const ForwardedRequest &request) const
{
    return !m_quarantine.empty() && m_quarantine.isInQuarantine(monotonicNow(), fingerprintOf(request));
}

void EntryTraffic::updateServiceStatus(TimePoint now)
{
    static Counter &upstreams = Metrics::counter("hickoryspur_upstreams_known");
    static Counter &unservedServices = Metrics::counter("hickoryspur_services_without_upstreams");
    static Counter &routes = Metrics::counter("hickoryspur_routes_number");
    static Counter &entries = Metrics::counter("hickoryspur_entries_known");
    if (now < m_nextServiceCheck)
        return;
    m_nextServiceCheck = now + kServiceCheckInterval;
    m_admission.keepOnly([this](const UpstreamId &id) { return m_registry.find(id) != nullptr; });
    int64_t replicas = 0;
    int64_t unservedCount = 0;
    for (const auto &[service, spec] : m_routes->services) {
        const size_t count = m_registry.replicas(service).size();
        replicas += static_cast<int64_t>(count);
        unservedCount += count == 0 ? 1 : 0;
        if (count == 0 && m_servicesWithUpstreams.erase(service) > 0)
            HS_LOG(WARNING, LogEvent::ServiceWithoutUpstreams) << "service=" << service << " routes=" << routesNumber();
        else if (count > 0 && m_servicesWithUpstreams.insert(service).second)
            HS_LOG(INFO, LogEvent::ServiceHasUpstreams) << "service=" << service << " upstreams=" << count;
    }
    upstreams.set(replicas);
    unservedServices.set(unservedCount);
    routes.set(static_cast<int64_t>(routesNumber()));
    entries.set(m_connectionPlan.entryCount());
}

std::vector<UpstreamId> EntryTraffic::aliveUpstreams(TimePoint now) const
{
    std::vector<UpstreamId> alive;
    for (const auto &[id, known] : m_registry.all())
        if (known.takesWork() && now - known.lastHeartbeat < kAliveTime)
            alive.push_back(id);
    return alive;
}

void EntryTraffic::tick(TimePoint now)
{
    m_connections.tick(now);
    m_delegations.tick(now);
    m_registry.removeExpired(now);
    // Whatever has ended the use of an upstream or of a request since the last tick.
    m_connections.withdrawUnusable();
    updateAdmission(now);
    m_quarantine.tick(now);
    if (m_gate)
        m_gate->tick(now);
    m_probes.tick(
        now, [this, now] { return aliveUpstreams(now); },
        [this](const UpstreamId &upstream) { return targetOf(upstream)->address; });
    if (!m_routes)
        return;
    updateServiceStatus(now);
    if (m_routeGroups.isOutdated())
        updateGroups();
    if (now < m_nextAdvanceOpening || !m_connectionPlan.opensInAdvance(now))
        return;
    m_nextAdvanceOpening = now + kAdvanceOpeningInterval;
    // Connects to every upstream behind a route in advance, so that the first request need not wait for it.
    for (const auto &[id, known] : m_registry.all())
        if (known.takesWork() && m_routes->services.contains(known.announcement.service)
            && keepsConnections(id, known.announcement.service)
            && !m_admission.isWithdrawn(now, id, known.announcement.incarnation))
            m_connections.warm(*targetOf(id));
}

} // namespace hickoryspur
