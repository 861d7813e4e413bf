// Guards against an entry that keeps a state which was never committed, or that goes back to an older one,
// after it has started from the logs of the control hosts.
#include "hickoryspur/process/AppliedState.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class AppliedStateFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AppliedStateFailureTest);
    CPPUNIT_TEST(routes_neverCommitted_areReplacedByTheCommittedOnesOfTheSameNumber);
    CPPUNIT_TEST(routes_committed_stayWhenTheNumberIsNotHigher);
    CPPUNIT_TEST(routes_senderOfAnEarlierRelease_areComparedByNumber);
    CPPUNIT_TEST(logState_fromLogs_isNotReplacedByAnOlderOneOfALaggingHost);
    CPPUNIT_TEST(logState_fromLogs_isReplacedByAConfirmedLeaderOnce);
    CPPUNIT_TEST(state_otherRoutesOfTheSameNumber_isNotCovered);
    CPPUNIT_TEST_SUITE_END();

public:
    void routes_neverCommitted_areReplacedByTheCommittedOnesOfTheSameNumber()
    {
        AppliedState state;
        state.recordRoutes({7, 111}, StateOrigin::Logs);
        CPPUNIT_ASSERT(!state.isReplacedBy(RoutesVersion{7, 111}));
        CPPUNIT_ASSERT(!state.isReplacedBy(RoutesVersion{6, 99}));
        CPPUNIT_ASSERT(state.isReplacedBy(RoutesVersion{7, 222}));
    }

    void routes_committed_stayWhenTheNumberIsNotHigher()
    {
        AppliedState state;
        state.recordRoutes({7, 111}, StateOrigin::Committed);
        CPPUNIT_ASSERT(!state.isReplacedBy(RoutesVersion{7, 222}));
        CPPUNIT_ASSERT(!state.isReplacedBy(RoutesVersion{6, 99}));
        CPPUNIT_ASSERT(state.isReplacedBy(RoutesVersion{8, 333}));
    }

    void routes_senderOfAnEarlierRelease_areComparedByNumber()
    {
        AppliedState state;
        state.recordRoutes({7, 111}, StateOrigin::Logs);
        CPPUNIT_ASSERT(!state.isReplacedBy(RoutesVersion{7, 0}));
        CPPUNIT_ASSERT(state.covers(0, RoutesVersion{7, 0}));
    }

    void logState_fromLogs_isNotReplacedByAnOlderOneOfALaggingHost()
    {
        AppliedState state;
        state.recordLogState(42, StateOrigin::Logs);
        CPPUNIT_ASSERT(!state.isReplacedBy(0, false));
        CPPUNIT_ASSERT(!state.isReplacedBy(41, false));
        CPPUNIT_ASSERT(state.isReplacedBy(43, false));
    }

    void logState_fromLogs_isReplacedByAConfirmedLeaderOnce()
    {
        AppliedState state;
        state.recordLogState(42, StateOrigin::Logs);
        CPPUNIT_ASSERT(state.isReplacedBy(41, true));
        state.recordLogState(41, StateOrigin::Committed);
        CPPUNIT_ASSERT(!state.isReplacedBy(40, true));
        CPPUNIT_ASSERT(state.isReplacedBy(42, true));
    }

    void state_otherRoutesOfTheSameNumber_isNotCovered()
    {
        AppliedState state;
        state.recordLogState(42, StateOrigin::Committed);
        state.recordRoutes({7, 111}, StateOrigin::Logs);
        CPPUNIT_ASSERT(state.covers(42, RoutesVersion{7, 111}));
        CPPUNIT_ASSERT(!state.covers(42, RoutesVersion{7, 222}));
        CPPUNIT_ASSERT(!state.covers(43, RoutesVersion{7, 111}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AppliedStateFailureTest);
