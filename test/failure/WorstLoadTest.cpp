#include "fakes/VirtualTime.h"
#include "hickoryspur/process/Check.h"
#include "hickoryspur/request/ExtraBudget.h"
#include "hickoryspur/request/ScatterRun.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <memory>

using namespace hickoryspur;

/**
 * Replays the loads of the users' worst seconds against the decisions, beside a baseline in the same
 * run: 180 queries a second over 10 shards of 3 replicas with 2 slots, 7.5 ms each, which stand still
 * for 100 ms in every 2.4 s.
 */
class WorstLoadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorstLoadTest);
    CPPUNIT_TEST(load_replicasPause_fewerLateThanWithoutHedges);
    CPPUNIT_TEST(load_oneShardOverrun_moreInTimeThanWaitingForIt);
    CPPUNIT_TEST(load_oneReplicaSlow_isAvoided);
    CPPUNIT_TEST_SUITE_END();

    static constexpr uint32_t kShards = 10;
    static constexpr uint32_t kReplicas = 3;
    static constexpr Duration kLength = 20s;
    static constexpr Duration kBetween = 5555us;
    static constexpr Duration kTarget = 68ms;

    struct Policy
    {
        bool hedges = true;
        /** Leaves a shard out while every replica of it is doubtful. */
        bool leavesOut = true;
        /** Chooses by what was seen of the replicas; else by lot. */
        bool learns = true;
    };

    struct Outcome
    {
        size_t asked = 0;
        size_t whole = 0;
        size_t inTime = 0;
    };

    /** An upstream with two slots and a queue of twelve. */
    class Replica
    {
    public:
        Replica(VirtualTime &time, double slowness, bool down, Duration pauseAt)
            : m_time(time)
            , m_slowness(slowness)
            , m_down(down)
            , m_pauseAt(pauseAt)
        {
        }

        void send(Duration work, const std::function<void(AttemptOutcome)> &done)
        {
            if (m_down)
                return m_time.after(1ms, [done] { done(AttemptOutcome::Unsent); });
            if (m_queue.size() >= 12)
                return m_time.after(2ms, [done] { done(AttemptOutcome::Refused); });
            m_queue.emplace_back(work, done);
            startNext();
        }

    private:
        void startNext()
        {
            if (m_running == 2 || m_queue.empty())
                return;
            ++m_running;
            const auto [work, done] = m_queue.front();
            m_queue.pop_front();
            const Duration busy(static_cast<int64_t>(work.count() * m_slowness));
            m_time.at(afterPause(m_time.now() + busy), [this, done = done] {
                --m_running;
                startNext();
                done(AttemptOutcome::Answered);
            });
        }

        /** Work that would end while the replica stands still ends after that. */
        TimePoint afterPause(TimePoint end) const
        {
            const Duration phase = (end.time_since_epoch() + m_pauseAt) % Duration(2400ms);
            return phase < 100ms ? end + (100ms - phase) : end;
        }

        VirtualTime &m_time;
        double m_slowness;
        bool m_down;
        Duration m_pauseAt;
        size_t m_running = 0;
        std::deque<std::pair<Duration, std::function<void(AttemptOutcome)>>> m_queue;
    };

    struct World
    {
        VirtualTime time;
        ReplicaBook book{7};
        std::map<std::string, ExtraBudget> budgets;
        std::map<std::string, std::unique_ptr<Replica>> replicas;
        std::mt19937_64 random{11};
        Policy policy;
        Outcome outcome;

        Duration drawWork()
        {
            std::lognormal_distribution<double> spread(0, 0.35);
            return Duration(static_cast<int64_t>(7500 * spread(random)));
        }
    };

    struct Query : std::enable_shared_from_this<Query>
    {
        explicit Query(World &worldOf)
            : world(worldOf)
            , started(worldOf.time.now())
        {
        }

        void start(size_t leastParts)
        {
            ScatterPlan plan;
            for (uint32_t shard = 0; shard < kShards; ++shard) {
                plan.shards.emplace_back(std::to_string(shard));
                world.budgets.try_emplace(std::to_string(shard), 0.17, 6).first->second.noteFirst(started, 1);
            }
            plan.leastParts = leastParts;
            plan.attempts = 2;
            plan.idempotent = true;
            plan.answerBy = started + kTarget;
            plan.deadline = started + 400ms;
            plan.hedgeAfter = world.policy.hedges ? Duration(13ms) : Duration(1h);
            ScatterHooks hooks;
            hooks.choose = [this](const ServiceName &service, const auto &tried) { return choose(service, tried); };
            hooks.takeExtra = [this](const ServiceName &service) {
                return world.budgets.at(service.value()).takeExtra(world.time.now());
            };
            hooks.overdue = [this](const UpstreamId &id) { world.book.overdue(id); };
            run.emplace(std::move(plan), std::move(hooks));
            ++world.outcome.asked;
            carryOut(run->start(started));
        }

        std::optional<ReplicaChoice> choose(const ServiceName &service, const std::vector<UpstreamId> &tried)
        {
            std::vector<ReplicaBook::Candidate> candidates;
            for (uint32_t replica = 0; replica < kReplicas; ++replica) {
                ReplicaBook::Candidate candidate;
                candidate.id = UpstreamId(service.value() + '/' + std::to_string(replica));
                if (std::find(tried.begin(), tried.end(), candidate.id) == tried.end())
                    candidates.push_back(candidate);
            }
            if (candidates.empty())
                return std::nullopt;
            const TimePoint now = world.time.now();
            const size_t best =
                world.policy.learns ? world.book.best(now, candidates) : world.random() % candidates.size();
            return ReplicaChoice{candidates[best].id,
                                 world.policy.leavesOut && world.book.isDoubtful(now, candidates[best].id)};
        }

        void carryOut(const ScatterActions &actions)
        {
            for (const SendAttempt &attempt : actions.sends) {
                world.book.sent(attempt.upstream);
                const TimePoint sentAt = world.time.now();
                world.replicas.at(attempt.upstream.value())
                    ->send(world.drawWork(), [self = shared_from_this(), attempt, sentAt](AttemptOutcome outcome) {
                        self->ended(attempt, sentAt, outcome);
                    });
            }
            if (actions.end && !finished) {
                finished = true;
                world.outcome.whole += *actions.end == ScatterEnd::Complete ? 1 : 0;
                const bool answered = *actions.end == ScatterEnd::Complete || *actions.end == ScatterEnd::Partial;
                world.outcome.inTime += answered && world.time.now() - started <= kTarget ? 1 : 0;
            }
            if (!finished)
                world.time.at(run->nextWake(world.time.now()), [self = shared_from_this()] {
                    if (!self->finished)
                        self->carryOut(self->run->tick(self->world.time.now()));
                });
        }

        void ended(const SendAttempt &attempt, TimePoint sentAt, AttemptOutcome outcome)
        {
            const TimePoint now = world.time.now();
            const double ratio = toMilliseconds(now - sentAt) / 8;
            world.book.ended(now, attempt.upstream, outcome, ratio, run->wasOverdue(attempt.key));
            const ScatterActions actions = run->ended(now, attempt.key, outcome);
            if (!finished)
                carryOut(actions);
        }

        World &world;
        TimePoint started;
        std::optional<ScatterRun> run;
        bool finished = false;
    };

    /** slowness and down by "shard/replica"; all others are sound. */
    static Outcome play(Policy policy, const std::map<std::string, double> &slowness, const std::set<std::string> &down,
                        size_t leastParts)
    {
        const auto world = std::make_unique<World>();
        world->policy = policy;
        for (uint32_t shard = 0; shard < kShards; ++shard)
            for (uint32_t replica = 0; replica < kReplicas; ++replica) {
                const std::string name = std::to_string(shard) + '/' + std::to_string(replica);
                const Duration pauseAt((shard * kReplicas + replica) * 79ms);
                const double slow = slowness.contains(name) ? slowness.at(name) : 1;
                world->replicas[name] = std::make_unique<Replica>(world->time, slow, down.contains(name), pauseAt);
            }
        const TimePoint start = world->time.now();
        for (Duration at = kBetween; at < kLength; at += kBetween)
            world->time.at(start + at, [&world, leastParts] { std::make_shared<Query>(*world)->start(leastParts); });
        world->time.runUntil(start + kLength + 2s);
        return world->outcome;
    }

public:
    void load_replicasPause_fewerLateThanWithoutHedges()
    {
        const Outcome plain = play({false, false, false}, {}, {}, kShards);
        const Outcome ours = play({}, {}, {}, kShards);
        // The load bites at all, and half of the baseline's misses at most are left.
        CPPUNIT_ASSERT(10 * plain.inTime < 9 * plain.asked);
        CPPUNIT_ASSERT(2 * (ours.asked - ours.inTime) <= plain.asked - plain.inTime);
    }

    void load_oneShardOverrun_moreInTimeThanWaitingForIt()
    {
        const std::map<std::string, double> slow = {{"4/0", 9}};
        const std::set<std::string> down = {"4/1", "4/2"};
        const Outcome waits = play({true, false, true}, slow, down, kShards);
        const Outcome ours = play({}, slow, down, kShards - 1);
        CPPUNIT_ASSERT(ours.inTime > 2 * waits.inTime);
        // All but the few that meet a pause elsewhere as well.
        CPPUNIT_ASSERT(10 * ours.inTime >= 9 * ours.asked);
    }

    void load_oneReplicaSlow_isAvoided()
    {
        const std::map<std::string, double> slow = {{"2/1", 8}, {"5/0", 8}};
        const Outcome blind = play({true, true, false}, slow, {}, kShards);
        const Outcome ours = play({}, slow, {}, kShards);
        CPPUNIT_ASSERT(20 * blind.inTime < 19 * blind.asked);
        CPPUNIT_ASSERT(ours.whole >= blind.whole);
        CPPUNIT_ASSERT(2 * (ours.asked - ours.inTime) <= blind.asked - blind.inTime);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorstLoadTest);
