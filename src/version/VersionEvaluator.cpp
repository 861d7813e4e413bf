#include "hickoryspur/version/VersionEvaluator.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hickoryspur {

namespace {

constexpr const char *kAllRoutes = "(all)";
/** Bounds of the shares, which keep the logarithms finite. */
constexpr double kMinShare = 0.001;
constexpr double kMaxShare = 0.98;

/** Log-likelihood ratio of a bad share against the usual one, given the occurrences among the requests. */
double logLikelihoodRatio(uint64_t requests, uint64_t occurrences, double usual, double bad)
{
    const auto occurred = static_cast<double>(std::min(occurrences, requests));
    const double remaining = static_cast<double>(requests) - occurred;
    return occurred * std::log(bad / usual) + remaining * std::log((1 - bad) / (1 - usual));
}

/** The share of failures, or of slow answers, of a version that is as good as the old one, and of a bad one. */
struct Hypotheses
{
    double usual = 0;
    double bad = 0;
};

Hypotheses hypotheses(double baseline, double rise)
{
    Hypotheses shares;
    shares.usual = std::clamp(baseline, kMinShare, kMaxShare - rise);
    shares.bad = std::min(kMaxShare, shares.usual + std::max(rise, shares.usual));
    return shares;
}

template <typename Key> double maxValue(const std::map<Key, double> &parts)
{
    double result = 0;
    for (const auto &[key, part] : parts)
        result = std::max(result, part);
    return result;
}

} // namespace

void VersionEvaluator::Evidence::clampAtZero()
{
    if (sum > 0)
        return;
    sum = 0;
    byUpstream.clear();
    byShard.clear();
}

double VersionEvaluator::Evidence::leaveOneOutSum() const
{
    double result = sum;
    // With a single upstream or shard nothing would be left.
    if (byUpstream.size() > 1)
        result = std::min(result, sum - maxValue(byUpstream));
    if (byShard.size() > 1)
        result = std::min(result, sum - maxValue(byShard));
    return result;
}

void VersionEvaluator::updateBaseline(Route &route, const SubRequestTally &oldTotal) const
{
    if (oldTotal.requests == 0)
        return;
    Baseline &baseline = route.baseline;
    baseline.windows.push_back(oldTotal);
    if (baseline.windows.size() > m_settings.baselineWindows)
        baseline.windows.pop_front();
    baseline.sum = SubRequestTally();
    for (const SubRequestTally &window : baseline.windows)
        baseline.sum.merge(window);
}

void VersionEvaluator::evaluate(Route &route, const EvaluationScope &scope) const
{
    const SubRequestTally &oldTotal = route.pendingOld;
    const RouteObservation &newRoute = route.pendingNew;
    const SubRequestTally &usual = route.baseline.sum;
    const auto baselineRequests = static_cast<double>(usual.requests);
    const Duration slowLimit = usual.latency.quantile(m_settings.slowQuantile);
    double failureShare = (static_cast<double>(usual.failures) + 0.5) / (baselineRequests + 1);
    double slowShare = (static_cast<double>(usual.latency.countAbove(slowLimit)) + 0.5) / (baselineRequests + 1);
    slowShare = std::max(slowShare, 1 - m_settings.slowQuantile);
    // A fault that affects both versions shows in the old version's current window before the baseline.
    if (!scope.oldHasNoTraffic) {
        const auto requests = static_cast<double>(oldTotal.requests);
        failureShare = std::max(failureShare, static_cast<double>(oldTotal.failures) / requests);
        slowShare = std::max(slowShare, static_cast<double>(oldTotal.latency.countAbove(slowLimit)) / requests);
    }
    if (scope.onlyClearFailures)
        failureShare = std::max(failureShare, m_settings.clearFailureBaseline);
    const Hypotheses failing =
        hypotheses(failureShare, scope.onlyClearFailures ? m_settings.minClearFailureRise : m_settings.minFailureRise);
    const Hypotheses slowing = hypotheses(slowShare, m_settings.minSlowRise);
    for (const auto &[upstream, tally] : newRoute.byUpstream) {
        const double failure = logLikelihoodRatio(tally.requests, tally.failures, failing.usual, failing.bad);
        const double slow = scope.countSlow
            ? logLikelihoodRatio(tally.latency.count(), tally.latency.countAbove(slowLimit), slowing.usual, slowing.bad)
            : 0;
        route.failureEvidence.sum += failure;
        route.failureEvidence.byUpstream[upstream] += failure;
        route.slowEvidence.sum += slow;
        route.slowEvidence.byUpstream[upstream] += slow;
    }
    for (const auto &[shard, tally] : newRoute.byShard) {
        route.failureEvidence.byShard[shard] +=
            logLikelihoodRatio(tally.requests, tally.failures, failing.usual, failing.bad);
        if (scope.countSlow)
            route.slowEvidence.byShard[shard] += logLikelihoodRatio(
                tally.latency.count(), tally.latency.countAbove(slowLimit), slowing.usual, slowing.bad);
    }
    route.failureEvidence.clampAtZero();
    route.slowEvidence.clampAtZero();
}

void VersionEvaluator::addRoute(Route &route, const SubRequestTally &oldTotal, const RouteObservation &newRoute,
                                const EvaluationScope &scope) const
{
    updateBaseline(route, oldTotal);
    route.pendingOld.merge(oldTotal);
    route.pendingNew.merge(newRoute);
    if (!scope.oldHasNoTraffic && route.pendingOld.requests < m_settings.minOldRequests)
        return;
    // Without a sufficient baseline there is no evidence either way.
    if (route.baseline.sum.requests >= m_settings.minBaselineRequests)
        evaluate(route, scope);
    route.pendingOld = SubRequestTally();
    route.pendingNew = RouteObservation();
}

void VersionEvaluator::add(const VersionObservation &oldVersion, const VersionObservation &newVersion,
                           const EvaluationScope &scope)
{
    static const RouteObservation none;
    RouteObservation allOld;
    RouteObservation allNew;
    std::set<std::string> names;
    for (const auto &[name, observation] : oldVersion) {
        allOld.merge(observation);
        names.insert(name);
    }
    for (const auto &[name, observation] : newVersion) {
        allNew.merge(observation);
        names.insert(name);
    }
    for (const std::string &name : names) {
        const auto old = oldVersion.find(name);
        const auto newRoute = newVersion.find(name);
        addRoute(m_routes[name], old == oldVersion.end() ? SubRequestTally() : old->second.total(),
                 newRoute == newVersion.end() ? none : newRoute->second, scope);
    }
    // A fault on every route is detected soonest in the combined traffic of all routes.
    addRoute(m_routes[kAllRoutes], allOld.total(), allNew, scope);
    const SubRequestTally total = allNew.total();
    m_stageRequests += total.requests;
    m_stageRefused += total.refused;
}

void VersionEvaluator::startStage()
{
    m_stageRequests = 0;
    m_stageRefused = 0;
}

double VersionEvaluator::suspicion() const
{
    double maxEvidence = 0;
    for (const auto &[name, route] : m_routes)
        maxEvidence =
            std::max({maxEvidence, route.failureEvidence.leaveOneOutSum(), route.slowEvidence.leaveOneOutSum()});
    return maxEvidence / m_settings.threshold;
}

std::optional<std::string> VersionEvaluator::rejectionReason() const
{
    for (const auto &[name, route] : m_routes) {
        if (route.failureEvidence.leaveOneOutSum() >= m_settings.threshold)
            return "fails more often than the old version on route " + name;
        if (route.slowEvidence.leaveOneOutSum() >= m_settings.threshold)
            return "is slow more often than the old version on route " + name;
    }
    return std::nullopt;
}

} // namespace hickoryspur
