// What a traffic thread has seen of each upstream: how quickly it answers, how much of ours is out
// there and whether it failed lately. The scores order the replicas of a shard; they never remove
// one, so the last replica is still tried when all look bad.
#pragma once

#include "hickoryspur/connection/SubRequest.h"

#include <unordered_map>

namespace hickoryspur {

class UpstreamScores
{
public:
    /** After this many failures in a row an upstream comes last for a while. */
    static constexpr uint32_t kFailuresToEject = 3;
    static constexpr Duration kEjection = 2s;

    void recordSent(const UpstreamId &upstream);
    void recordEnd(TimePoint now, const UpstreamId &upstream, SubOutcome outcome, Duration latency);
    /** Expected microseconds to an answer; lower is better. */
    double cost(TimePoint now, const UpstreamId &upstream) const;

private:
    struct Score
    {
        double latencyMicros = 0;
        uint32_t inFlight = 0;
        uint32_t failures = 0;
        TimePoint ejectedUntil;
    };
    std::unordered_map<UpstreamId, Score> m_scores;
};

} // namespace hickoryspur
