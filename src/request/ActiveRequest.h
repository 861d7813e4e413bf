// One caller's request on an entry while its attempts at upstreams run, or a group of its shards. It executes the
// actions of its ScatterGather: sends attempts, reads their answers, and gives the final answer to the caller's
// fiber, or reports the parts of the group to whoever merges them.
#pragma once

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/request/Delegation.h"
#include "hickoryspur/request/RequestAdmission.h"
#include "request/EntryTraffic.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

/** How often a request checks whether its caller is still connected. */
constexpr Duration kCallerGoneCheckInterval = 100ms;

/** The event of a request that was not answered completely. */
LogEvent eventOf(ScatterOutcome outcome);
/** Counts a caller's request that has ended, and the time that it took. */
void countRequest(Duration took, ScatterOutcome outcome);
/** The outcome as it stands in the log. */
const char *outcomeName(ScatterOutcome outcome);

/** Shards of a request whose parts are merged elsewhere. */
struct GroupOrder
{
    std::vector<ServiceName> shards;
    /** How many of them may be left out because they have no good replica. */
    size_t maxSkipped = 0;
    /** From this time on, parts are reported as they come. */
    TimePoint reportAt;
    TimePoint deadline;
    /** Called at reportAt at the earliest, or once all shards have ended; also from within serveGroup(). */
    std::function<void(GroupReport)> report;
};

/** Outlives the caller's fiber while attempts run. */
class EntryTraffic::ActiveRequest : public std::enable_shared_from_this<ActiveRequest>
{
public:
    ActiveRequest(EntryTraffic &traffic, std::shared_ptr<const RouteTable> routes, const Route &route,
                  ForwardedRequest request, bool isProbe, std::function<bool()> isCallerGone, Usage usage)
        : m_traffic(traffic)
        , m_routes(std::move(routes))
        , m_route(route)
        , m_request(std::move(request))
        , m_isProbe(isProbe)
        , m_isCallerGone(std::move(isCallerGone))
        , m_usage(std::move(usage))
        , m_timer(traffic.m_context)
        , m_started(monotonicNow())
        , m_begun(m_started)
    {
    }

    /** Must be called on a fiber; blocks it until the final answer. */
    CallerAnswer serve();
    /** Asks the shards of the group only, and does not block. */
    void serveGroup(GroupOrder order);
    /** The caller has disconnected: nothing new is sent, and attempts still running are cancelled after a delay. */
    void abandon();

private:
    struct SentAttempt
    {
        UpstreamId upstream;
        uint64_t incarnation = 0;
        TimePoint at;
        UpstreamConnections::Handle handle = 0;
        bool isProbe = false;
        /** Unset while the request waits for a connection. */
        std::optional<TimePoint> writtenAt;
        /** Set once the request is written. */
        std::optional<RequestUsage::RunId> run;
    };

    void start(ScatterPlan plan);
    /** Starts the request when it is admitted, or refuses it. Returns its number at the gate. */
    AdmissionNumber enterGate(ScatterPlan plan);
    /** Answers a request of which nothing has been sent. */
    void endUnsent(CallerAnswer answer);
    /** Ends a request that waits to start if it may not start any more, or if nobody waits for its answer. */
    bool endIfUnwanted();
    ScatterHooks hooks();
    /** Put in quarantine, or its key withdrawn, since it was accepted: it reaches no further upstream. */
    bool isStopped() const;
    /** The versions for an attempt; all first attempts at a service use the same ones. */
    VersionGroup versionGroup(const ServiceName &service, bool isExtra);
    void execute(const ScatterActions &actions);
    void send(const SendAttempt &attempt);
    void onAttemptEnded(AttemptKey key, ExchangeResult result);
    void noteWritten(TimePoint now, AttemptKey key);
    /** Counts a finished attempt in what entries share of the load of upstreams. */
    void recordLoad(TimePoint now, AttemptKey key, const SentAttempt &sent, AttemptOutcome outcome, Duration median);
    /** Notes whether an attempt that was written has run. */
    void noteUsage(const SentAttempt &sent, AttemptOutcome outcome);
    /** Goes on counting the bytes of an answer that this request keeps. */
    void keep(ByteBudget::Share held);
    /** Notes whether an upstream has ended, or has not, while it ran the request. */
    void noteSurvival(const SentAttempt &sent, AttemptOutcome outcome, bool hasRun);
    /** Reports the upstreams that have ended, unless one has answered, and the end of a probe. */
    void reportLosses();
    static AttemptOutcome classifyOutcome(const ExchangeResult &result, const AnswerVerdict &verdict);
    void scheduleTimer();
    void onTimer();
    /** Closes the connections of the attempts that still run. */
    void cancelRunningAttempts();
    /** Ends the attempts that still wait for a connection. */
    void cancelQueuedAttempts();
    std::vector<UpstreamConnections::Handle> runningHandles() const;
    void finish(ScatterOutcome outcome);
    /** Reports the parts of the group that have come since the last report. */
    void reportGroup(bool ended);
    void reportGroupIfDue(TimePoint now);
    CallerAnswer mergedAnswer() const;
    CallerAnswer singleAnswer(ScatterOutcome outcome) const;
    void logOutcome(ScatterOutcome outcome) const;

    EntryTraffic &m_traffic;
    /** Keeps m_route valid when another table replaces this one. */
    std::shared_ptr<const RouteTable> m_routes;
    const Route &m_route;
    ForwardedRequest m_request;
    /** The request is suspected of ending upstreams, see RequestQuarantine. */
    bool m_isProbe;
    /** An upstream has run the request and answered. */
    bool m_ranAndAnswered = false;
    /** The upstreams that closed the connection while they ran the request. */
    std::vector<UpstreamLoss> m_losses;
    std::function<bool()> m_isCallerGone;
    Usage m_usage;
    boost::asio::steady_timer m_timer;
    TimePoint m_started;
    /** When its first attempts were sent; later than m_started if it had to wait for that. */
    TimePoint m_begun;
    /** What start() is given once the request is admitted; moved from after that. */
    std::optional<ScatterPlan> m_waitingPlan;
    TimePoint m_deadline;
    /** When the attempts that still run after the caller has disconnected are cancelled; max() if they are not. */
    TimePoint m_cancelRunningAt = TimePoint::max();
    /** When the timer fires next; in the past while it is not set. */
    TimePoint m_timerExpiry;
    std::optional<ScatterGather> m_scatter;
    size_t m_shardCount = 0;
    std::map<AttemptKey, SentAttempt> m_runningAttempts;
    std::map<ServiceName, VersionGroup> m_versionGroups;
    std::map<uint32_t, UpstreamAnswer> m_answers;
    std::map<uint32_t, std::string> m_signatures;
    std::vector<ByteBudget::Share> m_held;
    /** Set if this is a group of a request. */
    std::optional<GroupOrder> m_group;
    /** Shards of the group that have answered since the last report. */
    std::vector<uint32_t> m_unreported;
    std::optional<UpstreamAnswer> m_failure;
    std::string m_lastReason;
    boost::fibers::promise<CallerAnswer> m_promise;
    bool m_finished = false;
};

} // namespace hickoryspur
