// What one entry has seen of each replica, as the expected time of the next answer relative to the
// usual one. It answers the load pattern of replicas that stand still for a moment, slow down for
// seconds, fail part of their requests or vanish, while each entry sees any one of them only a few
// times a second: a request that is overdue counts against its replica before it has ended, and old
// observations fade, so that a replica which has recovered is tried again. Scores order replicas;
// they never remove one.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

enum class AttemptOutcome {
    /** A whole answer that belongs to the request. */
    Answered,
    /** It ran or may have run, and there is no good answer. */
    Failed,
    /** The upstream says that it did not run it. */
    Refused,
    /** Nothing reached the upstream. */
    NotSent,
    /** It may have run; not a byte came in all the time that there was. */
    NoResponse,
    /** We stopped waiting; says nothing of the replica. */
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
        /** How long it has said nothing to the control hosts while others have. */
        Duration heartbeatAge = Duration::zero();
    };

    void recordSent(const UpstreamId &id);
    /** A request to it has taken longer than usual and is still out. */
    void recordOverdue(const UpstreamId &id);
    /** latencyRatio is the time it took as a multiple of the usual one; it counts for answers only. */
    void recordEnd(TimePoint now, const UpstreamId &id, AttemptOutcome outcome, double latencyRatio, bool wasOverdue);
    /** The candidate that is expected to answer first; its index. There must be one. */
    size_t best(TimePoint now, const std::vector<Candidate> &candidates);
    /** Multiples of the usual latency until an answer is expected; lower is better. */
    double cost(TimePoint now, const Candidate &candidate) const;
    /** An answer in time is unlikely: it could not be reached lately, or a request to it is overdue already. */
    bool isDegraded(TimePoint now, const UpstreamId &id) const;

private:
    struct Score
    {
        double latencyRatio = 1;
        /** Share of failures among the latest requests. */
        double failures = 0;
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
