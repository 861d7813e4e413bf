#include "hickoryspur/request/GroupGather.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

using namespace hickoryspur;

/**
 * Guards against a wrong outcome of a query that several entries work on: parts counted twice, an answer below its
 * least coverage, a group that runs more often than its attempts allow, and a refusal of what may have run.
 */
class GroupGatherFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GroupGatherFailureTest);
    CPPUNIT_TEST(groups_allPartsIn_isComplete);
    CPPUNIT_TEST(targetTime_enoughPartsIn_isPartial);
    CPPUNIT_TEST(targetTime_tooFewPartsIn_waitsForMore);
    CPPUNIT_TEST(group_lostWithItsEntry_isNotSentAgain);
    CPPUNIT_TEST(group_refused_isSentToAnotherEntry);
    CPPUNIT_TEST(group_refusedEverywhere_endsAndIsNotRun);
    CPPUNIT_TEST(group_refusedWhileOthersRun_requestIsNotSaidNotToHaveRun);
    CPPUNIT_TEST(group_reportsAfterItsEnd_areIgnored);
    CPPUNIT_TEST(deadline_nothingIn_timesOut);
    CPPUNIT_TEST(skippable_anySizes_addsUpToWhatIsAllowed);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now{1000s};

    GroupGather gather(size_t minParts = 86) const
    {
        return GroupGather({{18, 18, 18, 18, 18}, minParts, m_now + 26ms, m_now + 240ms});
    }

    /** Four of the five groups have answered. */
    GroupGather gatherWithFourGroups(size_t minParts) const
    {
        GroupGather gathering = gather(minParts);
        gathering.start();
        for (size_t group = 0; group < 4; ++group)
            CPPUNIT_ASSERT(!gathering.partsArrived(m_now, group, 18, true, true).outcome);
        return gathering;
    }

public:
    void groups_allPartsIn_isComplete()
    {
        GroupGather gathering = gatherWithFourGroups(86);
        CPPUNIT_ASSERT(!gathering.partsArrived(m_now, 4, 10, false, true).outcome);
        CPPUNIT_ASSERT(gathering.partsArrived(m_now, 4, 8, true, true).outcome == ScatterOutcome::Complete);
    }

    void targetTime_enoughPartsIn_isPartial()
    {
        GroupGather gathering = gatherWithFourGroups(86);
        CPPUNIT_ASSERT(!gathering.partsArrived(m_now, 4, 14, false, true).outcome);
        CPPUNIT_ASSERT(gathering.tick(m_now + 26ms).outcome == ScatterOutcome::Partial);
    }

    void targetTime_tooFewPartsIn_waitsForMore()
    {
        GroupGather gathering = gatherWithFourGroups(86);
        gathering.partsArrived(m_now, 4, 13, false, true);
        CPPUNIT_ASSERT(!gathering.tick(m_now + 26ms).outcome);
        CPPUNIT_ASSERT(gathering.partsArrived(m_now + 30ms, 4, 1, false, true).outcome == ScatterOutcome::Partial);
    }

    void group_lostWithItsEntry_isNotSentAgain()
    {
        GroupGather gathering = gatherWithFourGroups(86);
        const GroupActions actions = gathering.groupLost(m_now, 4);
        CPPUNIT_ASSERT(actions.dispatches.empty());
        CPPUNIT_ASSERT(actions.outcome == ScatterOutcome::Failed);
    }

    void group_refused_isSentToAnotherEntry()
    {
        GroupGather gathering = gatherWithFourGroups(86);
        const GroupActions actions = gathering.groupRefused(m_now, 4);
        CPPUNIT_ASSERT_EQUAL(size_t(1), actions.dispatches.size());
        CPPUNIT_ASSERT(!actions.outcome);
        CPPUNIT_ASSERT(gathering.partsArrived(m_now, 4, 18, true, true).outcome == ScatterOutcome::Complete);
    }

    void group_refusedEverywhere_endsAndIsNotRun()
    {
        GroupGather gathering({{40}, 40, m_now + 26ms, m_now + 240ms});
        gathering.start();
        GroupActions actions;
        for (size_t i = 0; i < GroupGather::kMaxDispatches; ++i)
            actions = gathering.groupRefused(m_now, 0);
        CPPUNIT_ASSERT(actions.dispatches.empty());
        CPPUNIT_ASSERT(actions.outcome == ScatterOutcome::NotRun);
    }

    void group_refusedWhileOthersRun_requestIsNotSaidNotToHaveRun()
    {
        GroupGather gathering({{40, 40}, 80, m_now + 26ms, m_now + 240ms});
        gathering.start();
        GroupActions actions;
        for (size_t i = 0; i < GroupGather::kMaxDispatches; ++i)
            actions = gathering.groupRefused(m_now, 0);
        CPPUNIT_ASSERT(actions.outcome == ScatterOutcome::Failed);
    }

    void group_reportsAfterItsEnd_areIgnored()
    {
        GroupGather gathering = gather(20);
        gathering.start();
        gathering.partsArrived(m_now, 0, 10, true, true);
        gathering.partsArrived(m_now, 0, 8, true, true);
        CPPUNIT_ASSERT_EQUAL(size_t(10), gathering.answeredParts());
    }

    void deadline_nothingIn_timesOut()
    {
        GroupGather gathering = gather();
        gathering.start();
        CPPUNIT_ASSERT(!gathering.tick(m_now + 239ms).outcome);
        CPPUNIT_ASSERT(gathering.tick(m_now + 240ms).outcome == ScatterOutcome::TimedOut);
    }

    void skippable_anySizes_addsUpToWhatIsAllowed()
    {
        const GroupGather gathering({{20, 13, 17, 25, 15}, 77, m_now, m_now});
        const std::vector<size_t> shares = gathering.skippable();
        CPPUNIT_ASSERT_EQUAL(size_t(13), std::accumulate(shares.begin(), shares.end(), size_t(0)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupGatherFailureTest);
