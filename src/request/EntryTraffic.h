// Serves the callers' requests of one entry: finds the route of a request, sends the request
// directly to replicas of the services behind the route, and returns the answer. It owns the entry's
// registry of upstreams, its connections to them and their statistics. Everything here runs on the
// entry's one traffic thread.
#pragma once

#include "connection/ReachabilityProbes.h"
#include "connection/UpstreamConnections.h"
#include "hickoryspur/connection/ConnectionPlan.h"
#include "hickoryspur/connection/SharedLoad.h"
#include "hickoryspur/connection/UpstreamAdmission.h"
#include "hickoryspur/connection/UpstreamRegistry.h"
#include "hickoryspur/process/HostSettings.h"
#include "hickoryspur/request/Authenticator.h"
#include "hickoryspur/request/LatencyQuantile.h"
#include "hickoryspur/request/ReplicaTracker.h"
#include "hickoryspur/request/RequestCodec.h"
#include "hickoryspur/request/RequestQuarantine.h"
#include "hickoryspur/request/RequestUsage.h"
#include "hickoryspur/request/RetryBudget.h"
#include "hickoryspur/request/RouteGroups.h"
#include "hickoryspur/request/ScatterGather.h"
#include "hickoryspur/request/VersionSplit.h"
#include "hickoryspur/version/RouteTable.h"
#include "request/Delegations.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace hickoryspur {

struct TrafficConfig
{
    DataCentreName dataCentre;
    /** Extra sub-requests (hedges and retries) that are allowed, as a share of the first sub-requests. */
    double extraShare = 0.2;
    /** Extra sub-requests allowed beyond that share, per budget window and for all entries together. */
    double extraSlack = 50;
    /** How long an upstream goes on serving after it has said that it is leaving. */
    Duration upstreamDrainTime = 3s;
    /** Where this entry accepts requests that other entries delegate to it. */
    HostAddress internalAddress;
    /** With Cost, this entry also shares what it sees of the upstreams' load with the other entries. */
    AdmissionMode admission = AdmissionMode::Arrival;
    /** Seeds replica selection, route splits, reconnect backoff and retry jitter. */
    uint64_t seed = 0;
};

/** Latency quantiles of one route's sub-requests. */
struct RouteLatency
{
    explicit RouteLatency(double hedgeQuantile)
        : hedgeDelay(hedgeQuantile)
    {
    }
    LatencyQuantile median{0.5};
    /** An attempt that takes longer is overdue. */
    LatencyQuantile hedgeDelay;
};

class EntryTraffic
{
public:
    EntryTraffic(boost::asio::io_context &context, TrafficConfig config, RequestCodec codec);
    ~EntryTraffic();
    EntryTraffic(const EntryTraffic &) = delete;
    EntryTraffic &operator=(const EntryTraffic &) = delete;

    /** Accepts requests that other entries delegate to this one. */
    Result<void> listen() { return m_delegations.listen(); }
    /** Must be called on a fiber; blocks it until the final answer or until isCallerGone returns true. */
    CallerAnswer serve(ForwardedRequest request, const std::function<bool()> &isCallerGone);
    /** An answer that refuses a request, with a jittered delay after which the caller may retry; at least minDelay. */
    CallerAnswer makeRefusal(RefusalKind kind, Duration minDelay = Duration::zero());

    /** Replaces the route table unless the given one has a lower number. */
    void setRoutes(RouteTable table);
    /** Replicas in these data centres get no new requests, nor those that wait for a connection to them. */
    void setDataCentresOut(std::vector<std::string> out);
    /** The split of services between two versions of their upstreams, and the observations of both. */
    VersionSplit &versions() { return m_versions; }
    /** Takes over the states of all moves, packed as in the log. */
    void setMoves(const std::map<std::string, std::string> &packed);
    /** Sets how many entries share the extra sub-requests and the upstreams' connections. */
    void setEntryCount(uint32_t entries);
    /** Sets the entries that callers are sent to, and so share the upstreams' connections, and this entry's address. */
    void setEntries(TimePoint now, const std::string &self, const std::vector<EntryLocation> &entries);
    /** Sets whether this entry knows what is in force, so that it may serve what others delegate to it. */
    void setServing(bool serving) { m_serving = serving; }
    /** Whether this entry has lost its way to the upstreams; other entries then serve its callers' requests. */
    bool isCutOff() const { return m_probes.isCutOff(); }
    /** Requests of other entries that this one is serving. */
    size_t delegatedRequests() const { return m_delegations.serving(); }
    /** Sets how many entries there are, whether or not callers are sent to them. */
    void setDeploymentSize(size_t entries) { m_connectionPlan.setDeploymentSize(entries); }
    /** Rate of sub-requests sent, averaged over the last seconds. */
    double subRequestsPerSecond(TimePoint now);
    /** Registers or removes the announced upstream; drops idle connections to one that takes no requests. */
    void accept(TimePoint now, const Announcement &announcement);
    void recordHeartbeat(TimePoint now, const UpstreamId &upstream);
    /** Adds what other entries know of requests that end upstreams. */
    void mergeSuspects(TimePoint now, const std::vector<SuspectReport> &reports);
    /** What this entry has seen of them itself. */
    std::vector<SuspectReport> suspects(TimePoint now) const { return m_quarantine.ownReports(now); }
    /** Called when suspects() has changed by what this entry has seen. */
    void setSuspectsChanged(std::function<void()> hook) { m_suspectsChanged = std::move(hook); }
    /** What entries share of the load of upstreams. */
    SharedLoad &sharedLoad() { return m_sharedLoad; }
    /** The rows for this entry's next status. */
    std::vector<LoadRow> takeLoadRows(TimePoint now);
    /** Whether one more request may be sent to the upstream; always true unless entries share its load. */
    bool hasSharedRoom(TimePoint now, const UpstreamId &upstream, int priority);
    /** Called for each customer's request that this entry accepted, with the time at which it began to run. */
    void setUsageCounted(std::function<void(const CustomerName &, TimePoint)> hook)
    {
        m_usageCounted = std::move(hook);
    }
    /** Every request is answered by then; one that may take longer is turned away, while it can be sent elsewhere. */
    void setStopTime(TimePoint at) { m_stopTime = at; }
    void tick(TimePoint now);
    bool hasRoutes() const { return m_routes != nullptr; }
    uint64_t routesNumber() const { return m_routes ? m_routes->number : 0; }
    /** Requires hasRoutes(). */
    const CallerLimits &limits() const { return m_routes->limits; }

private:
    class ActiveRequest;
    friend class ActiveRequest;
    class GroupedRequest;
    friend class GroupedRequest;
    class RemoteRequest;
    friend class RemoteRequest;
    class DelegatedServer;
    friend class DelegatedServer;
    class RequestGate;
    friend class RequestGate;

    /** Shared with the attempts of a request, which may outlive it. */
    using Usage = std::shared_ptr<RequestUsage>;

    /** Serves a request over this entry's connections, with the help of others if it is divided. */
    CallerAnswer serveHere(const std::shared_ptr<const RouteTable> &routes, const Route &route,
                           const ForwardedRequest &request, const std::function<bool()> &isCallerGone,
                           const Usage &usage);
    /** Counts a request that a caller has sent to this entry. */
    Usage makeUsage(const ForwardedRequest &request) const;
    /** Logs why the request is not authenticated. */
    static void logUnauthenticated(const ForwardedRequest &request, const Route &route,
                                   const AuthenticationFailure &failure);
    /** Logs and counts a request that is not authenticated, and refuses it. */
    CallerAnswer refuseUnauthenticated(const ForwardedRequest &request, const Route &route,
                                       const AuthenticationFailure &failure);
    /** The answer to a request that has not run: if its key has been withdrawn meanwhile, the caller must not retry. */
    CallerAnswer refuseNotRun(const ForwardedRequest &request, const Route &route, Duration minDelay);
    /** The other entries that callers are sent to, in random order. */
    std::vector<std::string> shuffledEntries();
    /** The upstreams that still send heartbeats. */
    std::vector<UpstreamId> aliveUpstreams(TimePoint now) const;
    /** The latest time of an answer for a caller that still waits so long. */
    static TimePoint deadlineFor(TimePoint now, Duration timeout);
    /** Whether the request will probably be answered before this process stops. */
    bool canFinish(TimePoint now, const Route &route, const ForwardedRequest &request) const;
    QuarantineVerdict admit(TimePoint now, const ForwardedRequest &request);
    void endProbe(const ForwardedRequest &request) { m_quarantine.endProbe(fingerprintOf(request)); }
    void recordSurvivedRequest(const ForwardedRequest &request);
    /** Records the upstreams that ended while they ran a request which none has answered. */
    void recordLosses(TimePoint now, const ForwardedRequest &request, const std::vector<UpstreamLoss> &losses);
    /** The data centres with replicas of the service that take requests. */
    std::set<DataCentreName> placesOf(const ServiceName &service) const;
    /** Determines again which routes are divided. */
    void updateGroups();
    ScatterPlan makePlan(TimePoint now, const Route &route, const ForwardedRequest &request);
    std::optional<ReplicaChoice> chooseReplica(const ServiceName &service, const std::vector<UpstreamId> &tried,
                                               VersionGroup group, int priority, size_t bodyBytes);
    /** The replicas of the group that may get a request, or of its fallback, or those that are leaving if none is left.
     */
    std::vector<const KnownUpstream *> usableReplicas(TimePoint now, const ServiceName &service,
                                                      VersionGroup group) const;
    /** The replicas of the group that may get a request; includesLeaving also those that may as the last ones. */
    std::vector<const KnownUpstream *> admittedReplicas(TimePoint now, const ServiceName &service, VersionGroup group,
                                                        bool includesLeaving) const;
    /** Reports a finished attempt to the split between versions. */
    void recordVersionSample(const Route &route, const UpstreamId &upstream, AttemptOutcome outcome, Duration latency);
    bool tryConsumeBudget(const ServiceName &service);
    RetryBudget &budget(const ServiceName &service);
    /** This entry's share of TrafficConfig::extraSlack. */
    double slackPerEntry() const;
    /** False if the upstream would get more requests than it takes. */
    bool mayGetRequest(TimePoint now, const Announcement &announcement) const;
    AdmissionQuery admissionQuery(const Announcement &announcement) const;
    /** Puts in force, and logs, what an upstream says of itself in an answer. */
    void recordSignals(TimePoint now, const UpstreamId &upstream, uint64_t incarnation, const UpstreamSignals &signals);
    /** Reports the pauses that have ended. */
    void updateAdmission(TimePoint now);
    /** Time until each of the services has a replica that may get a request; zero if that is not known to be later. */
    Duration timeUntilAdmitted(TimePoint now, const std::vector<ServiceName> &services) const;
    RouteLatency &latencyOf(const Route &route);
    /** The request's place among those that wait for a connection; the same for all with AdmissionMode::Arrival. */
    int waitingPriority(const Route &route, const ForwardedRequest &request) const;
    std::optional<UpstreamTarget> targetOf(const UpstreamId &upstream) const;
    /** Whether a request for which the upstream was chosen then, and which waits for it, may still be sent to it. */
    bool mayStillSend(TimePoint chosenAt, const UpstreamId &upstream, uint64_t incarnation) const;
    /** Whether neither the upstream's data centre nor its version has been taken out of service. */
    bool isOpen(const Announcement &announcement) const;
    /** Whether the request has been put in quarantine since it was accepted. */
    bool isQuarantined(const ForwardedRequest &request) const;
    /** Logs which services have lost or regained their upstreams, and updates the metrics. */
    void updateServiceStatus(TimePoint now);
    /** Connections that an upstream of the service accepts from all entries together; nullopt if that is not known. */
    std::optional<uint32_t> connectionLimit(const ServiceName &service) const;
    /** How many connections this entry opens to an upstream of the service, which accepts limit from all entries. */
    uint32_t maxConnections(const ServiceName &service, uint32_t limit) const;
    /** Whether connections to an upstream of the service are kept while no request runs. */
    bool keepsConnections(const UpstreamId &upstream, const ServiceName &service) const;
    /** Returns a random number in [0, 1). */
    double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    boost::asio::io_context &m_context;
    TrafficConfig m_config;
    RequestCodec m_codec;
    Authenticator m_authenticator;
    std::shared_ptr<const RouteTable> m_routes;
    std::set<std::string> m_dataCentresOut;
    uint64_t m_sentSubRequests = 0;
    TimePoint m_sentSince;
    double m_subRequestsPerSecond = 0;
    UpstreamRegistry m_registry;
    ReplicaTracker m_replicaTracker;
    SharedLoad m_sharedLoad;
    VersionSplit m_versions;
    ReachabilityProbes m_probes;
    UpstreamConnections m_connections;
    ConnectionPlan m_connectionPlan;
    /** The entries that callers are sent to, without this one. */
    std::vector<std::string> m_otherEntries;
    RouteGroups m_routeGroups;
    bool m_serving = false;
    UpstreamAdmission m_admission;
    RequestQuarantine m_quarantine;
    std::function<void()> m_suspectsChanged = [] {};
    std::function<void(const CustomerName &, TimePoint)> m_usageCounted = [](const CustomerName &, TimePoint) {};
    std::map<ServiceName, RetryBudget> m_budgets;
    std::map<std::string, RouteLatency> m_latencies;
    /** Services that had an upstream at the last check. */
    std::set<ServiceName> m_servicesWithUpstreams;
    /** When this process stops; max() while it is not asked to. */
    TimePoint m_stopTime = TimePoint::max();
    TimePoint m_nextServiceCheck;
    TimePoint m_nextAdvanceOpening;
    std::mt19937_64 m_random;
    /** Null with AdmissionMode::Arrival. */
    std::unique_ptr<RequestGate> m_gate;
    Delegations m_delegations;
};

} // namespace hickoryspur
