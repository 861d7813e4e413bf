// Evaluates a new version against the old one over the same period. For each route it accumulates the
// evidence that the new version fails, or is slow, more often than the old one. The evidence is a
// cumulative sum (CUSUM) of log-likelihood ratios per window that never falls below zero, so it can be
// tested after every window and detects a version that turns bad later. The evidence has to hold
// without the worst upstream and without the worst shard, since one lost replica or straggler is not a
// fault of the version.
#pragma once

#include "hickoryspur/process/Time.h"
#include "hickoryspur/version/Observation.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace hickoryspur {

struct EvaluatorSettings
{
    /**
     * Evidence that rejects the new version. The probability that one excursion of the sum above zero
     * raises a false alarm is about exp(-threshold).
     */
    double threshold = 9;
    /** Minimum rise in the share of failures, and of slow answers, that counts as bad. */
    double minFailureRise = 0.02;
    double minSlowRise = 0.10;
    /** The same for failures that are compared with the past alone, with which trouble of both versions may begin. */
    double minClearFailureRise = 0.20;
    double clearFailureBaseline = 0.05;
    /** An answer is slow if its latency exceeds this quantile of the old version's latency. */
    double slowQuantile = 0.95;
    /** The baseline is made up of this many windows of the old version. */
    size_t baselineWindows = 30;
    /** Minimum number of requests in the baseline; with fewer there is no evaluation. */
    uint64_t minBaselineRequests = 200;
    /** Windows are merged until they hold this many requests of the old version. */
    uint64_t minOldRequests = 30;
};

struct EvaluationScope
{
    /** The old version no longer has traffic, so the baseline alone is compared with. */
    bool oldHasNoTraffic = false;
    /** Whether slow answers count; false while the new upstreams warm up. */
    bool countSlow = true;
    /** Whether only a rise by minClearFailureRise counts, as nothing confirms a suspicion before it rejects the
     * version. */
    bool onlyClearFailures = false;
};

class VersionEvaluator
{
public:
    explicit VersionEvaluator(EvaluatorSettings settings = {})
        : m_settings(settings)
    {
    }

    /** Adds one window of both versions over the same period. */
    void add(const VersionObservation &oldVersion, const VersionObservation &newVersion,
             const EvaluationScope &scope = {});

    /** Why the new version is bad, or nothing if the evidence is below the threshold. */
    std::optional<std::string> rejectionReason() const;
    /** Maximum evidence on any route, as a share of the threshold. */
    double suspicion() const;
    /** Requests of the new version since the last call of startStage(). */
    uint64_t stageRequests() const { return m_stageRequests; }
    uint64_t stageRefused() const { return m_stageRefused; }
    void startStage();

private:
    /** The old version's recent windows. */
    struct Baseline
    {
        std::deque<SubRequestTally> windows;
        SubRequestTally sum;
    };
    struct Evidence
    {
        double sum = 0;
        std::map<std::string, double> byUpstream;
        std::map<uint32_t, double> byShard;

        /** Starts over if the sum is not positive. */
        void clampAtZero();
        /** The smaller of the sums without the worst upstream and without the worst shard. */
        double leaveOneOutSum() const;
    };
    struct Route
    {
        Baseline baseline;
        Evidence failureEvidence;
        Evidence slowEvidence;
        /** Windows not evaluated yet, because they hold too few requests of the old version. */
        SubRequestTally pendingOld;
        RouteObservation pendingNew;
    };

    void addRoute(Route &route, const SubRequestTally &oldTotal, const RouteObservation &newRoute,
                  const EvaluationScope &scope) const;
    void updateBaseline(Route &route, const SubRequestTally &oldTotal) const;
    void evaluate(Route &route, const EvaluationScope &scope) const;

    EvaluatorSettings m_settings;
    std::map<std::string, Route> m_routes;
    uint64_t m_stageRequests = 0;
    uint64_t m_stageRefused = 0;
};

} // namespace hickoryspur
