// Moves of many kinds of version over many seeds, in virtual time: the product's TrafficMove beside a
// z-test looked at every second, fixed timed stages with an error threshold, and all at once. Prints
// the table of docs/MEASUREMENTS.md.
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
// A recording has fewer of each, which keeps it small.
uint32_t upstreamCount = 6;
uint32_t shardCount = 24;
uint32_t routeCount = 3;
constexpr double kFirstShare = 0.02;
/** From a verdict until no entry sends new work, as bounded by the lease; measured elsewhere. */
constexpr int64_t kInForceSeconds = 4;

struct Draw
{
    double failShare = 0.002;
    double latencyFactor = 1;
    double refusedShare = 0;
};

struct Place
{
    bool fresh = false;
    uint32_t route = 0;
    uint32_t upstream = 0;
    uint32_t shard = 0;
    int64_t second = 0;
    double share = 0;
    bool burst = false;
};

struct Kind
{
    const char *name;
    bool bad;
    uint32_t perSecond;
    std::function<void(const Place &, Draw &)> shape;
};

const std::vector<Kind> &kinds()
{
    static const std::vector<Kind> all = {
        {"good", false, 200, [](const Place &, Draw &) {}},
        {"good, cold", false, 200,
         [](const Place &place, Draw &draw) {
             if (place.fresh && place.second < 30) {
                 draw.latencyFactor = 1 + 2.0 * (30.0 - static_cast<double>(place.second)) / 30;
                 draw.refusedShare = place.second < 20 ? 0.05 : 0;
             }
         }},
        {"good, noisy", false, 200,
         [](const Place &place, Draw &draw) {
             draw.failShare = place.burst ? 0.04 : 0.01;
             draw.latencyFactor = place.burst ? 2 : 1;
         }},
        {"good, thin traffic", false, 1, [](const Place &, Draw &) {}},
        {"good, straggler shard", false, 200,
         [](const Place &place, Draw &draw) {
             if (place.fresh && place.shard == 3)
                 draw.latencyFactor = 20;
         }},
        {"good, lost replica", false, 200,
         [](const Place &place, Draw &draw) {
             if (place.fresh && place.upstream == 2 && place.second > 60)
                 draw.failShare = 0.3;
         }},
        {"good, shared back end bad", false, 200,
         [](const Place &place, Draw &draw) {
             if (place.second > 100 && place.second < 160)
                 draw.failShare = 0.10;
         }},
        {"good, shared back end bad after done", false, 200,
         [](const Place &place, Draw &draw) {
             if (place.second > 330 && place.second < 390)
                 draw.failShare = 0.10;
         }},
        {"good, old one bad", false, 200,
         [](const Place &place, Draw &draw) {
             if (!place.fresh)
                 draw.failShare = 0.05;
         }},
        {"bad at once", true, 200,
         [](const Place &place, Draw &draw) {
             if (place.fresh)
                 draw.failShare = 0.05;
         }},
        {"bad later", true, 200,
         [](const Place &place, Draw &draw) {
             if (place.fresh && place.second >= 120)
                 draw.failShare = 0.05;
         }},
        {"bad after done", true, 200,
         [](const Place &place, Draw &draw) {
             if (place.fresh && place.second >= 330)
                 draw.failShare = 0.08;
         }},
        {"bad under load", true, 200,
         [](const Place &place, Draw &draw) {
             if (place.fresh && place.share > 0.3)
                 draw.failShare = 0.08;
         }},
        {"slow, not failing", true, 200,
         [](const Place &place, Draw &draw) {
             if (place.fresh)
                 draw.latencyFactor = 1.6;
         }},
        {"bad on one route", true, 200,
         [](const Place &place, Draw &draw) {
             if (place.fresh && place.route == 1)
                 draw.failShare = 0.10;
         }},
        {"very bad at once", true, 200,
         [](const Place &place, Draw &draw) {
             if (place.fresh)
                 draw.failShare = 0.5;
         }},
    };
    return all;
}

/** What decides the share of the new version, second by second. */
class Policy
{
public:
    Policy() = default;
    Policy(const Policy &) = delete;
    Policy &operator=(const Policy &) = delete;
    virtual ~Policy() = default;
    virtual void window(int64_t second, const VersionObservation &oldOne, const VersionObservation &fresh) = 0;
    virtual double share() const = 0;
    virtual bool takenBack() const = 0;
    virtual bool done() const = 0;
    virtual bool tooLittle() const { return false; }
};

class ProductPolicy : public Policy
{
public:
    ProductPolicy()
        : m_move(first(), kFirstShare, MoveTiming(), JudgeSettings(), TimePoint())
    {
    }

    void window(int64_t second, const VersionObservation &oldOne, const VersionObservation &fresh) override
    {
        const TimePoint now(std::chrono::seconds(second + 1));
        m_move.observe(now, oldOne, fresh);
        if (const auto next = m_move.tick(now, second + 1))
            m_move.applied(*next, now);
    }
    double share() const override { return m_move.state().share(); }
    bool takenBack() const override { return m_move.state().kind() == MoveStatus::TakenBack; }
    bool done() const override { return m_move.state().kind() == MoveStatus::Done; }
    bool tooLittle() const override { return m_move.state().tooLittleTraffic; }

private:
    static MoveState first()
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

/** The same stages by the clock; subclasses say when the new version is bad. */
class TimedPolicy : public Policy
{
public:
    void window(int64_t second, const VersionObservation &oldOne, const VersionObservation &fresh) override
    {
        const size_t stages = TrafficMove::stageShares().size() + 1;
        const auto stage = static_cast<size_t>(second * static_cast<int64_t>(stages) / (kWithinSeconds * 4 / 5));
        m_share = stage == 0 ? kFirstShare : stage < stages ? TrafficMove::stageShares()[stage - 1] : 1;
        Tally oldTotal;
        Tally freshTotal;
        for (const auto &[route, observation] : oldOne)
            oldTotal.merge(observation.total());
        for (const auto &[route, observation] : fresh)
            freshTotal.merge(observation.total());
        m_bad = m_bad || isBad(oldTotal, freshTotal);
        if (m_bad)
            m_share = 0;
    }
    double share() const override { return m_share; }
    bool takenBack() const override { return m_bad; }
    bool done() const override { return m_share >= 1; }

protected:
    virtual bool isBad(const Tally &oldTotal, const Tally &freshTotal) = 0;

private:
    double m_share = kFirstShare;
    bool m_bad = false;
};

class ThresholdPolicy : public TimedPolicy
{
protected:
    bool isBad(const Tally &, const Tally &fresh) override
    {
        m_requests = 0.9 * m_requests + static_cast<double>(fresh.requests);
        m_failures = 0.9 * m_failures + static_cast<double>(fresh.failures);
        return m_requests > 10 && m_failures > 0.05 * m_requests;
    }

private:
    double m_requests = 0;
    double m_failures = 0;
};

class ZTestPolicy : public TimedPolicy
{
protected:
    bool isBad(const Tally &oldTotal, const Tally &fresh) override
    {
        m_old.merge(oldTotal);
        m_fresh.merge(fresh);
        const Duration limit = m_old.latency.quantile(0.95);
        return differs(m_old.failures, m_fresh.failures)
            || differs(m_old.latency.countAbove(limit), m_fresh.latency.countAbove(limit));
    }

private:
    bool differs(uint64_t oldHits, uint64_t freshHits) const
    {
        const auto n = static_cast<double>(m_old.requests);
        const auto m = static_cast<double>(m_fresh.requests);
        if (n < 50 || m < 50)
            return false;
        const double pooled = static_cast<double>(oldHits + freshHits) / (n + m);
        const double deviation = std::sqrt(pooled * (1 - pooled) * (1 / n + 1 / m));
        const double difference = static_cast<double>(freshHits) / m - static_cast<double>(oldHits) / n;
        return deviation > 0 && difference / deviation > 3.5;
    }

    Tally m_old;
    Tally m_fresh;
};

class AllAtOncePolicy : public Policy
{
public:
    void window(int64_t, const VersionObservation &, const VersionObservation &) override { }
    double share() const override { return 1; }
    bool takenBack() const override { return false; }
    bool done() const override { return true; }
};

struct Totals
{
    int done = 0;
    int takenBack = 0;
    int tooLittle = 0;
    double exposed = 0;
    double reaction = 0;
    int reactions = 0;
    double doneAt = 0;
};

/** Where runOnce() records its windows, if anywhere, for hickoryspur replay. */
std::ostream *recording = nullptr;

void runOnce(const Kind &kind, Policy &policy, uint64_t seed, Totals &totals)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> unit(0, 1);
    std::lognormal_distribution<double> latency(0, 0.4);
    std::optional<int64_t> firstBad;
    std::optional<int64_t> doneAt;
    int64_t lastNew = 0;
    uint64_t exposed = 0;
    uint64_t all = 0;
    int64_t burstEnds = 0;
    double appliedShare = policy.share();
    std::map<int64_t, double> shareAt;
    for (int64_t second = 0; second < kRunSeconds; ++second) {
        if (second >= burstEnds && unit(random) < 0.05)
            burstEnds = second + 5;
        VersionObservation oldOne;
        VersionObservation fresh;
        for (uint32_t request = 0; request < kind.perSecond; ++request) {
            Place place;
            place.fresh = unit(random) < appliedShare;
            place.route = static_cast<uint32_t>(random() % routeCount);
            place.upstream = static_cast<uint32_t>(random() % upstreamCount);
            place.shard = static_cast<uint32_t>(random() % shardCount);
            place.second = second;
            place.share = appliedShare;
            place.burst = second < burstEnds;
            Draw draw;
            kind.shape(place, draw);
            RouteObservation &route = (place.fresh ? fresh : oldOne)["route-" + std::to_string(place.route)];
            const std::string name = (place.fresh ? "new-" : "old-") + std::to_string(place.upstream);
            ++all;
            if (draw.refusedShare > 0 && unit(random) < draw.refusedShare) {
                ++route.byUpstream[name].refused;
                continue;
            }
            const bool failed = unit(random) < draw.failShare;
            const Duration took(static_cast<int64_t>(8000 * draw.latencyFactor * latency(random)));
            for (Tally *tally : {&route.byUpstream[name], &route.byShard[place.shard]}) {
                ++tally->requests;
                tally->failures += failed ? 1 : 0;
                tally->latency.add(took);
            }
            if (!place.fresh)
                continue;
            lastNew = second;
            const bool isBadNow = kind.bad && (draw.failShare > 0.01 || draw.latencyFactor > 1.2);
            exposed += isBadNow ? 1 : 0;
            if (isBadNow && !firstBad)
                firstBad = second;
        }
        if (recording)
            *recording << nlohmann::json{{"at", second + 1},
                                         {"old", observationToJson(oldOne)},
                                         {"new", observationToJson(fresh)}}
                       << '\n';
        policy.window(second, oldOne, fresh);
        if (recording && policy.takenBack())
            return;
        // The entries act on a decision once it is in force.
        shareAt[second + kInForceSeconds] = policy.share();
        if (const auto due = shareAt.find(second); due != shareAt.end())
            appliedShare = due->second;
        if (policy.done() && !doneAt)
            doneAt = second;
    }
    totals.done += policy.done() && doneAt && *doneAt <= kWithinSeconds ? 1 : 0;
    totals.doneAt += doneAt ? static_cast<double>(*doneAt) / seedCount : 0;
    totals.takenBack += policy.takenBack() ? 1 : 0;
    totals.tooLittle += policy.tooLittle() ? 1 : 0;
    totals.exposed += static_cast<double>(exposed) / static_cast<double>(all) / seedCount;
    if (firstBad && policy.takenBack()) {
        totals.reaction += static_cast<double>(lastNew - *firstBad);
        ++totals.reactions;
    }
}

std::string runPolicy(const Kind &kind, const char *name, const std::function<std::unique_ptr<Policy>()> &make)
{
    Totals totals;
    for (int seed = 1; seed <= seedCount; ++seed)
        runOnce(kind, *make(), static_cast<uint64_t>(seed), totals);
    std::array<char, 300> line{};
    std::snprintf(line.data(), line.size(), "| %s | %s | %d | %d | %d | %.2f%% | %.1f |\n", kind.name, name,
                  totals.done, totals.takenBack, totals.tooLittle, 100 * totals.exposed,
                  totals.reactions > 0 ? totals.reaction / totals.reactions : 0.0);
    return line.data();
}

int record(const std::string &kindName, const std::string &path)
{
    upstreamCount = 3;
    shardCount = 4;
    routeCount = 2;
    std::ofstream file(path);
    recording = &file;
    file << nlohmann::json{{"from", "1"}, {"to", "2"}, {"first_share", kFirstShare}, {"due", kWithinSeconds}} << '\n';
    for (const Kind &kind : kinds()) {
        if (kind.name != kindName)
            continue;
        ProductPolicy policy;
        Totals totals;
        runOnce(kind, policy, 1, totals);
        return 0;
    }
    std::fprintf(stderr, "there is no kind %s\n", kindName.c_str());
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
    const auto run = [&](const Kind &kind, const char *name, const std::function<std::unique_ptr<Policy>()> &make) {
        lines.push_back(std::async(std::launch::async, [&kind, name, make] { return runPolicy(kind, name, make); }));
    };
    for (const Kind &kind : kinds()) {
        run(kind, "hickoryspur", [] { return std::make_unique<ProductPolicy>(); });
        run(kind, "timed, z-test each second", [] { return std::make_unique<ZTestPolicy>(); });
        run(kind, "timed, error threshold 5%", [] { return std::make_unique<ThresholdPolicy>(); });
        run(kind, "all at once", [] { return std::make_unique<AllAtOncePolicy>(); });
    }
    for (std::future<std::string> &line : lines)
        std::printf("%s", line.get().c_str());
}
