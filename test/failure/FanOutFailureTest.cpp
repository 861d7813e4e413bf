#include "hickoryspur/request/FanOut.h"
#include "hickoryspur/request/RetryBudget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

/**
 * Guards FanOut against stragglers, lost replicas, mismatched replies and vanished snapshots: answers must
 * report their true coverage, come from one snapshot and claim "not run" only if no upstream may have run
 * the query, and extra sub-requests must stay within the budget.
 */
class FanOutFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FanOutFailureTest);
    CPPUNIT_TEST(query_stragglerShard_isAnsweredByItsHedge);
    CPPUNIT_TEST(query_replyToHedgeAndOriginal_countsOnce);
    CPPUNIT_TEST(query_lateReply_isDroppedAndCounted);
    CPPUNIT_TEST(query_replyOfAnotherSnapshot_isDiscardedAndRetriedOnAnotherReplica);
    CPPUNIT_TEST(query_snapshotGoneOnEveryReplica_restartsOnNewerSnapshot);
    CPPUNIT_TEST(query_shardMapReplaced_answersOnlyFromNewMap);
    CPPUNIT_TEST(query_everyReplicaOfAShardLost_reportsItMissing);
    CPPUNIT_TEST(query_minCoverageOutOfReach_cancelsOtherSubRequests);
    CPPUNIT_TEST(query_laterShardLostAndFullCoverageRequired_sendsNothing);
    CPPUNIT_TEST(query_everythingFails_staysWithinTheBudget);
    CPPUNIT_TEST(query_subRequestNotSent_isResentWithoutUsingTheBudget);
    CPPUNIT_TEST(query_everySubRequestShed_reportsNotRun);
    CPPUNIT_TEST(query_oneOutcomeUnknown_doesNotReportNotRun);
    CPPUNIT_TEST(query_deadlinePassed_reportsTrueCoverage);
    CPPUNIT_TEST_SUITE_END();

    static constexpr uint32_t kShards = 4;

    static QueryPlan plan(uint64_t generation, uint64_t snapshot, uint32_t shards, uint32_t replicas)
    {
        QueryPlan result;
        result.generation = MapGeneration(generation);
        result.snapshot = SnapshotId(snapshot);
        result.shardCount = shards;
        result.candidates.resize(shards);
        for (uint32_t shard = 0; shard < shards; ++shard)
            for (uint32_t replica = 0; replica < replicas; ++replica)
                result.candidates[shard].push_back(shard * replicas + replica);
        return result;
    }

    FanOutHooks hooks()
    {
        FanOutHooks result;
        result.nextId = [this] { return SubRequestId(++m_lastId); };
        result.hedgeDelay = [](uint32_t) { return Duration(10ms); };
        result.tryConsumeBudget = [this](TimePoint) { return ++m_extraRequests > 0 && m_isExtraAllowed; };
        result.cost = [](uint32_t) { return 1.0; };
        result.replan = [this](TimePoint, SnapshotId) { return m_otherPlan; };
        return result;
    }

    FanOut make(const QueryPlan &queryPlan, double minCoverage = 0)
    {
        FanOutConfig config;
        config.plan = queryPlan;
        config.deadline = m_now + 340ms;
        config.minCoverage = minCoverage;
        return FanOut(std::move(config), hooks());
    }

    static SubReply replyTo(const FanOutSend &send, SubOutcome outcome = SubOutcome::Ok)
    {
        SubReply reply;
        reply.id = send.id;
        reply.outcome = static_cast<uint8_t>(outcome);
        reply.shard = send.shard;
        reply.generation = send.generation;
        reply.snapshot = send.snapshot;
        reply.body = "{}";
        return reply;
    }

    /** Replies to all of these, and to the sends that follow, with one outcome; returns the answer if there is one. */
    std::optional<FanOutAnswer> replyAll(FanOut &query, std::vector<FanOutSend> sends, SubOutcome outcome)
    {
        std::optional<FanOutAnswer> answer;
        for (size_t i = 0; i < sends.size() && !answer; ++i) {
            FanOutActions actions = query.reply(m_now, replyTo(sends[i], outcome));
            sends.insert(sends.end(), actions.sends.begin(), actions.sends.end());
            answer = std::move(actions.answer);
        }
        return answer;
    }

public:
    void setUp() override
    {
        m_lastId = 0;
        m_extraRequests = 0;
        m_isExtraAllowed = true;
        m_otherPlan.reset();
    }

    void query_stragglerShard_isAnsweredByItsHedge()
    {
        FanOut query = make(plan(1, 5, kShards, 2));
        std::vector<FanOutSend> sends = query.start(m_now).sends;
        const FanOutSend straggler = sends.back();
        sends.pop_back();
        CPPUNIT_ASSERT(!replyAll(query, sends, SubOutcome::Ok));
        const FanOutActions hedge = query.tick(m_now + 10ms);
        CPPUNIT_ASSERT_EQUAL(size_t(1), hedge.sends.size());
        CPPUNIT_ASSERT(hedge.sends[0].extra && hedge.sends[0].upstream != straggler.upstream);
        const FanOutActions end = query.reply(m_now + 12ms, replyTo(hedge.sends[0]));
        CPPUNIT_ASSERT(end.answer && end.answer->missing.empty());
        CPPUNIT_ASSERT(end.cancels == std::vector<SubRequestId>{straggler.id});
    }

    void query_replyToHedgeAndOriginal_countsOnce()
    {
        FanOut query = make(plan(1, 5, 2, 2));
        const std::vector<FanOutSend> sends = query.start(m_now).sends;
        const std::vector<FanOutSend> hedges = query.tick(m_now + 10ms).sends;
        query.reply(m_now + 11ms, replyTo(sends[0]));
        const FanOutActions second = query.reply(m_now + 12ms, replyTo(hedges[0]));
        CPPUNIT_ASSERT(!second.answer);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), query.droppedReplies());
    }

    void query_lateReply_isDroppedAndCounted()
    {
        FanOut query = make(plan(1, 5, kShards, 1));
        const std::vector<FanOutSend> sends = query.start(m_now).sends;
        CPPUNIT_ASSERT(query.tick(m_now + 340ms).answer);
        CPPUNIT_ASSERT(!query.reply(m_now + 341ms, replyTo(sends[0])).answer);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), query.droppedReplies());
    }

    void query_replyOfAnotherSnapshot_isDiscardedAndRetriedOnAnotherReplica()
    {
        FanOut query = make(plan(1, 5, 1, 2));
        const FanOutSend send = query.start(m_now).sends.at(0);
        SubReply crossed = replyTo(send);
        crossed.snapshot = SnapshotId(6);
        const FanOutActions again = query.reply(m_now, crossed);
        CPPUNIT_ASSERT(!again.answer);
        CPPUNIT_ASSERT_EQUAL(size_t(1), again.sends.size());
        CPPUNIT_ASSERT(again.sends[0].upstream != send.upstream);
    }

    void query_snapshotGoneOnEveryReplica_restartsOnNewerSnapshot()
    {
        m_otherPlan = plan(1, 6, kShards, 2);
        FanOut query = make(plan(1, 5, kShards, 1));
        std::vector<FanOutSend> sends = query.start(m_now).sends;
        query.reply(m_now, replyTo(sends[0]));
        const FanOutActions restarted = query.reply(m_now, replyTo(sends[1], SubOutcome::SnapshotGone));
        CPPUNIT_ASSERT_EQUAL(size_t(kShards), restarted.sends.size());
        const auto answer = replyAll(query, restarted.sends, SubOutcome::Ok);
        CPPUNIT_ASSERT(answer && answer->restarted && answer->missing.empty());
        CPPUNIT_ASSERT_EQUAL(uint64_t(6), answer->snapshot.value());
    }

    void query_shardMapReplaced_answersOnlyFromNewMap()
    {
        m_otherPlan = plan(2, 6, 2 * kShards, 1);
        FanOut query = make(plan(1, 5, kShards, 1));
        const std::vector<FanOutSend> sends = query.start(m_now).sends;
        const FanOutActions restarted = query.reply(m_now, replyTo(sends[0], SubOutcome::SnapshotGone));
        const auto answer = replyAll(query, restarted.sends, SubOutcome::Ok);
        CPPUNIT_ASSERT_EQUAL(2 * kShards, answer->shardCount);
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), answer->generation.value());
        CPPUNIT_ASSERT_EQUAL(size_t(2 * kShards), answer->bodies.size());
    }

    void query_everyReplicaOfAShardLost_reportsItMissing()
    {
        QueryPlan partial = plan(1, 5, kShards, 2);
        partial.candidates[2].clear();
        FanOut query = make(partial);
        const auto answer = replyAll(query, query.start(m_now).sends, SubOutcome::Ok);
        CPPUNIT_ASSERT_EQUAL(ResultCode::Ok, answer->code);
        CPPUNIT_ASSERT(answer->missing == std::vector<uint32_t>{2});
        CPPUNIT_ASSERT_EQUAL(kShards, answer->shardCount);
    }

    void query_minCoverageOutOfReach_cancelsOtherSubRequests()
    {
        FanOut query = make(plan(1, 5, kShards, 1), 1.0);
        const std::vector<FanOutSend> sends = query.start(m_now).sends;
        const FanOutActions end = query.reply(m_now, replyTo(sends[0], SubOutcome::Failed));
        CPPUNIT_ASSERT_EQUAL(ResultCode::CoverageTooLow, end.answer->code);
        CPPUNIT_ASSERT_EQUAL(size_t(kShards - 1), end.cancels.size());
    }

    void query_laterShardLostAndFullCoverageRequired_sendsNothing()
    {
        QueryPlan partial = plan(1, 5, kShards, 2);
        partial.candidates[2].clear();
        FanOut query = make(partial, 1.0);
        const FanOutActions actions = query.start(m_now);
        CPPUNIT_ASSERT_EQUAL(ResultCode::CoverageTooLow, actions.answer->code);
        CPPUNIT_ASSERT(actions.sends.empty() && actions.cancels.empty());
        CPPUNIT_ASSERT(actions.answer->notRun);
    }

    void query_everythingFails_staysWithinTheBudget()
    {
        RetryBudget budget;
        uint64_t first = 0;
        uint64_t extra = 0;
        for (int round = 0; round < 100; ++round) {
            FanOutHooks limited = hooks();
            limited.tryConsumeBudget = [&](TimePoint now) { return budget.tryConsumeBudget(now); };
            FanOutConfig config;
            config.plan = plan(1, 5, 48, 3);
            config.deadline = m_now + 340ms;
            FanOut query(std::move(config), std::move(limited));
            FanOutActions actions = query.start(m_now);
            budget.recordFirstSubRequests(m_now, actions.sends.size());
            std::vector<FanOutSend> sends = actions.sends;
            for (size_t i = 0; i < sends.size(); ++i) {
                (sends[i].extra ? extra : first) += 1;
                const FanOutActions next = query.reply(m_now, replyTo(sends[i], SubOutcome::Failed));
                sends.insert(sends.end(), next.sends.begin(), next.sends.end());
            }
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t(4800), first);
        CPPUNIT_ASSERT(extra <= first / 20);
    }

    void query_subRequestNotSent_isResentWithoutUsingTheBudget()
    {
        m_isExtraAllowed = false;
        FanOut query = make(plan(1, 5, 1, 2));
        const FanOutSend first = query.start(m_now).sends.at(0);
        const FanOutActions again = query.reply(m_now, replyTo(first, SubOutcome::NotSent));
        CPPUNIT_ASSERT_EQUAL(size_t(1), again.sends.size());
        CPPUNIT_ASSERT(!again.sends[0].extra && again.sends[0].upstream != first.upstream);
        // Every replica has been tried, so a further sub-request needs the budget.
        CPPUNIT_ASSERT(query.reply(m_now, replyTo(again.sends[0], SubOutcome::NotSent)).sends.empty());
    }

    void query_everySubRequestShed_reportsNotRun()
    {
        m_isExtraAllowed = false;
        FanOut query = make(plan(1, 5, kShards, 1));
        for (const FanOutSend &send : query.start(m_now).sends)
            query.reply(m_now, replyTo(send, SubOutcome::Shed));
        const auto answer = query.tick(m_now + 340ms).answer;
        CPPUNIT_ASSERT(answer->notRun);
    }

    void query_oneOutcomeUnknown_doesNotReportNotRun()
    {
        m_isExtraAllowed = false;
        FanOut query = make(plan(1, 5, 2, 1));
        const std::vector<FanOutSend> sends = query.start(m_now).sends;
        query.reply(m_now, replyTo(sends[0], SubOutcome::Shed));
        query.reply(m_now, replyTo(sends[1], SubOutcome::Unknown));
        const auto answer = query.tick(m_now + 340ms).answer;
        CPPUNIT_ASSERT(answer->code != ResultCode::Ok && !answer->notRun);
    }

    void query_deadlinePassed_reportsTrueCoverage()
    {
        FanOut query = make(plan(1, 5, kShards, 1));
        const std::vector<FanOutSend> sends = query.start(m_now).sends;
        query.reply(m_now, replyTo(sends[3]));
        const auto answer = query.tick(m_now + 340ms).answer;
        CPPUNIT_ASSERT_EQUAL(ResultCode::Ok, answer->code);
        CPPUNIT_ASSERT((answer->missing == std::vector<uint32_t>{0, 1, 2}));
    }

private:
    TimePoint m_now{Duration(1'000'000)};
    uint64_t m_lastId = 0;
    int m_extraRequests = 0;
    bool m_isExtraAllowed = true;
    std::optional<QueryPlan> m_otherPlan;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FanOutFailureTest);
