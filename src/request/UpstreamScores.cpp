#include "hickoryspur/request/UpstreamScores.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/** Assumed latency of an upstream without samples. */
constexpr double kUnknownLatencyMicros = 10'000;
constexpr double kEjectedCostMicros = 1e8;
constexpr double kFailureCostMicros = 1e5;
/** Weight of a new sample in the exponential average of the latency. */
constexpr double kSampleWeight = 0.1;

} // namespace

void UpstreamScores::recordSent(const UpstreamId &upstream)
{
    ++m_scores[upstream].inFlight;
}

void UpstreamScores::recordEnd(TimePoint now, const UpstreamId &upstream, SubOutcome outcome, Duration latency)
{
    Score &score = m_scores[upstream];
    score.inFlight -= std::min<uint32_t>(score.inFlight, 1);
    if (outcome == SubOutcome::Cancelled || outcome == SubOutcome::SnapshotGone)
        return;
    if (outcome == SubOutcome::Ok) {
        const auto sample = static_cast<double>(latency.count());
        score.latencyMicros =
            score.latencyMicros == 0 ? sample : score.latencyMicros + kSampleWeight * (sample - score.latencyMicros);
        score.failures = 0;
        score.ejectedUntil = TimePoint();
        return;
    }
    if (++score.failures >= kFailuresToEject)
        score.ejectedUntil = now + kEjection;
}

double UpstreamScores::cost(TimePoint now, const UpstreamId &upstream) const
{
    const auto found = m_scores.find(upstream);
    if (found == m_scores.end())
        return kUnknownLatencyMicros;
    const Score &score = found->second;
    const double latency = score.latencyMicros == 0 ? kUnknownLatencyMicros : score.latencyMicros;
    double cost = latency * (score.inFlight + 1) + kFailureCostMicros * std::min(score.failures, kFailuresToEject);
    if (now < score.ejectedUntil)
        cost += kEjectedCostMicros;
    return cost;
}

} // namespace hickoryspur
