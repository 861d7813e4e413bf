#include "hickoryspur/version/VersionJudge.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace hickoryspur {

namespace {

constexpr const char *kAllRoutes = "(all)";
constexpr double kLeastShare = 0.001;
constexpr double kMostShare = 0.98;

/** Log-likelihood ratio of hits among requests between a share that is usual and one that is bad. */
double ratio(uint64_t requests, uint64_t hits, double usual, double bad)
{
    const auto hit = static_cast<double>(std::min(hits, requests));
    const double miss = static_cast<double>(requests) - hit;
    return hit * std::log(bad / usual) + miss * std::log((1 - bad) / (1 - usual));
}

struct Shares
{
    double usual = 0;
    double bad = 0;
};

Shares sharesFor(double baseline, double rise)
{
    Shares shares;
    shares.usual = std::clamp(baseline, kLeastShare, kMostShare - rise);
    shares.bad = std::min(kMostShare, shares.usual + std::max(rise, shares.usual));
    return shares;
}

template <typename Key> double largest(const std::map<Key, double> &parts)
{
    double result = 0;
    for (const auto &[key, part] : parts)
        result = std::max(result, part);
    return result;
}

} // namespace

void VersionJudge::Evidence::settle()
{
    if (sum > 0)
        return;
    sum = 0;
    byUpstream.clear();
    byShard.clear();
}

double VersionJudge::Evidence::robust() const
{
    double result = sum;
    // With a single upstream or shard there is nothing else to compare it with.
    if (byUpstream.size() > 1)
        result = std::min(result, sum - largest(byUpstream));
    if (byShard.size() > 1)
        result = std::min(result, sum - largest(byShard));
    return result;
}

void VersionJudge::learn(Route &route, const Tally &oldTotal) const
{
    if (oldTotal.requests == 0)
        return;
    Baseline &baseline = route.baseline;
    baseline.windows.push_back(oldTotal);
    if (baseline.windows.size() > m_settings.memory)
        baseline.windows.pop_front();
    baseline.sum = Tally();
    for (const Tally &window : baseline.windows)
        baseline.sum.merge(window);
}

void VersionJudge::judge(Route &route, const JudgeScope &scope) const
{
    const Tally &oldTotal = route.pendingOld;
    const RouteObservation &fresh = route.pendingFresh;
    const Tally &usual = route.baseline.sum;
    const auto seen = static_cast<double>(usual.requests);
    const Duration limit = usual.latency.quantile(m_settings.slowQuantile);
    double failing = (static_cast<double>(usual.failures) + 0.5) / (seen + 1);
    double slowing = (static_cast<double>(usual.latency.countAbove(limit)) + 0.5) / (seen + 1);
    slowing = std::max(slowing, 1 - m_settings.slowQuantile);
    // Trouble that both share shows in the old version's present window before it shows in its past.
    if (!scope.oldIsGone) {
        const auto requests = static_cast<double>(oldTotal.requests);
        failing = std::max(failing, static_cast<double>(oldTotal.failures) / requests);
        slowing = std::max(slowing, static_cast<double>(oldTotal.latency.countAbove(limit)) / requests);
    }
    const Shares failures = sharesFor(failing, m_settings.failureRise);
    const Shares slow = sharesFor(slowing, m_settings.slowRise);
    for (const auto &[upstream, tally] : fresh.byUpstream) {
        const double failed = ratio(tally.requests, tally.failures, failures.usual, failures.bad);
        const double slowed =
            scope.countSlow ? ratio(tally.requests, tally.latency.countAbove(limit), slow.usual, slow.bad) : 0;
        route.failing.sum += failed;
        route.failing.byUpstream[upstream] += failed;
        route.slowing.sum += slowed;
        route.slowing.byUpstream[upstream] += slowed;
    }
    for (const auto &[shard, tally] : fresh.byShard) {
        route.failing.byShard[shard] += ratio(tally.requests, tally.failures, failures.usual, failures.bad);
        if (scope.countSlow)
            route.slowing.byShard[shard] +=
                ratio(tally.requests, tally.latency.countAbove(limit), slow.usual, slow.bad);
    }
    route.failing.settle();
    route.slowing.settle();
}

void VersionJudge::addRoute(Route &route, const Tally &oldTotal, const RouteObservation &fresh,
                            const JudgeScope &scope) const
{
    learn(route, oldTotal);
    route.pendingOld.merge(oldTotal);
    route.pendingFresh.merge(fresh);
    if (!scope.oldIsGone && route.pendingOld.requests < m_settings.leastOldRequests)
        return;
    // Without enough of the old version to compare with there is no evidence either way.
    if (route.baseline.sum.requests >= m_settings.leastBaseline)
        judge(route, scope);
    route.pendingOld = Tally();
    route.pendingFresh = RouteObservation();
}

void VersionJudge::add(const VersionObservation &oldVersion, const VersionObservation &newVersion,
                       const JudgeScope &scope)
{
    static const RouteObservation none;
    RouteObservation allOld;
    RouteObservation allFresh;
    std::set<std::string> names;
    for (const auto &[name, observation] : oldVersion) {
        allOld.merge(observation);
        names.insert(name);
    }
    for (const auto &[name, observation] : newVersion) {
        allFresh.merge(observation);
        names.insert(name);
    }
    for (const std::string &name : names) {
        const auto old = oldVersion.find(name);
        const auto fresh = newVersion.find(name);
        addRoute(m_routes[name], old == oldVersion.end() ? Tally() : old->second.total(),
                 fresh == newVersion.end() ? none : fresh->second, scope);
    }
    // What is bad on every route shows soonest on all of them together.
    addRoute(m_routes[kAllRoutes], allOld.total(), allFresh, scope);
    const Tally total = allFresh.total();
    m_stageRequests += total.requests;
    m_stageRefused += total.refused;
}

void VersionJudge::startStage()
{
    m_stageRequests = 0;
    m_stageRefused = 0;
}

double VersionJudge::suspicion() const
{
    double most = 0;
    for (const auto &[name, route] : m_routes)
        most = std::max({most, route.failing.robust(), route.slowing.robust()});
    return most / m_settings.threshold;
}

std::optional<std::string> VersionJudge::badness() const
{
    for (const auto &[name, route] : m_routes) {
        if (route.failing.robust() >= m_settings.threshold)
            return "fails more often than the old version on route " + name;
        if (route.slowing.robust() >= m_settings.threshold)
            return "is slow more often than the old version on route " + name;
    }
    return std::nullopt;
}

} // namespace hickoryspur
