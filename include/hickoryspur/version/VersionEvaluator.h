// Judges a new version beside the old one over the same time. For each route it adds up, window by
// window, the evidence that the new version fails or is slow more often than the old one, as a
// cumulative sum of log-likelihood ratios that never falls below zero, so that it may be looked at
// after every window and notices a version that turns bad later. The evidence must remain when the
// worst upstream or the worst shard is left out: one lost replica or straggler is not the version's fault.
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
    /** Evidence needed; e to the minus this is about the chance of a false alarm in one run of bad luck. */
    double threshold = 9;
    /** The least rise in the share of failures, and of slow answers, that counts as bad. */
    double minFailureRise = 0.02;
    double minSlowRise = 0.10;
    /** An answer is slow beyond this quantile of the old version's. */
    double slowQuantile = 0.95;
    /** The old version's usual shares are those of this many windows. */
    size_t baselineWindows = 30;
    /** Fewer requests of the old version than this are nothing to compare with. */
    uint64_t minBaselineRequests = 200;
    /** Windows are added up until the old version has this many requests in them to compare with. */
    uint64_t minOldRequests = 30;
};

struct EvaluationScope
{
    /** The old version has no traffic any more; its past is all there is to compare with. */
    bool oldHasNoTraffic = false;
    /** Upstreams that are still warming up may be slow. */
    bool countSlow = true;
};

class VersionEvaluator
{
public:
    explicit VersionEvaluator(EvaluatorSettings settings = {})
        : m_settings(settings)
    {
    }

    /** One window of both versions over the same time. */
    void add(const VersionObservation &oldVersion, const VersionObservation &newVersion,
             const EvaluationScope &scope = {});

    /** Why the new version is bad, or nothing. */
    std::optional<std::string> rejectionReason() const;
    /** The most evidence on any route, as a share of what is needed. */
    double suspicion() const;
    /** Requests of the new version since the last call of startStage(). */
    uint64_t stageRequests() const { return m_stageRequests; }
    uint64_t stageRefused() const { return m_stageRefused; }
    void startStage();

private:
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

        void clampAtZero();
        /** What remains without the worst upstream and without the worst shard, the lesser of both. */
        double leaveOneOutSum() const;
    };
    struct Route
    {
        Baseline baseline;
        Evidence failureEvidence;
        Evidence slowEvidence;
        /** Windows not judged yet, because the old version has too little in them. */
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
