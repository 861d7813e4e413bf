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

struct JudgeSettings
{
    /** Evidence needed; e to the minus this is about the chance of a false alarm in one run of bad luck. */
    double threshold = 9;
    /** The least rise in the share of failures, and of slow answers, that counts as bad. */
    double failureRise = 0.02;
    double slowRise = 0.10;
    /** An answer is slow beyond this quantile of the old version's. */
    double slowQuantile = 0.95;
    /** The old version's usual shares are those of this many windows. */
    size_t memory = 30;
    /** Fewer requests of the old version than this are nothing to compare with. */
    uint64_t leastBaseline = 200;
    /** Windows are added up until the old version has this many requests in them to compare with. */
    uint64_t leastOldRequests = 30;
};

struct JudgeScope
{
    /** The old version has no traffic any more; its past is all there is to compare with. */
    bool oldIsGone = false;
    /** Upstreams that are still warming up may be slow. */
    bool countSlow = true;
};

class VersionJudge
{
public:
    explicit VersionJudge(JudgeSettings settings = {})
        : m_settings(settings)
    {
    }

    /** One window of both versions over the same time. */
    void add(const VersionObservation &oldVersion, const VersionObservation &newVersion, const JudgeScope &scope = {});

    /** Why the new version is bad, or nothing. */
    std::optional<std::string> badness() const;
    /** The most evidence on any route, as a share of what is needed. */
    double suspicion() const;
    /** Requests of the new version since the last call of startStage(). */
    uint64_t stageRequests() const { return m_stageRequests; }
    uint64_t stageRefused() const { return m_stageRefused; }
    void startStage();

private:
    struct Baseline
    {
        std::deque<Tally> windows;
        Tally sum;
    };
    struct Evidence
    {
        double sum = 0;
        std::map<std::string, double> byUpstream;
        std::map<uint32_t, double> byShard;

        void settle();
        /** What remains without the worst upstream and without the worst shard, the lesser of both. */
        double robust() const;
    };
    struct Route
    {
        Baseline baseline;
        Evidence failing;
        Evidence slowing;
        /** Windows not judged yet, because the old version has too little in them. */
        Tally pendingOld;
        RouteObservation pendingFresh;
    };

    void addRoute(Route &route, const Tally &oldTotal, const RouteObservation &fresh, const JudgeScope &scope) const;
    void learn(Route &route, const Tally &oldTotal) const;
    void judge(Route &route, const JudgeScope &scope) const;

    JudgeSettings m_settings;
    std::map<std::string, Route> m_routes;
    uint64_t m_stageRequests = 0;
    uint64_t m_stageRefused = 0;
};

} // namespace hickoryspur
