// Compares three ways of sharing the slots of upstreams between entries: a fixed split, slots leased by
// a home entry, and forwarding through the home entry. Simulates 3 upstreams with 2 slots each and 7
// holders (entries) in virtual time with UpstreamQueue, and prints a table for docs/design/slots.md.
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
/** One-way latencies between two entries, and between an entry and an upstream. */
constexpr Duration kEntryHop = 500us;
constexpr Duration kUpstreamHop = 500us;
constexpr Duration kDeadline = 340ms;
constexpr Duration kRunTime = 60s;
/** The home of upstream 0 crashes at this time; a new home has taken over kTakeoverTime later (lease and handover). */
constexpr Duration kCrashTime = 30s;
constexpr Duration kTakeoverTime = 4200ms;

enum class Scheme { FixedSplit, LeasedGrants, Forwarding };

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
    Model(Scheme scheme, double load, bool homeCrashes, uint64_t seed)
        : m_scheme(scheme)
        , m_random(seed)
        , m_homeCrashes(homeCrashes)
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
        const TimePoint end = m_time.now() + kRunTime;
        m_crashTime = m_time.now() + kCrashTime;
        m_time.runUntil(end);
        uint64_t overshoots = 0;
        for (const Upstream &upstream : m_upstreams)
            overshoots += upstream.overshoots;
        std::printf("| %s | %.0f%% | %s | %.1f | %.1f | %.1f | %.2f%% | %.2f%% | %.2f |\n", name, 100 * load,
                    m_homeCrashes ? "dies" : "lives", percentileMs(m_latencies, 0.5), percentileMs(m_latencies, 0.99),
                    percentileMs(m_latencies, 0.999),
                    100.0 * static_cast<double>(m_dropped) / static_cast<double>(m_requests),
                    100.0 * static_cast<double>(overshoots) / static_cast<double>(m_requests),
                    static_cast<double>(m_messages) / static_cast<double>(m_requests));
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
        ++m_requests;
        ++m_outstanding[job.holder][job.upstream];
        const DispatchId id = ++m_nextId;
        m_jobs[id] = job;
        submit(id, job);
        m_time.after(Duration(static_cast<int64_t>(1e6 * m_arrivalGap(m_random)) + 1), [this] { arrive(); });
    }

    size_t chooseUpstream(size_t holder)
    {
        if (m_scheme == Scheme::FixedSplit)
            return holder % kUpstreams;
        const size_t one = m_random() % kUpstreams;
        const size_t other = m_random() % kUpstreams;
        // After 1 s without pongs the home counts as unreachable, and another replica is chosen.
        if (isHomeDown(one) && m_time.now() > m_crashTime + 1s)
            return (one + 1) % kUpstreams;
        return m_outstanding[holder][other] < m_outstanding[holder][one] && !isHomeDown(other) ? other : one;
    }

    bool isHomeDown(size_t upstream) const
    {
        const TimePoint now = m_time.now();
        return m_homeCrashes && m_scheme != Scheme::FixedSplit && upstream == 0 && now >= m_crashTime
            && now < m_crashTime + kTakeoverTime;
    }

    void submit(DispatchId id, const Job &job)
    {
        if (m_scheme == Scheme::FixedSplit) {
            // The holder sends one request at a time to its own upstream, without coordination.
            if (m_holderBusy[job.holder])
                m_holderQueue[job.holder].push_back(id);
            else
                startFixed(id);
            return;
        }
        ++m_messages;
        m_time.after(kEntryHop, [this, id] {
            const Job &waiting = m_jobs.at(id);
            if (isHomeDown(waiting.upstream))
                return drop(id);
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
            drop(id);
        for (const DispatchId id : actions.dispatch) {
            if (m_scheme == Scheme::Forwarding) {
                serve(id, kUpstreamHop, kUpstreamHop);
            } else {
                // The home sends the grant to the holder, which sends the request and later returns the slot.
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
        --m_outstanding[job.holder][job.upstream];
        const TimePoint now = m_time.now();
        if (m_scheme == Scheme::FixedSplit) {
            m_latencies.push_back(now - job.arrived);
            m_holderBusy[job.holder] = false;
            if (m_holderQueue[job.holder].empty())
                return;
            const DispatchId next = m_holderQueue[job.holder].front();
            m_holderQueue[job.holder].erase(m_holderQueue[job.holder].begin());
            return startFixed(next);
        }
        ++m_messages;
        // With leased grants the holder has the answer one hop before the home gets the slot back.
        m_latencies.push_back(now - job.arrived + (m_scheme == Scheme::Forwarding ? kEntryHop : -kEntryHop));
        dispatch(job.upstream, m_upstreams[job.upstream].queue->completed(now, id, SubOutcome::Ok, 7ms));
    }

    void drop(DispatchId id)
    {
        const Job job = m_jobs.at(id);
        m_jobs.erase(id);
        --m_outstanding[job.holder][job.upstream];
        ++m_dropped;
    }

    void tick()
    {
        for (size_t i = 0; i < kUpstreams; ++i)
            dispatch(i, m_upstreams[i].queue->tick(m_time.now()));
        m_time.after(2ms, [this] { tick(); });
    }

    Scheme m_scheme;
    VirtualTime m_time;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_arrivalGap;
    bool m_homeCrashes;
    TimePoint m_crashTime;
    Upstream m_upstreams[kUpstreams];
    uint32_t m_outstanding[kHolders][kUpstreams] = {};
    bool m_holderBusy[kHolders] = {};
    std::vector<DispatchId> m_holderQueue[kHolders];
    std::map<DispatchId, Job> m_jobs;
    DispatchId m_nextId = 0;
    std::vector<Duration> m_latencies;
    uint64_t m_requests = 0;
    uint64_t m_dropped = 0;
    uint64_t m_messages = 0;
};

} // namespace

int main()
{
    std::printf(
        "| Way | Load | Home | p50 ms | p99 ms | p99.9 ms | Refused or lost | Beyond slots | Messages each |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const bool homeCrashes : {false, true}) {
        for (const double load : {0.3, 0.5, 0.7, 0.8}) {
            Model(Scheme::FixedSplit, load, homeCrashes, 1).run("fixed split", load);
            Model(Scheme::LeasedGrants, load, homeCrashes, 1).run("leased grants", load);
            Model(Scheme::Forwarding, load, homeCrashes, 1).run("forwarding", load);
        }
    }
}
