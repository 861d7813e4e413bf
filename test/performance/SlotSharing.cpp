// Compares ways of sharing the slots of upstreams between entries: a fixed split, leased grants from
// a home entry, and forwarding through the home entry. 3 upstreams of 2 slots, 7 holders, one event
// loop in virtual time over UpstreamQueue. Prints a table; docs/design/slots.md reads it.
#include "fakes/VirtualTime.h"
#include "hickoryspur/connection/UpstreamQueue.h"

#include <cstdio>
#include <memory>
#include <random>

namespace {

using namespace hickoryspur;

constexpr size_t kHolders = 7;
constexpr size_t kUpstreams = 3;
constexpr uint32_t kSlots = 2;
constexpr Duration kMinServiceTime = 4ms;
constexpr Duration kMaxServiceTime = 8ms;
/** One way between two entries, and between an entry and an upstream. */
constexpr Duration kEntryHop = 500us;
constexpr Duration kUpstreamHop = 500us;
constexpr Duration kDeadline = 340ms;
constexpr Duration kRun = 60s;
/** The home of upstream 0 dies silently at this time; a new one has taken over after the lease and the handover. */
constexpr Duration kDeathAt = 30s;
constexpr Duration kTakeover = 4200ms;

enum class Way { FixedSplit, LeasedGrants, Forwarding };

struct Upstream
{
    std::unique_ptr<UpstreamQueue> queue;
    uint32_t running = 0;
    uint64_t overshoots = 0;
    uint64_t served = 0;
};

class Model
{
public:
    Model(Way way, double load, bool homeDies, uint64_t seed)
        : m_way(way)
        , m_random(seed)
        , m_homeDies(homeDies)
    {
        for (Upstream &upstream : m_upstreams)
            upstream.queue = std::make_unique<UpstreamQueue>(kSlots, 1);
        const double capacity = kUpstreams * kSlots / 0.006;
        m_arrivalGap = std::exponential_distribution<double>(load * capacity);
    }

    void run(const char *name, double load)
    {
        arrive();
        tick();
        const TimePoint end = m_time.now() + kRun;
        m_death = m_time.now() + kDeathAt;
        m_time.runUntil(end);
        uint64_t overshoots = 0;
        for (const Upstream &upstream : m_upstreams)
            overshoots += upstream.overshoots;
        std::printf("| %s | %.0f%% | %s | %.1f | %.1f | %.1f | %.2f%% | %.2f%% | %.2f |\n", name, 100 * load,
                    m_homeDies ? "dies" : "lives", percentileMs(m_latencies, 0.5), percentileMs(m_latencies, 0.99),
                    percentileMs(m_latencies, 0.999),
                    100.0 * static_cast<double>(m_lost) / static_cast<double>(m_asked),
                    100.0 * static_cast<double>(overshoots) / static_cast<double>(m_asked),
                    static_cast<double>(m_messages) / static_cast<double>(m_asked));
    }

private:
    struct Job
    {
        TimePoint arrived;
        size_t holder = 0;
        size_t upstream = 0;
    };

    void arrive()
    {
        Job job{m_time.now(), m_random() % kHolders, 0};
        job.upstream = chooseUpstream(job.holder);
        ++m_asked;
        ++m_out[job.holder][job.upstream];
        const DispatchId id = ++m_nextId;
        m_jobs[id] = job;
        ask(id, job);
        m_time.after(Duration(static_cast<int64_t>(1e6 * m_arrivalGap(m_random)) + 1), [this] { arrive(); });
    }

    size_t chooseUpstream(size_t holder)
    {
        if (m_way == Way::FixedSplit)
            return holder % kUpstreams;
        const size_t one = m_random() % kUpstreams;
        const size_t other = m_random() % kUpstreams;
        // A peer link whose answers stop counts as dead after a second; other replicas serve meanwhile.
        if (homeIsDead(one) && m_time.now() > m_death + 1s)
            return (one + 1) % kUpstreams;
        return m_out[holder][other] < m_out[holder][one] && !homeIsDead(other) ? other : one;
    }

    bool homeIsDead(size_t upstream) const
    {
        const TimePoint now = m_time.now();
        return m_homeDies && m_way != Way::FixedSplit && upstream == 0 && now >= m_death && now < m_death + kTakeover;
    }

    void ask(DispatchId id, const Job &job)
    {
        if (m_way == Way::FixedSplit) {
            // The holder alone decides: one at a time to its upstream.
            if (m_holderBusy[job.holder])
                m_holderQueue[job.holder].push_back(id);
            else
                startFixed(id);
            return;
        }
        ++m_messages;
        m_time.after(kEntryHop, [this, id] {
            const Job &waiting = m_jobs.at(id);
            if (homeIsDead(waiting.upstream))
                return lose(id);
            dispatch(waiting.upstream,
                     m_upstreams[waiting.upstream].queue->submit(m_time.now(), {id, waiting.arrived + kDeadline}));
        });
    }

    void startFixed(DispatchId id)
    {
        m_holderBusy[m_jobs.at(id).holder] = true;
        serve(id, kUpstreamHop, kUpstreamHop);
    }

    void dispatch(size_t, const DispatchActions &actions)
    {
        for (const DispatchId id : actions.refuse)
            lose(id);
        for (const DispatchId id : actions.dispatch) {
            if (m_way == Way::Forwarding) {
                serve(id, kUpstreamHop, kUpstreamHop);
            } else {
                // The grant travels to the holder, which sends and later gives the slot back.
                ++m_messages;
                serve(id, kEntryHop + kUpstreamHop, kUpstreamHop + kEntryHop);
            }
        }
    }

    void serve(DispatchId id, Duration before, Duration returnTime)
    {
        m_time.after(before, [this, id, returnTime] {
            Upstream &upstream = m_upstreams[m_jobs.at(id).upstream];
            ++upstream.running;
            upstream.overshoots += upstream.running > kSlots ? 1 : 0;
            std::uniform_int_distribution<int64_t> service(kMinServiceTime.count(), kMaxServiceTime.count());
            m_time.after(Duration(service(m_random)), [this, id, returnTime] {
                --m_upstreams[m_jobs.at(id).upstream].running;
                ++m_upstreams[m_jobs.at(id).upstream].served;
                m_time.after(returnTime, [this, id] { finished(id); });
            });
        });
    }

    void finished(DispatchId id)
    {
        const Job job = m_jobs.at(id);
        m_jobs.erase(id);
        --m_out[job.holder][job.upstream];
        const TimePoint now = m_time.now();
        if (m_way == Way::FixedSplit) {
            m_latencies.push_back(now - job.arrived);
            m_holderBusy[job.holder] = false;
            if (m_holderQueue[job.holder].empty())
                return;
            const DispatchId next = m_holderQueue[job.holder].front();
            m_holderQueue[job.holder].erase(m_holderQueue[job.holder].begin());
            return startFixed(next);
        }
        ++m_messages;
        // With grants the answer is with the holder one hop before the slot is back with the home.
        m_latencies.push_back(now - job.arrived + (m_way == Way::Forwarding ? kEntryHop : -kEntryHop));
        dispatch(job.upstream, m_upstreams[job.upstream].queue->completed(now, id, SubOutcome::Ok, 7ms));
    }

    void lose(DispatchId id)
    {
        const Job job = m_jobs.at(id);
        m_jobs.erase(id);
        --m_out[job.holder][job.upstream];
        ++m_lost;
    }

    void tick()
    {
        for (size_t i = 0; i < kUpstreams; ++i)
            dispatch(i, m_upstreams[i].queue->tick(m_time.now()));
        m_time.after(2ms, [this] { tick(); });
    }

    Way m_way;
    VirtualTime m_time;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_arrivalGap;
    bool m_homeDies;
    TimePoint m_death;
    Upstream m_upstreams[kUpstreams];
    uint32_t m_out[kHolders][kUpstreams] = {};
    bool m_holderBusy[kHolders] = {};
    std::vector<DispatchId> m_holderQueue[kHolders];
    std::map<DispatchId, Job> m_jobs;
    DispatchId m_nextId = 0;
    std::vector<Duration> m_latencies;
    uint64_t m_asked = 0;
    uint64_t m_lost = 0;
    uint64_t m_messages = 0;
};

} // namespace

int main()
{
    std::printf(
        "| Way | Load | Home | p50 ms | p99 ms | p99.9 ms | Refused or lost | Beyond slots | Messages each |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const bool dies : {false, true}) {
        for (const double load : {0.3, 0.5, 0.7, 0.8}) {
            Model(Way::FixedSplit, load, dies, 1).run("fixed split", load);
            Model(Way::LeasedGrants, load, dies, 1).run("leased grants", load);
            Model(Way::Forwarding, load, dies, 1).run("forwarding", load);
        }
    }
}
