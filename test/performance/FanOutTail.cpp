// Measures tail latency, coverage and extra load of a 470-way fan-out with stragglers, with and
// without hedging. Simulates FanOut, RetryBudget and HedgeDelays in virtual time.
#include "fakes/VirtualTime.h"
#include "hickoryspur/request/FanOut.h"
#include "hickoryspur/request/HedgeDelays.h"
#include "hickoryspur/request/RetryBudget.h"

#include <cstdio>
#include <memory>
#include <random>

namespace {

using namespace hickoryspur;

constexpr uint32_t kShards = 470;
constexpr uint32_t kReplicas = 3;
constexpr uint32_t kQueries = 3000;
constexpr Duration kQueryInterval = 20ms;
constexpr Duration kDeadline = 340ms;
constexpr Duration kMedianLatency = 8ms;
constexpr Duration kStragglerLatency = 400ms;

struct Policy
{
    const char *name;
    bool hedges;
    double quantile;
    double budget;
};

class Model
{
public:
    Model(const Policy &policy, double stragglerShare)
        : m_policy(policy)
        , m_stragglerShare(stragglerShare)
        , m_budget(policy.budget)
        , m_delays(policy.quantile)
    {
        m_plan.generation = MapGeneration(1);
        m_plan.snapshot = SnapshotId(1);
        m_plan.shardCount = kShards;
        for (uint32_t shard = 0; shard < kShards; ++shard) {
            m_plan.candidates.emplace_back();
            for (uint32_t replica = 0; replica < kReplicas; ++replica)
                m_plan.candidates.back().push_back(shard * kReplicas + replica);
        }
    }

    void run()
    {
        for (uint32_t query = 0; query < kQueries; ++query)
            m_time.after(query * kQueryInterval, [this] { start(); });
        m_time.runUntil(m_time.now() + kQueries * kQueryInterval + 2 * kDeadline);
        std::printf("| %s | %.1f%% | %.1f | %.1f | %.1f | %.3f%% | %.2f%% | %.2f%% |\n", m_policy.name,
                    100 * m_stragglerShare, percentileMs(m_latencies, 0.5), percentileMs(m_latencies, 0.99),
                    percentileMs(m_latencies, 0.999), 100 * m_coverage / kQueries, 100.0 * m_whole / kQueries,
                    100.0 * static_cast<double>(m_extra) / static_cast<double>(m_first));
    }

private:
    struct Query
    {
        std::unique_ptr<FanOut> fanOut;
        TimePoint arrived;
        std::map<uint64_t, FanOutSend> sent;
    };

    FanOutHooks hooks()
    {
        FanOutHooks hooks;
        hooks.nextId = [this] { return SubRequestId(++m_nextId); };
        hooks.hedgeDelay = [this](uint32_t shard) {
            return m_policy.hedges ? m_delays.delay(shard) : Duration::zero();
        };
        hooks.tryConsumeBudget = [this](TimePoint now) { return m_budget.tryConsumeBudget(now); };
        hooks.cost = [](uint32_t) { return 1.0; };
        hooks.replan = [](TimePoint, SnapshotId) { return std::optional<QueryPlan>(); };
        return hooks;
    }

    void start()
    {
        auto query = std::make_shared<Query>();
        query->arrived = m_time.now();
        FanOutConfig config;
        config.plan = m_plan;
        config.deadline = m_time.now() + kDeadline;
        config.seed = m_random();
        query->fanOut = std::make_unique<FanOut>(std::move(config), hooks());
        execute(query, query->fanOut->start(m_time.now()));
    }

    Duration drawLatency()
    {
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_stragglerShare)
            return kStragglerLatency;
        std::lognormal_distribution<double> latency(0, 0.35);
        return Duration(static_cast<int64_t>(static_cast<double>(kMedianLatency.count()) * latency(m_random)));
    }

    void execute(const std::shared_ptr<Query> &query, const FanOutActions &actions)
    {
        for (const FanOutSend &send : actions.sends) {
            (send.extra ? m_extra : m_first) += 1;
            if (!send.extra)
                m_budget.recordFirstSubRequests(m_time.now(), 1);
            query->sent[send.id.value()] = send;
            const Duration latency = drawLatency();
            m_time.after(latency, [this, query, send, latency] { answered(query, send, latency); });
        }
        if (actions.answer) {
            m_latencies.push_back(m_time.now() - query->arrived);
            m_coverage += actions.answer->coverage();
            m_whole += actions.answer->missing.empty() ? 1 : 0;
            return;
        }
        if (actions.wakeAt)
            m_time.at(*actions.wakeAt, [this, query] {
                if (!query->fanOut->finished())
                    execute(query, query->fanOut->tick(m_time.now()));
            });
    }

    void answered(const std::shared_ptr<Query> &query, const FanOutSend &send, Duration latency)
    {
        if (query->fanOut->finished())
            return;
        m_delays.add(send.shard, latency);
        SubReply reply;
        reply.id = send.id;
        reply.shard = send.shard;
        reply.generation = send.generation;
        reply.snapshot = send.snapshot;
        reply.body = "{}";
        FanOutActions actions = query->fanOut->reply(m_time.now(), reply);
        // The previous wake-up remains valid unless this reply led to new sends.
        if (actions.sends.empty())
            actions.wakeAt.reset();
        execute(query, actions);
    }

    Policy m_policy;
    double m_stragglerShare;
    VirtualTime m_time;
    std::mt19937_64 m_random{7};
    RetryBudget m_budget;
    HedgeDelays m_delays;
    QueryPlan m_plan;
    uint64_t m_nextId = 0;
    std::vector<Duration> m_latencies;
    double m_coverage = 0;
    uint32_t m_whole = 0;
    uint64_t m_first = 0;
    uint64_t m_extra = 0;
};

} // namespace

int main()
{
    std::printf("| Policy | Stragglers | p50 ms | p99 ms | p99.9 ms | Coverage | Whole answers | Extra load |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const double stragglers : {0.0, 0.01, 0.03}) {
        for (const Policy &policy :
             {Policy{"no hedging", false, 0.97, 0.05}, Policy{"hedge at p90", true, 0.90, 0.05},
              Policy{"hedge at p95", true, 0.95, 0.05}, Policy{"hedge at p97", true, 0.97, 0.05},
              Policy{"hedge at p99", true, 0.99, 0.05}, Policy{"hedge at p97, no budget", true, 0.97, 1.0}})
            Model(policy, stragglers).run();
    }
}
