#include "hickoryspur/process/Check.h"
#include "hickoryspur/request/ScatterGather.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace hickoryspur;

/**
 * Guards ScatterGather against replicas that stall, fail, refuse or cannot be reached: answers must not wait
 * for a stalled shard, extra sub-requests must stay within the budget, and a request that is not idempotent
 * must not run twice. The hooks stand in for three replicas per shard.
 */
class ScatterGatherFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScatterGatherFailureTest);
    CPPUNIT_TEST(scatter_replicaStalls_isHedgedOnAnother);
    CPPUNIT_TEST(scatter_budgetExhausted_sendsNoExtraSubRequest);
    CPPUNIT_TEST(scatter_partMissingAtTargetTime_givesPartialAnswer);
    CPPUNIT_TEST(scatter_tooFewPartsAtTargetTime_waitsForMinParts);
    CPPUNIT_TEST(scatter_tooFewShardsReachable_isRefusedBeforeAnythingRuns);
    CPPUNIT_TEST(scatter_neededShardLost_failsAtOnce);
    CPPUNIT_TEST(scatter_degradedShard_isSkipped);
    CPPUNIT_TEST(scatter_skippedShardNeeded_isSentTo);
    CPPUNIT_TEST(scatter_notIdempotentFails_isNotSentAgain);
    CPPUNIT_TEST(scatter_notIdempotentOverdue_isNotHedged);
    CPPUNIT_TEST(scatter_notIdempotentRefused_isSentToAnotherReplica);
    CPPUNIT_TEST(scatter_everyReplicaRefuses_endsAsNotRun);
    CPPUNIT_TEST(scatter_oneAttemptMayHaveRun_endsAsFailed);
    CPPUNIT_TEST(scatter_maxAttemptsUsed_sendsToNoFurtherReplica);
    CPPUNIT_TEST(scatter_unreachableReplicas_doNotUseAttemptsOrBudget);
    CPPUNIT_TEST(scatter_replicaPausedBeforeTheSend_isSentElsewhereWithoutBudget);
    CPPUNIT_TEST(scatter_replicaLeavesWhileShardIsHeld_isNotSentToIt);
    CPPUNIT_TEST(scatter_deadlinePassed_timesOut);
    CPPUNIT_TEST(scatter_upstreamsEndUnderIt_noOtherReplicaGetsIt);
    CPPUNIT_TEST(scatter_allConnectionsEnded_isServedByOtherReplicas);
    CPPUNIT_TEST(scatter_upstreamLostAfterAnAnswer_isSentToAnotherReplica);
    CPPUNIT_TEST(scatter_lostBeforeAnythingWasSent_endsAsNotRun);
    CPPUNIT_TEST(scatter_lostAfterOneWasSent_endsAsFailed);
    CPPUNIT_TEST(scatter_probeNotSent_probesAnotherShard);
    CPPUNIT_TEST(scatter_probeAnswered_isSentToAllShards);
    CPPUNIT_TEST_SUITE_END();

    ScatterPlan plan(size_t shards, size_t minParts, bool idempotent = true) const
    {
        ScatterPlan plan;
        for (size_t i = 0; i < shards; ++i)
            plan.shards.emplace_back("shard" + std::to_string(i));
        plan.minParts = minParts;
        plan.maxAttempts = 2;
        plan.idempotent = idempotent;
        plan.targetTime = m_now + 70ms;
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
                    return ReplicaChoice{id, m_degraded.contains(service.value())};
            }
            return std::nullopt;
        };
        hooks.tryConsumeBudget = [this](const ServiceName &) { return m_budget-- > 0; };
        hooks.reportOverdue = [this](const UpstreamId &id) { m_overdue.insert(id.value()); };
        return hooks;
    }

public:
    void scatter_replicaStalls_isHedgedOnAnother()
    {
        ScatterGather run(plan(2, 2), hooks());
        CPPUNIT_ASSERT_EQUAL(size_t(2), run.start(m_now).sends.size());
        run.attemptEnded(m_now + 5ms, {0, 0}, AttemptOutcome::Answered);
        CPPUNIT_ASSERT(run.tick(m_now + 9ms).sends.empty());
        CPPUNIT_ASSERT(run.nextWake(m_now + 9ms) == m_now + 10ms);
        const ScatterActions hedge = run.tick(m_now + 10ms);
        CPPUNIT_ASSERT_EQUAL(size_t(1), hedge.sends.size());
        CPPUNIT_ASSERT_EQUAL(UpstreamId("shard1b"), hedge.sends.front().upstream);
        CPPUNIT_ASSERT(m_overdue.contains("shard1a"));
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 15ms, {1, 1}, AttemptOutcome::Answered).outcome
                       == ScatterOutcome::Complete);
        CPPUNIT_ASSERT(!run.attemptEnded(m_now + 100ms, {1, 0}, AttemptOutcome::Answered).outcome);
    }

    void scatter_budgetExhausted_sendsNoExtraSubRequest()
    {
        m_budget = 0;
        ScatterGather run(plan(1, 1), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT(run.tick(m_now + 20ms).sends.empty());
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 30ms, {0, 0}, AttemptOutcome::Answered).outcome
                       == ScatterOutcome::Complete);
    }

    void scatter_partMissingAtTargetTime_givesPartialAnswer()
    {
        ScatterGather run(plan(3, 2), hooks());
        run.start(m_now);
        run.attemptEnded(m_now + 5ms, {0, 0}, AttemptOutcome::Answered);
        CPPUNIT_ASSERT(!run.attemptEnded(m_now + 6ms, {1, 0}, AttemptOutcome::Answered).outcome);
        CPPUNIT_ASSERT(!run.tick(m_now + 69ms).outcome);
        CPPUNIT_ASSERT(run.tick(m_now + 70ms).outcome == ScatterOutcome::Partial);
    }

    void scatter_tooFewPartsAtTargetTime_waitsForMinParts()
    {
        ScatterGather run(plan(3, 2), hooks());
        run.start(m_now);
        run.attemptEnded(m_now + 5ms, {0, 0}, AttemptOutcome::Answered);
        CPPUNIT_ASSERT(!run.tick(m_now + 90ms).outcome);
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 95ms, {1, 0}, AttemptOutcome::Answered).outcome
                       == ScatterOutcome::Partial);
    }

    void scatter_tooFewShardsReachable_isRefusedBeforeAnythingRuns()
    {
        m_unreachable = {"shard0", "shard1"};
        ScatterGather run(plan(3, 2), hooks());
        const ScatterActions actions = run.start(m_now);
        CPPUNIT_ASSERT(actions.outcome == ScatterOutcome::NotRun);
        CPPUNIT_ASSERT(actions.sends.empty());
        CPPUNIT_ASSERT(run.provablyNotRun());
    }

    void scatter_neededShardLost_failsAtOnce()
    {
        m_budget = 0;
        ScatterGather run(plan(3, 3), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 5ms, {1, 0}, AttemptOutcome::Failed).outcome == ScatterOutcome::Failed);
    }

    void scatter_degradedShard_isSkipped()
    {
        m_degraded = {"shard1"};
        ScatterGather run(plan(3, 2), hooks());
        CPPUNIT_ASSERT_EQUAL(size_t(2), run.start(m_now).sends.size());
        run.attemptEnded(m_now + 5ms, {0, 0}, AttemptOutcome::Answered);
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 6ms, {2, 0}, AttemptOutcome::Answered).outcome
                       == ScatterOutcome::Partial);
    }

    void scatter_skippedShardNeeded_isSentTo()
    {
        m_degraded = {"shard1"};
        m_budget = 0;
        ScatterGather run(plan(3, 2), hooks());
        run.start(m_now);
        const ScatterActions actions = run.attemptEnded(m_now + 5ms, {0, 0}, AttemptOutcome::Failed);
        CPPUNIT_ASSERT(!actions.outcome);
        CPPUNIT_ASSERT_EQUAL(size_t(1), actions.sends.size());
        CPPUNIT_ASSERT_EQUAL(1U, actions.sends.front().key.shard);
    }

    void scatter_notIdempotentFails_isNotSentAgain()
    {
        ScatterGather run(plan(1, 1, false), hooks());
        run.start(m_now);
        const ScatterActions actions = run.attemptEnded(m_now + 5ms, {0, 0}, AttemptOutcome::Failed);
        CPPUNIT_ASSERT(actions.sends.empty());
        CPPUNIT_ASSERT(actions.outcome == ScatterOutcome::Failed);
    }

    void scatter_notIdempotentOverdue_isNotHedged()
    {
        ScatterGather run(plan(1, 1, false), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT(run.tick(m_now + 200ms).sends.empty());
    }

    void scatter_notIdempotentRefused_isSentToAnotherReplica()
    {
        ScatterGather run(plan(1, 1, false), hooks());
        run.start(m_now);
        const ScatterActions actions = run.attemptEnded(m_now + 5ms, {0, 0}, AttemptOutcome::Refused);
        CPPUNIT_ASSERT_EQUAL(size_t(1), actions.sends.size());
        CPPUNIT_ASSERT_EQUAL(UpstreamId("shard0b"), actions.sends.front().upstream);
    }

    void scatter_everyReplicaRefuses_endsAsNotRun()
    {
        ScatterGather run(plan(1, 1, false), hooks());
        run.start(m_now);
        run.attemptEnded(m_now + 1ms, {0, 0}, AttemptOutcome::Refused);
        run.attemptEnded(m_now + 2ms, {0, 1}, AttemptOutcome::Refused);
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 3ms, {0, 2}, AttemptOutcome::NotSent).outcome
                       == ScatterOutcome::NotRun);
    }

    void scatter_oneAttemptMayHaveRun_endsAsFailed()
    {
        m_budget = 0;
        ScatterGather run(plan(2, 2), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 1ms, {0, 0}, AttemptOutcome::Refused).outcome
                       == ScatterOutcome::Failed);
        CPPUNIT_ASSERT(!run.provablyNotRun());
    }

    void scatter_replicaPausedBeforeTheSend_isSentElsewhereWithoutBudget()
    {
        m_budget = 0;
        ScatterGather run(plan(1, 1, false), hooks());
        run.start(m_now);
        const ScatterActions actions = run.attemptEnded(m_now + 1ms, {0, 0}, AttemptOutcome::Withheld);
        CPPUNIT_ASSERT_EQUAL(size_t(1), actions.sends.size());
        run.attemptEnded(m_now + 2ms, {0, 1}, AttemptOutcome::Withheld);
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 3ms, {0, 2}, AttemptOutcome::Withheld).outcome
                       == ScatterOutcome::NotRun);
    }

    void scatter_maxAttemptsUsed_sendsToNoFurtherReplica()
    {
        ScatterGather run(plan(1, 1), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT_EQUAL(size_t(1), run.attemptEnded(m_now + 1ms, {0, 0}, AttemptOutcome::Failed).sends.size());
        const ScatterActions actions = run.attemptEnded(m_now + 2ms, {0, 1}, AttemptOutcome::Failed);
        CPPUNIT_ASSERT(actions.sends.empty());
        CPPUNIT_ASSERT(actions.outcome == ScatterOutcome::Failed);
    }

    void scatter_unreachableReplicas_doNotUseAttemptsOrBudget()
    {
        m_budget = 0;
        ScatterGather run(plan(1, 1), hooks());
        run.start(m_now);
        run.attemptEnded(m_now + 1ms, {0, 0}, AttemptOutcome::NotSent);
        const ScatterActions actions = run.attemptEnded(m_now + 2ms, {0, 1}, AttemptOutcome::NotSent);
        CPPUNIT_ASSERT_EQUAL(size_t(1), actions.sends.size());
        CPPUNIT_ASSERT_EQUAL(UpstreamId("shard0c"), actions.sends.front().upstream);
    }

    /** Otherwise one request ends every replica of every shard. */
    void scatter_upstreamsEndUnderIt_noOtherReplicaGetsIt()
    {
        ScatterGather run(plan(3, 2), hooks());
        CPPUNIT_ASSERT_EQUAL(size_t(3), run.start(m_now).sends.size());
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 5ms, {0, 0}, AttemptOutcome::Lost).sends.empty());
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 5ms, {1, 0}, AttemptOutcome::Lost).sends.empty());
        // Nothing runs any more: one replica is probed, and no other one gets the request when that ends too.
        const ScatterActions probe = run.attemptEnded(m_now + 6ms, {2, 0}, AttemptOutcome::Lost);
        CPPUNIT_ASSERT_EQUAL(size_t(1), probe.sends.size());
        CPPUNIT_ASSERT(probe.sends.front().isProbe);
        CPPUNIT_ASSERT(!probe.outcome);
        const ScatterActions last = run.attemptEnded(m_now + 8ms, probe.sends.front().key, AttemptOutcome::Lost);
        CPPUNIT_ASSERT(last.sends.empty());
        CPPUNIT_ASSERT(last.outcome == ScatterOutcome::Failed);
    }

    /** As after a pause in which all upstreams have closed their connections for idleness. */
    void scatter_allConnectionsEnded_isServedByOtherReplicas()
    {
        ScatterGather run(plan(3, 3), hooks());
        run.start(m_now);
        ScatterActions actions;
        for (uint32_t shard = 0; shard < 3; ++shard)
            actions = run.attemptEnded(m_now + 1ms, {shard, 0}, AttemptOutcome::Lost);
        CPPUNIT_ASSERT_EQUAL(size_t(1), actions.sends.size());
        const AttemptKey probe = actions.sends.front().key;
        actions = run.attemptEnded(m_now + 4ms, probe, AttemptOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(size_t(2), actions.sends.size());
        for (const SendAttempt &send : std::vector<SendAttempt>(actions.sends)) {
            CPPUNIT_ASSERT(!send.isProbe);
            actions = run.attemptEnded(m_now + 7ms, send.key, AttemptOutcome::Answered);
        }
        CPPUNIT_ASSERT(actions.outcome == ScatterOutcome::Complete);
    }

    void scatter_upstreamLostAfterAnAnswer_isSentToAnotherReplica()
    {
        ScatterGather run(plan(3, 3), hooks());
        run.start(m_now);
        run.attemptEnded(m_now + 4ms, {1, 0}, AttemptOutcome::Answered);
        const ScatterActions actions = run.attemptEnded(m_now + 5ms, {0, 0}, AttemptOutcome::Lost);
        CPPUNIT_ASSERT_EQUAL(size_t(1), actions.sends.size());
        CPPUNIT_ASSERT_EQUAL(UpstreamId("shard0b"), actions.sends.front().upstream);
    }

    /** A caller may send again a request that has not run, whatever it is; after a failure it may not. */
    void scatter_lostBeforeAnythingWasSent_endsAsNotRun()
    {
        ScatterHooks unsent = hooks();
        size_t withdrawn = 0;
        unsent.tryWithdraw = [&](AttemptKey) { return ++withdrawn > 0; };
        ScatterGather run(plan(3, 3), unsent);
        run.start(m_now);
        ScatterActions actions;
        for (uint32_t attempt = 0; attempt < 3; ++attempt)
            actions = run.attemptEnded(m_now + 1ms, {0, attempt}, AttemptOutcome::NotSent);
        CPPUNIT_ASSERT(actions.outcome == ScatterOutcome::NotRun);
        CPPUNIT_ASSERT_EQUAL(size_t(2), withdrawn);
        CPPUNIT_ASSERT(run.provablyNotRun());
    }

    void scatter_lostAfterOneWasSent_endsAsFailed()
    {
        ScatterHooks oneSent = hooks();
        oneSent.tryWithdraw = [](AttemptKey key) { return key.shard != 1; };
        ScatterGather run(plan(3, 3), oneSent);
        run.start(m_now);
        ScatterActions actions;
        for (uint32_t attempt = 0; attempt < 3; ++attempt)
            actions = run.attemptEnded(m_now + 1ms, {0, attempt}, AttemptOutcome::NotSent);
        CPPUNIT_ASSERT(actions.outcome == ScatterOutcome::Failed);
    }

    void scatter_probeNotSent_probesAnotherShard()
    {
        ScatterPlan probe = plan(3, 2);
        probe.probesFirst = true;
        ScatterGather run(probe, hooks());
        CPPUNIT_ASSERT_EQUAL(size_t(1), run.start(m_now).sends.size());
        size_t tries = 0;
        ScatterActions actions;
        for (AttemptKey key{0, 0}; key.shard == 0; ++tries) {
            actions = run.attemptEnded(m_now + 1ms, key, AttemptOutcome::NotSent);
            CPPUNIT_ASSERT_EQUAL(size_t(1), actions.sends.size());
            key = actions.sends.front().key;
        }
        CPPUNIT_ASSERT_EQUAL(size_t(3), tries);
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 2ms, {1, 0}, AttemptOutcome::Lost).outcome == ScatterOutcome::Failed);
    }

    void scatter_probeAnswered_isSentToAllShards()
    {
        ScatterPlan probe = plan(3, 3);
        probe.probesFirst = true;
        ScatterGather run(probe, hooks());
        CPPUNIT_ASSERT_EQUAL(size_t(1), run.start(m_now).sends.size());
        CPPUNIT_ASSERT(run.tick(m_now + 20ms).sends.empty());
        CPPUNIT_ASSERT_EQUAL(size_t(2), run.attemptEnded(m_now + 25ms, {0, 0}, AttemptOutcome::Answered).sends.size());
        run.attemptEnded(m_now + 30ms, {1, 0}, AttemptOutcome::Answered);
        CPPUNIT_ASSERT(run.attemptEnded(m_now + 31ms, {2, 0}, AttemptOutcome::Answered).outcome
                       == ScatterOutcome::Complete);
    }

    // A shard that was held until the probe's answer went to the upstream chosen at the start, which had left by then.
    void scatter_replicaLeavesWhileShardIsHeld_isNotSentToIt()
    {
        ScatterPlan probe = plan(2, 1);
        probe.probesFirst = true;
        ScatterGather run(probe, hooks());
        run.start(m_now);
        m_unreachable = {"shard1"};
        const ScatterActions actions = run.attemptEnded(m_now + 25ms, {0, 0}, AttemptOutcome::Answered);
        CPPUNIT_ASSERT(actions.sends.empty());
        CPPUNIT_ASSERT(actions.outcome == ScatterOutcome::Partial);
    }

    void scatter_deadlinePassed_timesOut()
    {
        ScatterGather run(plan(3, 2), hooks());
        run.start(m_now);
        CPPUNIT_ASSERT(run.tick(m_now + 400ms).outcome == ScatterOutcome::TimedOut);
    }

private:
    TimePoint m_now{1000s};
    int m_budget = 10;
    std::set<std::string> m_unreachable;
    std::set<std::string> m_degraded;
    std::set<std::string> m_overdue;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScatterGatherFailureTest);
