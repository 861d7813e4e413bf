#include "fakes/OverloadModel.h"

#include "hickoryspur/request/Admission.h"
#include "hickoryspur/request/LatencyQuantile.h"
#include "hickoryspur/request/RequestAdmission.h"
#include "hickoryspur/request/ScatterGather.h"

#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace hickoryspur::overload {

namespace {

constexpr uint32_t kReplicas = 3;
constexpr uint32_t kSlots = 4;
constexpr size_t kUpstreamQueue = 24;
/** Requests of one entry that run at one replica at the same time. */
constexpr uint32_t kConnections = 1;
constexpr Duration kHop = 1ms;

struct Kind
{
    const char *name;
    Duration work;
    Duration target;
    Duration timeout;
    int priority;
    double minCoverage;
    bool isScattered;
    /** Requests a second at all entries together at the usual load. */
    double perSecond;
};

/** At the usual load about 0.35 of the slots of each service are busy. */
constexpr std::array<Kind, 3> kKinds = {{{"look-up", 9ms, 80ms, 800ms, 0, 0.85, true, 150},
                                         {"search", 28ms, 300ms, 2000ms, 1, 0.95, true, 100},
                                         {"single", 220ms, 1500ms, 4000ms, 2, 1, false, 19}}};

class Model
{
public:
    explicit Model(const OverloadSettings &settings);
    std::vector<KindResult> run();

private:
    struct Query
    {
        AdmissionNumber number = 0;
        size_t kind = 0;
        TimePoint arrived;
        ScatterPlan plan;
        std::unique_ptr<ScatterGather> scatter;
        std::map<AttemptKey, std::pair<UpstreamId, TimePoint>> sent;
        bool ended = false;
    };
    using QueryPtr = std::shared_ptr<Query>;
    struct Job
    {
        QueryPtr query;
        AttemptKey key;
        uint32_t entry = 0;
        uint32_t upstream = 0;
        bool withdrawn = false;
    };
    using JobPtr = std::shared_ptr<Job>;
    struct Pool
    {
        uint32_t busy = 0;
        std::vector<JobPtr> waiting;
    };
    struct Upstream
    {
        uint32_t running = 0;
        std::deque<JobPtr> queue;
        double factor = 1;
    };
    struct Entry
    {
        std::unique_ptr<ReplicaTracker> tracker;
        std::unique_ptr<RequestAdmission> admission;
        Admission fair;
        std::unordered_map<uint32_t, Pool> pools;
        std::map<AdmissionNumber, QueryPtr> waiting;
        std::vector<LatencyQuantile> medians{kKinds.size(), LatencyQuantile(0.5)};
        std::vector<LatencyQuantile> delays{kKinds.size(), LatencyQuantile(0.88)};
        bool updatePosted = false;
        TimePoint wakeAt;
    };

    bool isCost() const { return m_settings.policy == Policy::Cost; }
    uint32_t upstreamOf(const UpstreamId &id) const { return static_cast<uint32_t>(std::stoul(id.value())); }
    std::vector<UpstreamId> replicas(const ServiceName &service) const;
    void arriveLater(size_t kind);
    void arrive(size_t kind);
    AdmissionDemand demandOf(const Entry &entry, const Query &query) const;
    bool hasRoom(Entry &entry, const Query &query, size_t spare);
    void execute(uint32_t entry, const AdmissionDecisions &decisions);
    void executeFair(uint32_t entry, const AdmissionActions &actions);
    void refuse(Query &query);
    void postUpdate(uint32_t entry);
    void tick(uint32_t entry);
    void start(uint32_t entry, const QueryPtr &query);
    ScatterHooks hooksOf(uint32_t entry, const QueryPtr &query);
    void execute(uint32_t entry, const QueryPtr &query, const ScatterActions &actions);
    void wakeLater(uint32_t entry, const QueryPtr &query);
    void finish(uint32_t entry, const QueryPtr &query, ScatterOutcome outcome);
    void send(uint32_t entry, const QueryPtr &query, const SendAttempt &attempt);
    void startWaiting(uint32_t entry, uint32_t upstream);
    void arriveAt(uint32_t upstream, const JobPtr &job);
    void runNext(uint32_t upstream);
    void reply(const JobPtr &job, AttemptOutcome outcome);
    bool goesBefore(const Job &left, const Job &right) const;

    OverloadSettings m_settings;
    VirtualTime m_time;
    std::mt19937_64 m_random;
    std::vector<Entry> m_entries;
    std::vector<Upstream> m_upstreams;
    std::vector<KindResult> m_results;
    AdmissionNumber m_lastNumber = 0;
    TimePoint m_end;
};

Model::Model(const OverloadSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_entries(settings.entries)
    , m_upstreams(size_t{settings.shards + 1} * kReplicas)
{
    std::vector<bool> slow(m_upstreams.size());
    std::fill(slow.begin(), slow.begin() + static_cast<std::ptrdiff_t>(slow.size() / 2), true);
    std::shuffle(slow.begin(), slow.end(), m_random);
    for (size_t i = 0; i < m_upstreams.size(); ++i)
        m_upstreams[i].factor = slow[i] ? settings.slowFactor : 1;
    for (uint32_t i = 0; i < m_settings.entries; ++i) {
        Entry &entry = m_entries[i];
        entry.tracker = std::make_unique<ReplicaTracker>(settings.seed + i);
        entry.admission = std::make_unique<RequestAdmission>(
            [this, &entry](const AdmissionDemand &demand, size_t spare) {
                return hasRoom(entry, *entry.waiting.at(demand.number), spare);
            },
            settings.seed + i);
    }
    for (const Kind &kind : kKinds)
        m_results.push_back({kind.name});
}

std::vector<KindResult> Model::run()
{
    m_end = m_time.now() + m_settings.time;
    for (size_t kind = 0; kind < kKinds.size(); ++kind)
        arriveLater(kind);
    for (uint32_t i = 0; i < m_settings.entries; ++i)
        tick(i);
    m_time.runUntil(m_end + 5s);
    return m_results;
}

std::vector<UpstreamId> Model::replicas(const ServiceName &service) const
{
    std::vector<UpstreamId> ids;
    for (uint32_t i = 0; i < kReplicas; ++i)
        ids.emplace_back(std::to_string(std::stoul(service.value()) * kReplicas + i));
    return ids;
}

void Model::arriveLater(size_t kind)
{
    std::exponential_distribution<double> gap(kKinds[kind].perSecond * m_settings.load);
    const TimePoint at = m_time.now() + Duration(static_cast<int64_t>(1e6 * gap(m_random)) + 1);
    if (at < m_end)
        m_time.at(at, [this, kind] { arrive(kind); });
}

void Model::arrive(size_t kind)
{
    arriveLater(kind);
    const Kind &spec = kKinds[kind];
    const auto index = std::uniform_int_distribution<uint32_t>(0, m_settings.entries - 1)(m_random);
    Entry &entry = m_entries[index];
    ++m_results[kind].asked;
    auto query = std::make_shared<Query>();
    query->number = ++m_lastNumber;
    query->kind = kind;
    query->arrived = m_time.now();
    ScatterPlan &plan = query->plan;
    for (uint32_t shard = 0; spec.isScattered && shard < m_settings.shards; ++shard)
        plan.shards.emplace_back(std::to_string(shard));
    if (!spec.isScattered)
        plan.shards.emplace_back(std::to_string(m_settings.shards));
    plan.maxAttempts = 2;
    plan.idempotent = true;
    plan.minParts = static_cast<size_t>(std::ceil(spec.minCoverage * static_cast<double>(plan.shards.size()) - 1e-9));
    plan.deadline = m_time.now() + spec.timeout;
    plan.targetTime = spec.isScattered ? m_time.now() + spec.target - 14ms : plan.deadline;
    const Duration delay = entry.delays[kind].value();
    plan.hedgeAfter = std::clamp<Duration>(delay == Duration::zero() ? spec.target / 4 : delay, 3ms, spec.target / 2);
    if (m_settings.policy == Policy::WeightedFair) {
        entry.waiting[query->number] = query;
        executeFair(index, entry.fair.submit(m_time.now(), query->number, CallerName(spec.name), 1, plan.deadline));
    } else if (isCost()) {
        entry.waiting[query->number] = query;
        execute(index, entry.admission->submit(m_time.now(), demandOf(entry, *query)));
    } else {
        start(index, query);
    }
}

AdmissionDemand Model::demandOf(const Entry &entry, const Query &query) const
{
    const Kind &kind = kKinds[query.kind];
    AdmissionDemand demand;
    demand.number = query.number;
    demand.scope = kind.name;
    demand.group = kind.isScattered ? "shards" : "single";
    demand.priority = kind.priority;
    demand.arrived = query.arrived;
    demand.targetTime = query.arrived + kind.target;
    demand.deadline = query.plan.deadline;
    demand.usualTime = entry.delays[query.kind].value();
    demand.shards = query.plan.shards.size();
    return demand;
}

bool Model::hasRoom(Entry &entry, const Query &query, size_t spare)
{
    size_t mayLack = query.plan.shards.size() - query.plan.minParts;
    for (const ServiceName &shard : query.plan.shards) {
        const std::vector<UpstreamId> ids = replicas(shard);
        const auto room = std::count_if(ids.begin(), ids.end(), [&](const UpstreamId &id) {
            const Pool &pool = entry.pools[upstreamOf(id)];
            return pool.busy + pool.waiting.size() < kConnections && !entry.tracker->isDegraded(m_time.now(), id);
        });
        if (static_cast<size_t>(room) < 1 + spare && mayLack-- == 0)
            return false;
    }
    return true;
}

void Model::execute(uint32_t index, const AdmissionDecisions &decisions)
{
    Entry &entry = m_entries[index];
    for (const AdmissionNumber number : decisions.admit) {
        const QueryPtr query = entry.waiting.at(number);
        entry.waiting.erase(number);
        start(index, query);
    }
    for (const RefusedRequest &refused : decisions.refuse) {
        refuse(*entry.waiting.at(refused.number));
        entry.waiting.erase(refused.number);
    }
    if (!decisions.admit.empty() && !entry.waiting.empty())
        postUpdate(index);
    const TimePoint wake = entry.admission->nextWake(m_time.now());
    if (wake == TimePoint::max() || wake == entry.wakeAt)
        return;
    entry.wakeAt = wake;
    m_time.at(std::max(wake, m_time.now() + 1ms), [this, index] { postUpdate(index); });
}

void Model::executeFair(uint32_t index, const AdmissionActions &actions)
{
    Entry &entry = m_entries[index];
    for (const QueryNumber number : actions.admit) {
        const QueryPtr query = entry.waiting.at(number);
        entry.waiting.erase(number);
        start(index, query);
    }
    for (const auto &[number, code] : actions.refuse) {
        refuse(*entry.waiting.at(number));
        entry.waiting.erase(number);
    }
}

void Model::refuse(Query &query)
{
    query.ended = true;
    KindResult &result = m_results[query.kind];
    const bool early = m_time.now() - query.arrived <= kKinds[query.kind].target / 4;
    ++(early ? result.refusedEarly : result.refusedLate);
}

void Model::postUpdate(uint32_t index)
{
    if (std::exchange(m_entries[index].updatePosted, true))
        return;
    m_time.after(Duration::zero(), [this, index] {
        m_entries[index].updatePosted = false;
        execute(index, m_entries[index].admission->update(m_time.now()));
    });
}

void Model::tick(uint32_t index)
{
    if (isCost())
        execute(index, m_entries[index].admission->tick(m_time.now()));
    if (m_settings.policy == Policy::WeightedFair)
        executeFair(index, m_entries[index].fair.tick(m_time.now()));
    if (m_time.now() < m_end + 4s)
        m_time.after(50ms, [this, index] { tick(index); });
}

void Model::start(uint32_t index, const QueryPtr &query)
{
    query->scatter = std::make_unique<ScatterGather>(query->plan, hooksOf(index, query));
    execute(index, query, query->scatter->start(m_time.now()));
}

ScatterHooks Model::hooksOf(uint32_t index, const QueryPtr &query)
{
    ScatterHooks hooks;
    hooks.choose = [this, index](const ServiceName &service,
                                 const std::vector<UpstreamId> &tried) -> std::optional<ReplicaChoice> {
        Entry &entry = m_entries[index];
        std::vector<ReplicaTracker::Candidate> all;
        std::vector<ReplicaTracker::Candidate> withRoom;
        for (const UpstreamId &id : replicas(service)) {
            if (std::find(tried.begin(), tried.end(), id) != tried.end())
                continue;
            all.push_back({id, true, false, Duration::zero()});
            const Pool &pool = entry.pools[upstreamOf(id)];
            if (pool.busy + pool.waiting.size() < kConnections)
                withRoom.push_back(all.back());
        }
        const auto &candidates = withRoom.empty() ? all : withRoom;
        if (candidates.empty())
            return std::nullopt;
        const UpstreamId &best = candidates[entry.tracker->best(m_time.now(), candidates)].id;
        return ReplicaChoice{best, entry.tracker->isDegraded(m_time.now(), best)};
    };
    // A fifth of the first sub-requests, as in a deployment's settings.
    hooks.tryConsumeBudget = [this](const ServiceName &) { return m_random() % 5 == 0; };
    hooks.reportOverdue = [this, index](const UpstreamId &id) { m_entries[index].tracker->recordOverdue(id); };
    hooks.tryWithdraw = [this, index, weak = std::weak_ptr<Query>(query)](AttemptKey key) {
        const QueryPtr owner = weak.lock();
        std::vector<JobPtr> &waiting = m_entries[index].pools[upstreamOf(owner->sent.at(key).first)].waiting;
        const auto job = std::find_if(waiting.begin(), waiting.end(),
                                      [&](const JobPtr &other) { return other->query == owner && other->key == key; });
        if (job == waiting.end())
            return false;
        const JobPtr withdrawn = *job;
        waiting.erase(job);
        reply(withdrawn, AttemptOutcome::Cancelled);
        return true;
    };
    return hooks;
}

void Model::execute(uint32_t index, const QueryPtr &query, const ScatterActions &actions)
{
    for (const SendAttempt &attempt : actions.sends)
        send(index, query, attempt);
    if (actions.outcome && !query->ended)
        return finish(index, query, *actions.outcome);
    if (!query->ended)
        wakeLater(index, query);
}

void Model::wakeLater(uint32_t index, const QueryPtr &query)
{
    const TimePoint wake = std::max(query->scatter->nextWake(m_time.now()), m_time.now() + 100us);
    m_time.at(wake, [this, index, query] {
        if (!query->ended)
            execute(index, query, query->scatter->tick(m_time.now()));
    });
}

void Model::finish(uint32_t index, const QueryPtr &query, ScatterOutcome outcome)
{
    query->ended = true;
    KindResult &result = m_results[query->kind];
    const Duration took = m_time.now() - query->arrived;
    const bool answered = outcome == ScatterOutcome::Complete || outcome == ScatterOutcome::Partial;
    const bool inTarget = answered && took <= kKinds[query->kind].target;
    if (answered)
        ++(inTarget ? result.inTarget : result.answeredLate);
    else if (outcome == ScatterOutcome::NotRun)
        refuse(*query);
    else
        ++result.failed;
    Entry &entry = m_entries[index];
    // What waits for a connection is of no use any more.
    for (auto &[upstream, pool] : entry.pools)
        std::erase_if(pool.waiting, [&](const JobPtr &job) {
            if (job->query != query)
                return false;
            entry.tracker->recordEnd(m_time.now(), UpstreamId(std::to_string(job->upstream)), AttemptOutcome::Cancelled,
                                     1, query->scatter->wasOverdue(job->key));
            return true;
        });
    if (m_settings.policy == Policy::WeightedFair)
        executeFair(index, entry.fair.finished(m_time.now(), query->number, answered));
    if (!isCost())
        return;
    entry.admission->ended(m_time.now(), query->number);
    postUpdate(index);
}

bool Model::goesBefore(const Job &left, const Job &right) const
{
    if (m_settings.policy == Policy::EarliestDeadline)
        return left.query->plan.deadline < right.query->plan.deadline;
    const bool byPriority = isCost() || m_settings.policy == Policy::StrictPriority;
    return byPriority && kKinds[left.query->kind].priority < kKinds[right.query->kind].priority;
}

void Model::send(uint32_t index, const QueryPtr &query, const SendAttempt &attempt)
{
    Entry &entry = m_entries[index];
    entry.tracker->recordSent(attempt.upstream);
    query->sent[attempt.key] = {attempt.upstream, m_time.now()};
    const uint32_t upstream = upstreamOf(attempt.upstream);
    auto job = std::make_shared<Job>(Job{query, attempt.key, index, upstream});
    std::vector<JobPtr> &waiting = entry.pools[upstream].waiting;
    waiting.insert(
        std::upper_bound(waiting.begin(), waiting.end(), job,
                         [this](const JobPtr &left, const JobPtr &right) { return goesBefore(*left, *right); }),
        job);
    startWaiting(index, upstream);
}

void Model::startWaiting(uint32_t index, uint32_t upstream)
{
    Pool &pool = m_entries[index].pools[upstream];
    while (pool.busy < kConnections && !pool.waiting.empty()) {
        const JobPtr job = pool.waiting.front();
        pool.waiting.erase(pool.waiting.begin());
        ++pool.busy;
        m_time.after(kHop, [this, upstream, job] { arriveAt(upstream, job); });
    }
}

void Model::arriveAt(uint32_t index, const JobPtr &job)
{
    Upstream &upstream = m_upstreams[index];
    if (upstream.queue.size() >= kUpstreamQueue) {
        m_time.after(kHop, [this, job] { reply(job, AttemptOutcome::Refused); });
        return;
    }
    upstream.queue.push_back(job);
    runNext(index);
}

void Model::runNext(uint32_t index)
{
    Upstream &upstream = m_upstreams[index];
    while (upstream.running < kSlots && !upstream.queue.empty()) {
        const JobPtr job = upstream.queue.front();
        upstream.queue.pop_front();
        ++upstream.running;
        const double speed = std::uniform_real_distribution<double>(0.8, 1.3)(m_random);
        const auto work = static_cast<double>(kKinds[job->query->kind].work.count()) * upstream.factor * speed;
        m_time.after(Duration(static_cast<int64_t>(work)), [this, index, job] {
            --m_upstreams[index].running;
            m_time.after(kHop, [this, job] { reply(job, AttemptOutcome::Answered); });
            runNext(index);
        });
    }
}

void Model::reply(const JobPtr &job, AttemptOutcome outcome)
{
    Entry &entry = m_entries[job->entry];
    Query &query = *job->query;
    const Duration took = m_time.now() - query.sent.at(job->key).second;
    LatencyQuantile &median = entry.medians[query.kind];
    const double usual = static_cast<double>(std::max<Duration>(median.value(), 1us).count());
    entry.tracker->recordEnd(m_time.now(), UpstreamId(std::to_string(job->upstream)), outcome,
                             median.value() == Duration::zero() ? 1 : static_cast<double>(took.count()) / usual,
                             query.scatter->wasOverdue(job->key));
    if (outcome == AttemptOutcome::Answered) {
        median.add(took);
        entry.delays[query.kind].add(took);
    }
    if (outcome != AttemptOutcome::Cancelled) {
        --entry.pools[job->upstream].busy;
        startWaiting(job->entry, job->upstream);
        const ScatterActions actions = query.scatter->attemptEnded(m_time.now(), job->key, outcome);
        if (!query.ended)
            execute(job->entry, job->query, actions);
    }
    if (isCost())
        postUpdate(job->entry);
}

} // namespace

const char *nameOf(Policy policy)
{
    switch (policy) {
    case Policy::Arrival:
        return "arrival order";
    case Policy::StrictPriority:
        return "strict priority";
    case Policy::EarliestDeadline:
        return "earliest deadline";
    case Policy::WeightedFair:
        return "weighted fair with deadlines";
    case Policy::Cost:
        return "cost";
    }
    return "unknown";
}

std::vector<KindResult> runOverload(const OverloadSettings &settings)
{
    return Model(settings).run();
}

} // namespace hickoryspur::overload
