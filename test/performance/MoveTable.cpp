// Simulates moves to good and bad versions over many seeds, in virtual time, and compares TrafficMove
// with three other policies: stages by the clock with a z-test every second, stages by the clock with
// an error threshold, and all traffic at once. Prints the table of docs/MEASUREMENTS.md.
#include "app/ReplayCommand.h"
#include "hickoryspur/version/TrafficMove.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <random>

namespace {

using namespace hickoryspur;

int seedCount = 100;
constexpr int64_t kWithinSeconds = 300;
constexpr int64_t kRunSeconds = 420;
// record() lowers these counts to keep the recording small.
uint32_t upstreamCount = 6;
uint32_t shardCount = 24;
uint32_t routeCount = 3;
constexpr double kFirstShare = 0.02;
/** Time from a decision until no entry acts on an older one, as bounded by the lease. */
constexpr int64_t kInForceSeconds = 4;

/** How the simulated upstream treats a request. */
struct RequestBehaviour
{
    double failShare = 0.002;
    double latencyFactor = 1;
    double refusedShare = 0;
};

struct RequestContext
{
    bool isNewVersion = false;
    uint32_t route = 0;
    uint32_t upstream = 0;
    uint32_t shard = 0;
    int64_t second = 0;
    double share = 0;
    bool inBurst = false;
};

/** A new version, with the behaviour of its and of the old version's upstreams. */
struct Scenario
{
    const char *name;
    bool bad;
    uint32_t requestsPerSecond;
    std::function<void(const RequestContext &, RequestBehaviour &)> setBehaviour;
};

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all = {
        {"good", false, 200, [](const RequestContext &, RequestBehaviour &) {}},
        {"good, cold", false, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.isNewVersion && context.second < 30) {
                 behaviour.latencyFactor = 1 + 2.0 * (30.0 - static_cast<double>(context.second)) / 30;
                 behaviour.refusedShare = context.second < 20 ? 0.05 : 0;
             }
         }},
        {"good, noisy", false, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             behaviour.failShare = context.inBurst ? 0.04 : 0.01;
             behaviour.latencyFactor = context.inBurst ? 2 : 1;
         }},
        {"good, thin traffic", false, 1, [](const RequestContext &, RequestBehaviour &) {}},
        {"good, straggler shard", false, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.isNewVersion && context.shard == 3)
                 behaviour.latencyFactor = 20;
         }},
        {"good, lost replica", false, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.isNewVersion && context.upstream == 2 && context.second > 60)
                 behaviour.failShare = 0.3;
         }},
        {"good, shared back end bad", false, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.second > 100 && context.second < 160)
                 behaviour.failShare = 0.10;
         }},
        {"good, shared back end bad after done", false, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.second > 330 && context.second < 390)
                 behaviour.failShare = 0.10;
         }},
        {"good, old one bad", false, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (!context.isNewVersion)
                 behaviour.failShare = 0.05;
         }},
        {"bad at once", true, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.isNewVersion)
                 behaviour.failShare = 0.05;
         }},
        {"bad later", true, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.isNewVersion && context.second >= 120)
                 behaviour.failShare = 0.05;
         }},
        {"bad after done", true, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.isNewVersion && context.second >= 330)
                 behaviour.failShare = 0.08;
         }},
        {"bad under load", true, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.isNewVersion && context.share > 0.3)
                 behaviour.failShare = 0.08;
         }},
        {"slow, not failing", true, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.isNewVersion)
                 behaviour.latencyFactor = 1.6;
         }},
        {"bad on one route", true, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.isNewVersion && context.route == 1)
                 behaviour.failShare = 0.10;
         }},
        {"very bad at once", true, 200,
         [](const RequestContext &context, RequestBehaviour &behaviour) {
             if (context.isNewVersion)
                 behaviour.failShare = 0.5;
         }},
    };
    return all;
}

/** Decides the share of the new version, once per second. */
class Policy
{
public:
    Policy() = default;
    Policy(const Policy &) = delete;
    Policy &operator=(const Policy &) = delete;
    virtual ~Policy() = default;
    virtual void onWindow(int64_t second, const VersionObservation &oldVersion,
                          const VersionObservation &newVersion) = 0;
    virtual double share() const = 0;
    virtual bool takenBack() const = 0;
    virtual bool done() const = 0;
    virtual bool hasTooLittleTraffic() const { return false; }
};

class TrafficMovePolicy : public Policy
{
public:
    TrafficMovePolicy()
        : m_move(initialState(), kFirstShare, MoveTiming(), EvaluatorSettings(), TimePoint())
    {
    }

    void onWindow(int64_t second, const VersionObservation &oldVersion, const VersionObservation &newVersion) override
    {
        const TimePoint now(std::chrono::seconds(second + 1));
        m_move.observe(now, oldVersion, newVersion);
        if (const auto next = m_move.tick(now, second + 1))
            m_move.setState(*next, now);
    }
    double share() const override { return m_move.state().share(); }
    bool takenBack() const override { return m_move.state().kind() == MoveStatus::TakenBack; }
    bool done() const override { return m_move.state().kind() == MoveStatus::Done; }
    bool hasTooLittleTraffic() const override { return m_move.state().tooLittleTraffic; }

private:
    static MoveState initialState()
    {
        MoveState state;
        state.from = "1";
        state.to = "2";
        state.status = static_cast<uint8_t>(MoveStatus::Moving);
        state.sharePpm = static_cast<uint32_t>(kFirstShare * 1e6);
        state.dueSeconds = kWithinSeconds;
        return state;
    }

    TrafficMove m_move;
};

/** The stages of TrafficMove, but by the clock; subclasses decide when the new version is bad. */
class TimedPolicy : public Policy
{
public:
    void onWindow(int64_t second, const VersionObservation &oldVersion, const VersionObservation &newVersion) override
    {
        const std::vector<double> shares = MoveTiming().stageShares;
        const size_t stages = shares.size() + 1;
        const auto stage = static_cast<size_t>(second * static_cast<int64_t>(stages) / (kWithinSeconds * 4 / 5));
        m_share = stage == 0 ? kFirstShare : stage < stages ? shares[stage - 1] : 1;
        SubRequestTally oldTotal;
        SubRequestTally newTotal;
        for (const auto &[route, observation] : oldVersion)
            oldTotal.merge(observation.total());
        for (const auto &[route, observation] : newVersion)
            newTotal.merge(observation.total());
        m_bad = m_bad || isBad(oldTotal, newTotal);
        if (m_bad)
            m_share = 0;
    }
    double share() const override { return m_share; }
    bool takenBack() const override { return m_bad; }
    bool done() const override { return m_share >= 1; }

protected:
    virtual bool isBad(const SubRequestTally &oldTotal, const SubRequestTally &newTotal) = 0;

private:
    double m_share = kFirstShare;
    bool m_bad = false;
};

class ThresholdPolicy : public TimedPolicy
{
protected:
    bool isBad(const SubRequestTally &, const SubRequestTally &newTotal) override
    {
        m_requests = 0.9 * m_requests + static_cast<double>(newTotal.requests);
        m_failures = 0.9 * m_failures + static_cast<double>(newTotal.failures);
        return m_requests > 10 && m_failures > 0.05 * m_requests;
    }

private:
    double m_requests = 0;
    double m_failures = 0;
};

class ZTestPolicy : public TimedPolicy
{
protected:
    bool isBad(const SubRequestTally &oldTotal, const SubRequestTally &newTotal) override
    {
        m_old.merge(oldTotal);
        m_new.merge(newTotal);
        const Duration limit = m_old.latency.quantile(0.95);
        return isSignificantRise(m_old.failures, m_new.failures)
            || isSignificantRise(m_old.latency.countAbove(limit), m_new.latency.countAbove(limit));
    }

private:
    bool isSignificantRise(uint64_t oldOccurrences, uint64_t newOccurrences) const
    {
        const auto n = static_cast<double>(m_old.requests);
        const auto m = static_cast<double>(m_new.requests);
        if (n < 50 || m < 50)
            return false;
        const double pooled = static_cast<double>(oldOccurrences + newOccurrences) / (n + m);
        const double deviation = std::sqrt(pooled * (1 - pooled) * (1 / n + 1 / m));
        const double difference = static_cast<double>(newOccurrences) / m - static_cast<double>(oldOccurrences) / n;
        return deviation > 0 && difference / deviation > 3.5;
    }

    SubRequestTally m_old;
    SubRequestTally m_new;
};

class AllAtOncePolicy : public Policy
{
public:
    void onWindow(int64_t, const VersionObservation &, const VersionObservation &) override { }
    double share() const override { return 1; }
    bool takenBack() const override { return false; }
    bool done() const override { return true; }
};

struct Totals
{
    int done = 0;
    int takenBack = 0;
    int tooLittle = 0;
    double exposedShare = 0;
    double reactionSeconds = 0;
    int reactions = 0;
    double doneSecond = 0;
};

/** If set, runOnce() records its windows here, for hickoryspur replay. */
std::ostream *recording = nullptr;

void runOnce(const Scenario &scenario, Policy &policy, uint64_t seed, Totals &totals)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> unit(0, 1);
    std::lognormal_distribution<double> latency(0, 0.4);
    std::optional<int64_t> firstBadSecond;
    std::optional<int64_t> doneSecond;
    int64_t lastNewSecond = 0;
    uint64_t exposed = 0;
    uint64_t all = 0;
    int64_t burstEnd = 0;
    double appliedShare = policy.share();
    std::map<int64_t, double> shareBySecond;
    for (int64_t second = 0; second < kRunSeconds; ++second) {
        if (second >= burstEnd && unit(random) < 0.05)
            burstEnd = second + 5;
        VersionObservation oldVersion;
        VersionObservation newVersion;
        for (uint32_t request = 0; request < scenario.requestsPerSecond; ++request) {
            RequestContext context;
            context.isNewVersion = unit(random) < appliedShare;
            context.route = static_cast<uint32_t>(random() % routeCount);
            context.upstream = static_cast<uint32_t>(random() % upstreamCount);
            context.shard = static_cast<uint32_t>(random() % shardCount);
            context.second = second;
            context.share = appliedShare;
            context.inBurst = second < burstEnd;
            RequestBehaviour behaviour;
            scenario.setBehaviour(context, behaviour);
            RouteObservation &route =
                (context.isNewVersion ? newVersion : oldVersion)["route-" + std::to_string(context.route)];
            const std::string name = (context.isNewVersion ? "new-" : "old-") + std::to_string(context.upstream);
            ++all;
            if (behaviour.refusedShare > 0 && unit(random) < behaviour.refusedShare) {
                ++route.byUpstream[name].refused;
                continue;
            }
            const bool failed = unit(random) < behaviour.failShare;
            const Duration requestLatency(static_cast<int64_t>(8000 * behaviour.latencyFactor * latency(random)));
            for (SubRequestTally *tally : {&route.byUpstream[name], &route.byShard[context.shard]}) {
                ++tally->requests;
                tally->failures += failed ? 1 : 0;
                tally->latency.add(requestLatency);
            }
            if (!context.isNewVersion)
                continue;
            lastNewSecond = second;
            const bool isBadRequest = scenario.bad && (behaviour.failShare > 0.01 || behaviour.latencyFactor > 1.2);
            exposed += isBadRequest ? 1 : 0;
            if (isBadRequest && !firstBadSecond)
                firstBadSecond = second;
        }
        if (recording)
            *recording << nlohmann::json{{"at", second + 1},
                                         {"old", observationToJson(oldVersion)},
                                         {"new", observationToJson(newVersion)}}
                       << '\n';
        policy.onWindow(second, oldVersion, newVersion);
        if (recording && policy.takenBack())
            return;
        // The entries act on a decision only once it is in force.
        shareBySecond[second + kInForceSeconds] = policy.share();
        if (const auto due = shareBySecond.find(second); due != shareBySecond.end())
            appliedShare = due->second;
        if (policy.done() && !doneSecond)
            doneSecond = second;
    }
    totals.done += policy.done() && doneSecond && *doneSecond <= kWithinSeconds ? 1 : 0;
    totals.doneSecond += doneSecond ? static_cast<double>(*doneSecond) / seedCount : 0;
    totals.takenBack += policy.takenBack() ? 1 : 0;
    totals.tooLittle += policy.hasTooLittleTraffic() ? 1 : 0;
    totals.exposedShare += static_cast<double>(exposed) / static_cast<double>(all) / seedCount;
    if (firstBadSecond && policy.takenBack()) {
        totals.reactionSeconds += static_cast<double>(lastNewSecond - *firstBadSecond);
        ++totals.reactions;
    }
}

std::string runPolicy(const Scenario &scenario, const char *name, const std::function<std::unique_ptr<Policy>()> &make)
{
    Totals totals;
    for (int seed = 1; seed <= seedCount; ++seed)
        runOnce(scenario, *make(), static_cast<uint64_t>(seed), totals);
    std::array<char, 300> line{};
    std::snprintf(line.data(), line.size(), "| %s | %s | %d | %d | %d | %.2f%% | %.1f |\n", scenario.name, name,
                  totals.done, totals.takenBack, totals.tooLittle, 100 * totals.exposedShare,
                  totals.reactions > 0 ? totals.reactionSeconds / totals.reactions : 0.0);
    return line.data();
}

int record(const std::string &scenarioName, const std::string &path)
{
    upstreamCount = 3;
    shardCount = 4;
    routeCount = 2;
    std::ofstream file(path);
    recording = &file;
    file << nlohmann::json{{"from", "1"}, {"to", "2"}, {"first_share", kFirstShare}, {"due", kWithinSeconds}} << '\n';
    for (const Scenario &scenario : scenarios()) {
        if (scenario.name != scenarioName)
            continue;
        TrafficMovePolicy policy;
        Totals totals;
        runOnce(scenario, policy, 1, totals);
        return 0;
    }
    std::fprintf(stderr, "unknown scenario %s; nothing was recorded\n", scenarioName.c_str());
    return 1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 4 && std::string(argv[1]) == "--record")
        return record(argv[2], argv[3]);
    if (argc > 1)
        seedCount = std::atoi(argv[1]);

    std::printf(
        "| Version | Policy | Done in time | Taken back | Too little traffic | All traffic exposed to a bad "
        "version | Seconds from first badness to last new request |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    std::vector<std::future<std::string>> lines;
    const auto run = [&](const Scenario &scenario, const char *name,
                         const std::function<std::unique_ptr<Policy>()> &make) {
        lines.push_back(
            std::async(std::launch::async, [&scenario, name, make] { return runPolicy(scenario, name, make); }));
    };
    for (const Scenario &scenario : scenarios()) {
        run(scenario, "hickoryspur", [] { return std::make_unique<TrafficMovePolicy>(); });
        run(scenario, "timed, z-test each second", [] { return std::make_unique<ZTestPolicy>(); });
        run(scenario, "timed, error threshold 5%", [] { return std::make_unique<ThresholdPolicy>(); });
        run(scenario, "all at once", [] { return std::make_unique<AllAtOncePolicy>(); });
    }
    for (std::future<std::string> &line : lines)
        std::printf("%s", line.get().c_str());
}
