// Runs the queries and actions of one traffic thread, each on the fiber of its caller's connection:
// admission, plan, fan-out, answer. Admission, makePlan() and FanOut make the decisions; this class
// executes them through the SubRequestRouter.
#pragma once

#include "hickoryspur/process/View.h"
#include "hickoryspur/request/Admission.h"
#include "hickoryspur/request/FanOut.h"
#include "hickoryspur/request/HedgeDelays.h"
#include "hickoryspur/request/RetryBudget.h"
#include "hickoryspur/request/UpstreamScores.h"
#include "hickoryspur/request/VersionPicker.h"
#include "hickoryspur/version/Observation.h"
#include "request/SubRequestRouter.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/mutex.hpp>

#include <functional>
#include <map>
#include <random>
#include <string>

namespace hickoryspur {

struct QueryRequest
{
    Environment environment = Environment::Production;
    ServiceName service;
    CallerName caller;
    /** Time allowed by the caller; zero, or more than the service's own deadline, means the service's deadline. */
    Duration deadline = Duration::zero();
    /** Share of the shards that must answer; the service may require more. */
    double minCoverage = 0;
    std::string body;
    /** Returns true once the caller has disconnected; may be empty. */
    std::function<bool()> isCallerGone;
};

struct ActionRequest
{
    Environment environment = Environment::Production;
    ServiceName service;
    CallerName caller;
    uint32_t shard = 0;
    /** As in QueryRequest. */
    Duration deadline = Duration::zero();
    /** Idempotency key. Without one the action is sent once, never retried, and its outcome is not stored. */
    std::string key;
    /** When the key was first used, in seconds since the Unix epoch. */
    int64_t keySeconds = 0;
    std::string body;
};

struct ServiceAnswer
{
    ResultCode code = ResultCode::Ok;
    /** The complete JSON body. */
    std::string json;
};

class QueryService
{
public:
    using CommitCommand = std::function<void(Command, Duration timeout, std::function<void(ApplyOutcome)> done)>;

    struct Hooks
    {
        /** Whether this entry has the right to serve at that time. */
        std::function<bool(TimePoint)> mayServe;
        /** Whether the given entry can be reached. */
        std::function<bool(const NodeId &)> isAlive;
        /** Commits a command to the replicated log; done runs on this traffic thread. */
        CommitCommand commit;
    };

    QueryService(NodeId self, uint64_t incarnation, SubRequestRouter &router, Hooks hooks, uint64_t seed);

    void setView(ViewPointer view);
    const ViewPointer &view() const { return m_view; }
    void tick(TimePoint now);
    /** Must be called on a fiber. */
    ServiceAnswer query(const QueryRequest &request);
    /** Must be called on a fiber. */
    ServiceAnswer executeAction(const ActionRequest &request);
    /** Returns and clears the observations made since the last call. */
    ObservationBatch drainObservations();
    void setShuttingDown() { m_shuttingDown = true; }
    size_t runningCount() const { return m_runningCount; }

private:
    /** Admission result and replies for which one query's fiber waits. */
    struct Mailbox
    {
        boost::fibers::mutex mutex;
        boost::fibers::condition_variable condition;
        std::vector<SubReply> replies;
        std::optional<ResultCode> admission;
    };
    /** A sub-request that was sent: where to, and when. */
    struct OutstandingSubRequest
    {
        NodeId home;
        UpstreamId upstream;
        VersionName version;
        uint32_t shard = 0;
        TimePoint sent;
        bool extra = false;
    };

    std::optional<Failure> refusalReason(Environment environment, const ServiceName &service,
                                         const CallerName &caller) const;
    ResultCode admit(const CallerName &caller, uint32_t weight, TimePoint deadline, QueryNumber number);
    void execute(const AdmissionActions &actions);
    FanOutAnswer fanOut(const QueryRequest &request, const ServiceConfig &config, TimePoint deadline);
    FanOutHooks makeHooks(const std::shared_ptr<ViewPointer> &view, const QueryRequest &request,
                          const ServiceConfig &config);
    /** The plan for the version picked for this query, or for the old version if that covers more shards. */
    std::optional<QueryPlan> plan(Environment environment, const ServiceName &service, const ServiceConfig &config,
                                  std::optional<SnapshotId> excludedSnapshot);
    void recordSubRequest(const QueryRequest &request, const OutstandingSubRequest &outstanding, SubOutcome outcome,
                          Duration latency);
    void recordAnswer(const QueryRequest &request, const FanOutAnswer &answer, Duration took, bool late);
    void send(const OutstandingSubRequest &outstanding, const FanOutSend &send, const QueryRequest &request,
              const std::shared_ptr<Mailbox> &mailbox);
    void cancel(const OutstandingSubRequest &outstanding, SubRequestId id, const QueryRequest &request);
    HedgeDelays &hedgeDelays(Environment environment, const ServiceName &service);
    double cost(const UpstreamView &upstream) const;
    ApplyOutcome commitAndWait(Command command, Duration timeout);
    /** Stores an action's outcome in the replicated log and waits for that, at most until the deadline. */
    void storeOutcome(Command outcome, TimePoint deadline);
    ServiceAnswer sendAction(const ActionRequest &request, const UpstreamView &upstream, MapGeneration generation,
                             SnapshotId snapshot, TimePoint deadline);

    NodeId m_self;
    uint64_t m_incarnation;
    SubRequestRouter &m_router;
    Hooks m_hooks;
    std::mt19937_64 m_random;
    ViewPointer m_view;
    Admission m_admission;
    RetryBudget m_budget;
    /** Limits the restarts of whole queries, as a share of the queries. */
    RetryBudget m_restartBudget;
    UpstreamScores m_scores;
    std::map<ServiceName, VersionPicker> m_versionPickers;
    ObservationBatch m_observations;
    std::map<std::pair<Environment, ServiceName>, HedgeDelays> m_hedgeDelays;
    std::map<QueryNumber, std::shared_ptr<Mailbox>> m_awaitingAdmission;
    QueryNumber m_nextQuery = 1;
    size_t m_runningCount = 0;
    /** When this entry's own data centre was taken out; empty while it is not out. */
    std::optional<TimePoint> m_dataCentreOutSince;
    bool m_shuttingDown = false;
};

} // namespace hickoryspur
