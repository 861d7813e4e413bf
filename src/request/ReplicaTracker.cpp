#include "hickoryspur/request/ReplicaTracker.h"

#include <algorithm>
#include <cmath>

namespace hickoryspur {

namespace {

/** Weights of a new observation in the exponential averages. */
constexpr double kLatencyWeight = 0.25;
constexpr double kFailureWeight = 0.2;
/** Latency ratios are capped at this value, since a single slow answer may be an outlier. */
constexpr double kMaxLatencyRatio = 20;
/** Without new observations, the old ones lose half of their weight in this time. */
constexpr double kHalfLifeSeconds = 3;
/** Cost terms, in multiples of the usual latency. */
constexpr double kQueueCost = 0.5;
constexpr double kOverdueCost = 8;
constexpr double kFailureCost = 12;
constexpr double kUnreachableCost = 100;
constexpr double kColdCost = 0.8;
constexpr double kOtherDataCentreCost = 0.8;
constexpr double kStaleHeartbeatCost = 20;
/** Heartbeats are sent about every second and may be delayed; at this age two of them have been missed. */
constexpr Duration kStaleHeartbeatAge = 3s;
/** Replicas within this cost of the best are chosen at random, so that the entries do not all select the same one. */
constexpr double kTieRange = 0.1;
/** An unreachable upstream is ranked last for this long; the time doubles with each consecutive failure. */
constexpr Duration kAvoidDuration = 500ms;
constexpr uint32_t kMaxDoublings = 3;

} // namespace

void ReplicaTracker::recordSent(const UpstreamId &id)
{
    ++m_scores[id].inFlight;
}

void ReplicaTracker::recordOverdue(const UpstreamId &id)
{
    ++m_scores[id].overdue;
}

void ReplicaTracker::recordEnd(TimePoint now, const UpstreamId &id, AttemptOutcome outcome, double latencyRatio,
                               bool wasOverdue)
{
    Score &score = m_scores[id];
    score.inFlight -= std::min<uint32_t>(score.inFlight, 1);
    if (wasOverdue)
        score.overdue -= std::min<uint32_t>(score.overdue, 1);
    if (outcome == AttemptOutcome::Cancelled || outcome == AttemptOutcome::Withheld)
        return;
    score.lastEnd = now;
    if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NoResponse) {
        const uint32_t doublings = std::min(score.unreachable, kMaxDoublings);
        score.avoidUntil = now + kAvoidDuration * (1U << doublings);
        ++score.unreachable;
        return;
    }
    score.unreachable = 0;
    score.avoidUntil = TimePoint();
    const double failed = outcome == AttemptOutcome::Answered ? 0 : 1;
    score.failures += kFailureWeight * (failed - score.failures);
    if (outcome == AttemptOutcome::Answered)
        score.latencyRatio += kLatencyWeight * (std::min(latencyRatio, kMaxLatencyRatio) - score.latencyRatio);
}

double ReplicaTracker::cost(TimePoint now, const Candidate &candidate) const
{
    double extra = candidate.sameDataCentre ? 0 : kOtherDataCentreCost;
    extra += candidate.cold ? kColdCost : 0;
    extra += candidate.heartbeatAge > kStaleHeartbeatAge ? kStaleHeartbeatCost : 0;
    const auto found = m_scores.find(candidate.id);
    if (found == m_scores.end())
        return candidate.sharedLatencyRatio + extra;
    const Score &score = found->second;
    const double idleSeconds = std::chrono::duration<double>(now - score.lastEnd).count();
    const double weight = std::exp2(-idleSeconds / kHalfLifeSeconds);
    const double own = 1 + (score.latencyRatio - 1) * weight;
    // One means that nothing is known from other entries; it must not hide a replica that is faster than usual.
    const double ratio = candidate.sharedLatencyRatio > 1 ? std::max(own, candidate.sharedLatencyRatio) : own;
    return ratio * (1 + kQueueCost * score.inFlight) + kOverdueCost * score.overdue
        + kFailureCost * score.failures * weight + (now < score.avoidUntil ? kUnreachableCost : 0) + extra;
}

bool ReplicaTracker::isDegraded(TimePoint now, const UpstreamId &id) const
{
    const auto found = m_scores.find(id);
    return found != m_scores.end() && (found->second.overdue > 0 || now < found->second.avoidUntil);
}

size_t ReplicaTracker::best(TimePoint now, const std::vector<Candidate> &candidates)
{
    std::vector<double> costs;
    costs.reserve(candidates.size());
    for (const Candidate &candidate : candidates)
        costs.push_back(cost(now, candidate));
    const double minCost = *std::min_element(costs.begin(), costs.end());
    std::vector<size_t> tied;
    for (size_t i = 0; i < costs.size(); ++i)
        if (costs[i] <= minCost + kTieRange)
            tied.push_back(i);
    return tied[std::uniform_int_distribution<size_t>(0, tied.size() - 1)(m_random)];
}

} // namespace hickoryspur
