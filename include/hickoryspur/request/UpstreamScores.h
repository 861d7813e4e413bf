// Tracks the latency, the sub-requests in flight and the recent failures of each upstream as one
// traffic thread observes them. The resulting cost orders the replicas of a shard; it never excludes
// one, so that a shard is still tried when all of its replicas are failing.
#pragma once

#include "hickoryspur/connection/SubRequest.h"

#include <unordered_map>

namespace hickoryspur {

class UpstreamScores
{
public:
    /** After this many consecutive failures an upstream is ranked last for kEjection. */
    static constexpr uint32_t kFailuresToEject = 3;
    static constexpr Duration kEjection = 2s;

    void recordSent(const UpstreamId &upstream);
    void recordEnd(TimePoint now, const UpstreamId &upstream, SubOutcome outcome, Duration latency);
    /** Expected time to an answer plus penalties, in microseconds; lower is better. */
    double cost(TimePoint now, const UpstreamId &upstream) const;

private:
    struct Score
    {
        double latencyMicros = 0;
        uint32_t inFlight = 0;
        /** Number of consecutive failures. */
        uint32_t failures = 0;
        TimePoint ejectedUntil;
    };
    std::unordered_map<UpstreamId, Score> m_scores;
};

} // namespace hickoryspur
