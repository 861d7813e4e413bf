// Measures goodput at 0.7, 1, 2 and 5 times the capacity of the upstreams, with and without admission
// control. Simulates Admission, FanOut and UpstreamQueue in virtual time. Goodput counts the complete
// answers within the deadline.
//
// A second table compares the orders in which the entries of many can start requests of three kinds while half of the
// replicas are six times slower, see docs/design/admission.md.
#include "fakes/OverloadModel.h"
#include "fakes/VirtualTime.h"
#include "hickoryspur/connection/UpstreamQueue.h"
#include "hickoryspur/request/Admission.h"
#include "hickoryspur/request/FanOut.h"
#include "hickoryspur/request/HedgeDelays.h"
#include "hickoryspur/request/RetryBudget.h"

#include <cstdio>
#include <memory>
#include <random>

namespace {

using namespace hickoryspur;

constexpr uint32_t kShards = 48;
constexpr uint32_t kUpstreams = 12;
constexpr uint32_t kSlots = 4;
constexpr Duration kServiceTime = 4ms;
constexpr Duration kNetworkDelay = 500us;
constexpr Duration kDeadline = 340ms;
constexpr Duration kRunTime = 20s;

class Model
{
public:
    Model(double load, bool admits)
        : m_admits(admits)
        , m_gap(load * capacity())
    {
        for (uint32_t i = 0; i < kUpstreams; ++i)
            m_upstreamQueues.emplace_back(kSlots, 1);
        m_plan.generation = MapGeneration(1);
        m_plan.snapshot = SnapshotId(1);
        m_plan.shardCount = kShards;
        for (uint32_t shard = 0; shard < kShards; ++shard)
            m_plan.candidates.push_back({shard % kUpstreams, (shard + 1) % kUpstreams});
    }

    /** Queries per second that keep every slot busy. */
    static double capacity()
    {
        return kUpstreams * kSlots / (1e-6 * static_cast<double>(kServiceTime.count())) / kShards;
    }

    void run(double load)
    {
        arrive();
        tick();
        m_time.runUntil(m_time.now() + kRunTime);
        const double seconds = static_cast<double>(kRunTime / 1s);
        std::printf("| %.1fx | %s | %.0f | %.0f%% | %.1f | %.1f | %.0f%% | %.2f%% |\n", load, m_admits ? "yes" : "no",
                    static_cast<double>(m_asked) / seconds, 100 * static_cast<double>(m_good) / seconds / capacity(),
                    percentileMs(m_latencies, 0.5), percentileMs(m_latencies, 0.99),
                    100.0 * static_cast<double>(m_refused) / static_cast<double>(m_asked),
                    100.0 * static_cast<double>(m_extra) / static_cast<double>(std::max<uint64_t>(1, m_first)));
    }

private:
    struct Query
    {
        std::unique_ptr<FanOut> fanOut;
        TimePoint arrived;
        QueryNumber number = 0;
        /** Time of the latest wake-up; earlier ones are ignored. */
        TimePoint wakeAt;
    };
    struct Job
    {
        std::shared_ptr<Query> query;
        FanOutSend send;
        TimePoint dispatched;
    };

    void arrive()
    {
        ++m_asked;
        auto query = std::make_shared<Query>();
        query->arrived = m_time.now();
        query->number = ++m_lastQuery;
        m_queries[query->number] = query;
        if (m_admits)
            execute(m_admission.submit(m_time.now(), query->number, CallerName("c"), 1, query->arrived + kDeadline));
        else
            start(query);
        m_time.after(Duration(static_cast<int64_t>(1e6 * m_gap(m_random)) + 1), [this] { arrive(); });
    }

    void execute(const AdmissionActions &actions)
    {
        for (const QueryNumber number : actions.admit)
            start(m_queries.at(number));
        for (const auto &[number, code] : actions.refuse) {
            ++m_refused;
            m_queries.erase(number);
        }
    }

    void start(const std::shared_ptr<Query> &query)
    {
        FanOutHooks hooks;
        hooks.nextId = [this] { return SubRequestId(++m_lastId); };
        hooks.hedgeDelay = [this](uint32_t shard) { return m_delays.delay(shard); };
        hooks.tryConsumeBudget = [this](TimePoint now) { return m_budget.tryConsumeBudget(now); };
        hooks.cost = [this](uint32_t upstream) {
            return static_cast<double>(m_upstreamQueues[upstream].waiting() + m_upstreamQueues[upstream].running());
        };
        hooks.replan = [](TimePoint, SnapshotId) { return std::optional<QueryPlan>(); };
        FanOutConfig config;
        config.plan = m_plan;
        config.deadline = query->arrived + kDeadline;
        config.seed = m_random();
        query->fanOut = std::make_unique<FanOut>(std::move(config), std::move(hooks));
        execute(query, query->fanOut->start(m_time.now()));
    }

    void execute(const std::shared_ptr<Query> &query, const FanOutActions &actions)
    {
        for (const SubRequestId id : actions.cancels) {
            const auto job = m_jobs.find(id.value());
            if (job != m_jobs.end() && m_upstreamQueues[job->second.send.upstream].cancel(id.value()))
                m_jobs.erase(job);
        }
        for (const FanOutSend &send : actions.sends) {
            m_extra += send.extra ? 1 : 0;
            m_first += send.extra || send.resent ? 0 : 1;
            if (!send.extra && !send.resent)
                m_budget.recordFirstSubRequests(m_time.now(), 1);
            m_jobs[send.id.value()] = {query, send, {}};
            m_time.after(kNetworkDelay, [this, send] {
                dispatch(send.upstream,
                         m_upstreamQueues[send.upstream].submit(m_time.now(), {send.id.value(), send.deadline}));
            });
        }
        if (actions.answer)
            return finish(query, *actions.answer);
        if (!actions.wakeAt)
            return;
        query->wakeAt = *actions.wakeAt;
        m_time.at(*actions.wakeAt, [this, query, wake = *actions.wakeAt] {
            if (!query->fanOut->finished() && query->wakeAt == wake)
                execute(query, query->fanOut->tick(m_time.now()));
        });
    }

    void finish(const std::shared_ptr<Query> &query, const FanOutAnswer &answer)
    {
        const Duration took = m_time.now() - query->arrived;
        const bool good = answer.code == ResultCode::Ok && answer.missing.empty() && took <= kDeadline;
        m_latencies.push_back(took);
        m_good += good ? 1 : 0;
        m_queries.erase(query->number);
        if (m_admits)
            execute(m_admission.finished(m_time.now(), query->number, good));
    }

    void dispatch(uint32_t upstream, const DispatchActions &actions)
    {
        for (const DispatchId id : actions.refuse)
            reply(id, SubOutcome::NotSent);
        for (const DispatchId id : actions.dispatch) {
            m_jobs[id].dispatched = m_time.now();
            std::uniform_int_distribution<int64_t> service(kServiceTime.count() / 2, kServiceTime.count() * 3 / 2);
            m_time.after(Duration(service(m_random)), [this, upstream, id] {
                const Duration latency = m_time.now() - m_jobs[id].dispatched;
                reply(id, SubOutcome::Ok);
                dispatch(upstream, m_upstreamQueues[upstream].completed(m_time.now(), id, SubOutcome::Ok, latency));
            });
        }
    }

    void reply(DispatchId id, SubOutcome outcome)
    {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end() || !found->second.query)
            return;
        const Job job = found->second;
        m_jobs.erase(found);
        m_time.after(kNetworkDelay, [this, job, outcome] {
            if (job.query->fanOut->finished())
                return;
            if (outcome == SubOutcome::Ok && job.dispatched != TimePoint())
                m_delays.add(job.send.shard, m_time.now() - job.dispatched);
            SubReply reply;
            reply.id = job.send.id;
            reply.outcome = static_cast<uint8_t>(outcome);
            reply.shard = job.send.shard;
            reply.generation = job.send.generation;
            reply.snapshot = job.send.snapshot;
            execute(job.query, job.query->fanOut->reply(m_time.now(), reply));
        });
    }

    void tick()
    {
        for (uint32_t i = 0; i < kUpstreams; ++i)
            dispatch(i, m_upstreamQueues[i].tick(m_time.now()));
        if (m_admits)
            execute(m_admission.tick(m_time.now()));
        m_time.after(2ms, [this] { tick(); });
    }

    bool m_admits;
    VirtualTime m_time;
    std::mt19937_64 m_random{11};
    std::exponential_distribution<double> m_gap;
    Admission m_admission;
    RetryBudget m_budget;
    HedgeDelays m_delays;
    std::vector<UpstreamQueue> m_upstreamQueues;
    QueryPlan m_plan;
    std::map<QueryNumber, std::shared_ptr<Query>> m_queries;
    std::map<DispatchId, Job> m_jobs;
    QueryNumber m_lastQuery = 0;
    uint64_t m_lastId = 0;
    std::vector<Duration> m_latencies;
    uint64_t m_asked = 0;
    uint64_t m_good = 0;
    uint64_t m_refused = 0;
    uint64_t m_first = 0;
    uint64_t m_extra = 0;
};

void compareOrders()
{
    using namespace overload;
    constexpr double kSlowFactor = 6;
    constexpr uint64_t kSeeds = 5;
    std::printf("\n| Order | Load | Look-ups in target | Searches in target | Singles in target | Refused early | "
                "Refused late | Failed |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const Policy policy :
         {Policy::Arrival, Policy::StrictPriority, Policy::EarliestDeadline, Policy::WeightedFair, Policy::Cost}) {
        for (const double load : {1.0, 2.0, 3.0, 5.0}) {
            KindResult sum;
            std::printf("| %s | %.0fx |", nameOf(policy), load);
            std::vector<KindResult> kinds(3);
            for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
                OverloadSettings settings;
                settings.policy = policy;
                settings.load = load;
                settings.slowFactor = load > 1 ? kSlowFactor : 1;
                settings.seed = seed;
                const std::vector<KindResult> results = runOverload(settings);
                for (size_t kind = 0; kind < kinds.size(); ++kind) {
                    kinds[kind].asked += results[kind].asked;
                    kinds[kind].inTarget += results[kind].inTarget;
                    sum.asked += results[kind].asked;
                    sum.refusedEarly += results[kind].refusedEarly;
                    sum.refusedLate += results[kind].refusedLate;
                    sum.failed += results[kind].failed;
                }
            }
            const auto percent = [](uint64_t part, uint64_t whole) {
                return 100.0 * static_cast<double>(part) / static_cast<double>(whole);
            };
            for (const KindResult &kind : kinds)
                std::printf(" %.0f (%.0f%%) |", static_cast<double>(kind.inTarget) / kSeeds,
                            percent(kind.inTarget, kind.asked));
            std::printf(" %.1f%% | %.1f%% | %.1f%% |\n", percent(sum.refusedEarly, sum.asked),
                        percent(sum.refusedLate, sum.asked), percent(sum.failed, sum.asked));
        }
    }
}

} // namespace

int main()
{
    std::printf("| Load | Admission | Queries a second | Goodput of capacity | p50 ms | p99 ms | Refused early | Extra "
                "load |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const double load : {0.7, 1.0, 2.0, 5.0}) {
        for (const bool admits : {false, true})
            Model(load, admits).run(load);
    }
    compareOrders();
}
