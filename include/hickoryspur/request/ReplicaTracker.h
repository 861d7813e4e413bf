// Tracks the latency and the failures of each replica as one entry observes them, and estimates from
// them the cost of the next request: the expected time to its answer as a multiple of the usual one.
//
// Replicas stall briefly, slow down for seconds, fail some of their requests or become unreachable,
// and each entry sends to a given replica only a few times per second. Therefore an overdue request
// counts against its replica before it ends, and observations decay, so that a replica which has
// recovered is tried again. The cost orders replicas; it never excludes one.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

enum class AttemptOutcome {
    /** A complete answer that belongs to the request. */
    Answered,
    /** The request ran or may have run, and no successful answer was received. */
    Failed,
    /** The upstream closed the connection before it had answered; it may have run the request, and may have ended. */
    Lost,
    /** The upstream refused the request without running it. */
    Refused,
    /** Nothing was sent to the upstream. */
    NotSent,
    /** Nothing was sent, since the upstream takes no requests now; says nothing of its speed or reachability. */
    Withheld,
    /** The request may have run; no complete answer arrived before the deadline. */
    NoResponse,
    /** The entry stopped waiting; the replica's latency and failure averages do not change. */
    Cancelled,
};

class ReplicaTracker
{
public:
    explicit ReplicaTracker(uint64_t seed)
        : m_random(seed)
    {
    }

    struct Candidate
    {
        UpstreamId id;
        bool sameDataCentre = false;
        bool cold = false;
        /** Age of its last heartbeat, as UpstreamRegistry::heartbeatAge() returns it. */
        Duration heartbeatAge = Duration::zero();
        /** Its latency as a multiple of the usual one as other entries see it (SharedLoad); one if that is not known.
         */
        double sharedLatencyRatio = 1;
    };

    void recordSent(const UpstreamId &id);
    /** Records that a request to the replica is still in flight after the usual latency. */
    void recordOverdue(const UpstreamId &id);
    /** latencyRatio is the request's latency as a multiple of the usual one; it is used only for answers. */
    void recordEnd(TimePoint now, const UpstreamId &id, AttemptOutcome outcome, double latencyRatio, bool wasOverdue);
    /**
     * Returns the index of the candidate with the lowest cost, chosen at random among nearly equal ones. The list must
     * not be empty.
     */
    size_t best(TimePoint now, const std::vector<Candidate> &candidates);
    /** Expected time to an answer as a multiple of the usual latency; lower is better. */
    double cost(TimePoint now, const Candidate &candidate) const;
    /** An answer in time is unlikely: the replica was unreachable recently, or a request to it is overdue. */
    bool isDegraded(TimePoint now, const UpstreamId &id) const;

private:
    struct Score
    {
        double latencyRatio = 1;
        /** Exponentially weighted share of failed requests, 0 to 1. */
        double failures = 0;
        /** Number of consecutive attempts that did not reach the replica. */
        uint32_t unreachable = 0;
        uint32_t inFlight = 0;
        uint32_t overdue = 0;
        TimePoint lastEnd;
        TimePoint avoidUntil;
    };

    std::unordered_map<UpstreamId, Score> m_scores;
    std::mt19937_64 m_random;
};

} // namespace hickoryspur
