#include "hickoryspur/process/Check.h"
#include "hickoryspur/request/ScatterRun.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace hickoryspur;

class ScatterRunFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScatterRunFailureTest);
    CPPUNIT_TEST(scatter_replicaStandsStill_isHedgedOnAnother);
    CPPUNIT_TEST(scatter_budgetEmpty_sendsNothingExtra);
    CPPUNIT_TEST(scatter_partMissingAtTarget_answersWithTheRest);
    CPPUNIT_TEST(scatter_tooFewAtTarget_waitsForEnough);
    CPPUNIT_TEST(scatter_tooFewShardsReachable_isRefusedBeforeAnythingRuns);
    CPPUNIT_TEST(scatter_shardCannotAnswerAnyMore_failsAtOnce);
    CPPUNIT_TEST(scatter_overrunShard_isLeftOut);
    CPPUNIT_TEST(scatter_overrunShardIsNeeded_isAskedAfterAll);
    CPPUNIT_TEST(scatter_notIdempotentFails_isNotSentAgain);
    CPPUNIT_TEST(scatter_notIdempotentOverdue_isNotHedged);
    CPPUNIT_TEST(scatter_notIdempotentRefused_isSentToAnother);
    CPPUNIT_TEST(scatter_everyoneRefuses_saysNotRun);
    CPPUNIT_TEST(scatter_oneMayHaveRun_doesNotSayNotRun);
    CPPUNIT_TEST(scatter_attemptsUsed_noFurtherReplicaRuns);
    CPPUNIT_TEST(scatter_unreachableReplicas_doNotUseAttemptsOrBudget);
    CPPUNIT_TEST(scatter_deadlinePasses_ends);
    CPPUNIT_TEST_SUITE_END();

    ScatterPlan plan(size_t shards, size_t least, bool idempotent = true) const
    {
        ScatterPlan plan;
        for (size_t i = 0; i < shards; ++i)
            plan.shards.emplace_back("shard" + std::to_string(i));
        plan.leastParts = least;
        plan.attempts = 2;
        plan.idempotent = idempotent;
        plan.answerBy = m_now + 70ms;
        plan.deadline = m_now + 400ms;
        plan.hedgeAfter = 10ms;
        return plan;
    }

    ScatterHooks hooks()
    {
        ScatterHooks hooks;
        hooks.choose = [this](const ServiceName &service,
                              const std::vector<UpstreamId> &tried) -> std::optional<ReplicaChoice> {
            if (m_unreachable.contains(service.value()))
                return std::nullopt;
            for (const char *replica : {"a", "b", "c"}) {
                const UpstreamId id(service.value() + replica);
                if (std::find(tried.begin(), tried.end(), id) == tried.end())
                    return ReplicaChoice{id, m_doubtful.contains(service.value())};
            }
            return std::nullopt;
        };
        hooks.takeExtra = [this](const ServiceName &) { return m_budget-- > 0; };
        hooks.overdue = [this](const UpstreamId &id) { m_overdue.insert(id.value()); };
        return hooks;
    }

public:
    void scatter_replicaStandsStill_isHedgedOnAnother()
    {
        ScatterRun run(plan(2, 2), hooks());
        CPPUNIT_ASSERT_EQUAL(size_t(2), run.start(m_now).sends.size());
        run.ended(m_now + 5ms, {0, 0}, AttemptOutcome::Answered);
        CPPUNIT_ASSERT(run.tick(m_now + 9ms).sends.empty());
        CPPUNIT_ASSERT(run.nextWake(m_now + 9ms) == m_now + 10ms);
        const ScatterActions hedge = run.tick(m_now + 10ms);
        CPPUNIT_ASSERT_EQUAL(size_t(1), hedge.sends.size());
        CPPUNIT_ASSERT_EQUAL(UpstreamId("shard1b"), hedge.sends.front().upstream);
        CPPUNIT_ASSERT(m_overdue.contains("shard1a"));
        CPPUNIT_ASSERT(run.ended(m_now + 15ms, {1, 1}, AttemptOutcome::Answered).end == ScatterEnd::Complete);
        CPPUNIT_ASSERT(!run.ended(m_now + 100ms, {1, 0}, AttemptOutcome::Answered).end);
    }

    void scatter_budgetEmpty_sendsNothingExtra()
    {
        m_budget = 0;
        ScatterRun run(plan(1, 1), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT(run.tick(m_now + 20ms).sends.empty());
        CPPUNIT_ASSERT(run.ended(m_now + 30ms, {0, 0}, AttemptOutcome::Answered).end == ScatterEnd::Complete);
    }

    void scatter_partMissingAtTarget_answersWithTheRest()
    {
        ScatterRun run(plan(3, 2), hooks());
        run.start(m_now);
        run.ended(m_now + 5ms, {0, 0}, AttemptOutcome::Answered);
        CPPUNIT_ASSERT(!run.ended(m_now + 6ms, {1, 0}, AttemptOutcome::Answered).end);
        CPPUNIT_ASSERT(!run.tick(m_now + 69ms).end);
        CPPUNIT_ASSERT(run.tick(m_now + 70ms).end == ScatterEnd::Partial);
    }

    void scatter_tooFewAtTarget_waitsForEnough()
    {
        ScatterRun run(plan(3, 2), hooks());
        run.start(m_now);
        run.ended(m_now + 5ms, {0, 0}, AttemptOutcome::Answered);
        CPPUNIT_ASSERT(!run.tick(m_now + 90ms).end);
        CPPUNIT_ASSERT(run.ended(m_now + 95ms, {1, 0}, AttemptOutcome::Answered).end == ScatterEnd::Partial);
    }

    void scatter_tooFewShardsReachable_isRefusedBeforeAnythingRuns()
    {
        m_unreachable = {"shard0", "shard1"};
        ScatterRun run(plan(3, 2), hooks());
        const ScatterActions actions = run.start(m_now);
        CPPUNIT_ASSERT(actions.end == ScatterEnd::NotRun);
        CPPUNIT_ASSERT(actions.sends.empty());
        CPPUNIT_ASSERT(run.surelyNotRun());
    }

    void scatter_shardCannotAnswerAnyMore_failsAtOnce()
    {
        m_budget = 0;
        ScatterRun run(plan(3, 3), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT(run.ended(m_now + 5ms, {1, 0}, AttemptOutcome::Failed).end == ScatterEnd::Failed);
    }

    void scatter_overrunShard_isLeftOut()
    {
        m_doubtful = {"shard1"};
        ScatterRun run(plan(3, 2), hooks());
        CPPUNIT_ASSERT_EQUAL(size_t(2), run.start(m_now).sends.size());
        run.ended(m_now + 5ms, {0, 0}, AttemptOutcome::Answered);
        CPPUNIT_ASSERT(run.ended(m_now + 6ms, {2, 0}, AttemptOutcome::Answered).end == ScatterEnd::Partial);
    }

    void scatter_overrunShardIsNeeded_isAskedAfterAll()
    {
        m_doubtful = {"shard1"};
        m_budget = 0;
        ScatterRun run(plan(3, 2), hooks());
        run.start(m_now);
        const ScatterActions actions = run.ended(m_now + 5ms, {0, 0}, AttemptOutcome::Failed);
        CPPUNIT_ASSERT(!actions.end);
        CPPUNIT_ASSERT_EQUAL(size_t(1), actions.sends.size());
        CPPUNIT_ASSERT_EQUAL(1U, actions.sends.front().key.shard);
    }

    void scatter_notIdempotentFails_isNotSentAgain()
    {
        ScatterRun run(plan(1, 1, false), hooks());
        run.start(m_now);
        const ScatterActions actions = run.ended(m_now + 5ms, {0, 0}, AttemptOutcome::Failed);
        CPPUNIT_ASSERT(actions.sends.empty());
        CPPUNIT_ASSERT(actions.end == ScatterEnd::Failed);
    }

    void scatter_notIdempotentOverdue_isNotHedged()
    {
        ScatterRun run(plan(1, 1, false), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT(run.tick(m_now + 200ms).sends.empty());
    }

    void scatter_notIdempotentRefused_isSentToAnother()
    {
        ScatterRun run(plan(1, 1, false), hooks());
        run.start(m_now);
        const ScatterActions actions = run.ended(m_now + 5ms, {0, 0}, AttemptOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(size_t(1), actions.sends.size());
        CPPUNIT_ASSERT_EQUAL(UpstreamId("shard0b"), actions.sends.front().upstream);
    }

    void scatter_everyoneRefuses_saysNotRun()
    {
        ScatterRun run(plan(1, 1, false), hooks());
        run.start(m_now);
        run.ended(m_now + 1ms, {0, 0}, AttemptOutcome::Refused);
        run.ended(m_now + 2ms, {0, 1}, AttemptOutcome::Refused);
        CPPUNIT_ASSERT(run.ended(m_now + 3ms, {0, 2}, AttemptOutcome::Unsent).end == ScatterEnd::NotRun);
    }

    void scatter_oneMayHaveRun_doesNotSayNotRun()
    {
        m_budget = 0;
        ScatterRun run(plan(2, 2), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT(run.ended(m_now + 1ms, {0, 0}, AttemptOutcome::Refused).end == ScatterEnd::Failed);
        CPPUNIT_ASSERT(!run.surelyNotRun());
    }

    void scatter_attemptsUsed_noFurtherReplicaRuns()
    {
        ScatterRun run(plan(1, 1), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT_EQUAL(size_t(1), run.ended(m_now + 1ms, {0, 0}, AttemptOutcome::Failed).sends.size());
        const ScatterActions actions = run.ended(m_now + 2ms, {0, 1}, AttemptOutcome::Failed);
        CPPUNIT_ASSERT(actions.sends.empty());
        CPPUNIT_ASSERT(actions.end == ScatterEnd::Failed);
    }

    void scatter_unreachableReplicas_doNotUseAttemptsOrBudget()
    {
        m_budget = 0;
        ScatterRun run(plan(1, 1), hooks());
        run.start(m_now);
        run.ended(m_now + 1ms, {0, 0}, AttemptOutcome::Unsent);
        const ScatterActions actions = run.ended(m_now + 2ms, {0, 1}, AttemptOutcome::Unsent);
        CPPUNIT_ASSERT_EQUAL(size_t(1), actions.sends.size());
        CPPUNIT_ASSERT_EQUAL(UpstreamId("shard0c"), actions.sends.front().upstream);
    }

    void scatter_deadlinePasses_ends()
    {
        ScatterRun run(plan(3, 2), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT(run.tick(m_now + 400ms).end == ScatterEnd::TimedOut);
    }

private:
    TimePoint m_now{1000s};
    int m_budget = 10;
    std::set<std::string> m_unreachable;
    std::set<std::string> m_doubtful;
    std::set<std::string> m_overdue;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScatterRunFailureTest);
