// Guards against an entry serving an old state after a change was reported in force, and against
// changes or traffic stopping when an entry, the leader or the control quorum is lost.
#include "fakes/Commands.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class InForceFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(InForceFailureTest);
    CPPUNIT_TEST(entry_isolated_stopsServingBeforeChangeIsInForce);
    CPPUNIT_TEST(entries_controlQuorumLost_keepServing);
    CPPUNIT_TEST(entries_controlQuorumLostAndRestored_acceptChanges);
    CPPUNIT_TEST(entry_restartedWithoutControlQuorum_doesNotServe);
    CPPUNIT_TEST(change_allEntriesUp_isInForceWithinLimit);
    CPPUNIT_TEST(change_oneEntryIsolated_isInForceWithinLimit);
    CPPUNIT_TEST(change_afterManyWhileOneEntryIsIsolated_isInForceWithinLimit);
    CPPUNIT_TEST(change_leaderCrashesBeforeItIsInForce_isInForceUnderNextLeader);
    CPPUNIT_TEST(change_tooFewEntriesReachable_failsNamingThem);
    CPPUNIT_TEST_SUITE_END();

    /** A change must be in force everywhere within this time. */
    static constexpr Duration kInForceLimit = 5s;

    static size_t waitForLeader(ControlGroup &group)
    {
        CPPUNIT_ASSERT(group.runUntil(10s, [&] { return group.leader().has_value(); }));
        group.run(3s);
        return *group.leader();
    }

    static bool serves(ControlGroup &group, size_t index) { return group.node(index).servesUntil() > group.now(); }

public:
    void entry_isolated_stopsServingBeforeChangeIsInForce()
    {
        ControlGroup group(3, 7, {}, 11);
        const size_t leader = waitForLeader(group);
        group.links().isolate(group.name(6), group.names());
        const uint64_t commandId = group.submit(leader, submitTrial("a: 1", "r1"), CommandWait::InForce, 10s);
        CPPUNIT_ASSERT(group.runUntil(10s, [&] { return group.outcome(commandId).has_value(); }));
        CPPUNIT_ASSERT(group.outcome(commandId)->ok());
        CPPUNIT_ASSERT(!serves(group, 6));
        CPPUNIT_ASSERT(serves(group, 5));
    }

    void entries_controlQuorumLost_keepServing()
    {
        ControlGroup group(3, 7, {}, 12);
        waitForLeader(group);
        group.crash(0);
        group.crash(1);
        for (int i = 0; i < 120; ++i) {
            group.run(500ms);
            for (size_t entry = 2; entry < 7; ++entry)
                CPPUNIT_ASSERT(serves(group, entry));
        }
    }

    void entries_controlQuorumLostAndRestored_acceptChanges()
    {
        ControlGroup group(3, 7, {}, 13);
        waitForLeader(group);
        group.crash(0);
        group.crash(1);
        group.run(30s);
        group.restart(0);
        group.restart(1);
        waitForLeader(group);
        const uint64_t commandId = group.submit(5, submitTrial("a: 1", "r1"), CommandWait::InForce, 10s);
        CPPUNIT_ASSERT(group.runUntil(kInForceLimit, [&] { return group.outcome(commandId).has_value(); }));
        CPPUNIT_ASSERT(group.outcome(commandId)->ok());
    }

    void entry_restartedWithoutControlQuorum_doesNotServe()
    {
        ControlGroup group(3, 7, {}, 14);
        waitForLeader(group);
        group.crash(0);
        group.crash(1);
        group.run(5s);
        group.crash(6);
        group.restart(6);
        group.run(20s);
        CPPUNIT_ASSERT(!serves(group, 6));
    }

    void change_allEntriesUp_isInForceWithinLimit()
    {
        ControlGroup group(3, 7, {}, 15);
        waitForLeader(group);
        const uint64_t commandId = group.submit(4, submitTrial("a: 1", "r1"), CommandWait::InForce, 10s);
        CPPUNIT_ASSERT(group.runUntil(kInForceLimit, [&] { return group.outcome(commandId).has_value(); }));
        CPPUNIT_ASSERT(group.outcome(commandId)->ok());
        for (size_t i = 0; i < 7; ++i)
            CPPUNIT_ASSERT(group.node(i).state().current(Environment::Trial) != nullptr);
    }

    void change_oneEntryIsolated_isInForceWithinLimit()
    {
        ControlGroup group(3, 7, {}, 16);
        const size_t leader = waitForLeader(group);
        const size_t isolated = leader == 6 ? 5 : 6;
        group.links().isolate(group.name(isolated), group.names());
        const uint64_t commandId = group.submit(leader, submitTrial("a: 1", "r1"), CommandWait::InForce, 10s);
        CPPUNIT_ASSERT(group.runUntil(kInForceLimit, [&] { return group.outcome(commandId).has_value(); }));
        CPPUNIT_ASSERT(group.outcome(commandId)->ok());
    }

    void change_afterManyWhileOneEntryIsIsolated_isInForceWithinLimit()
    {
        ControlGroup group(3, 7, {}, 19);
        const size_t leader = waitForLeader(group);
        group.links().isolate(group.name(leader == 6 ? 5 : 6), group.names());
        for (uint64_t i = 0; i < 200; ++i) {
            group.submit(leader, claimKey("k" + std::to_string(i), "d", "n0", i), CommandWait::Committed);
            group.run(50ms);
        }
        const uint64_t commandId = group.submit(leader, submitTrial("a: 1", "r1"), CommandWait::InForce, 10s);
        CPPUNIT_ASSERT(group.runUntil(kInForceLimit, [&] { return group.outcome(commandId).has_value(); }));
        CPPUNIT_ASSERT(group.outcome(commandId)->ok());
    }

    void change_leaderCrashesBeforeItIsInForce_isInForceUnderNextLeader()
    {
        ControlGroup group(3, 7, {}, 17);
        const size_t leader = waitForLeader(group);
        const uint64_t commandId = group.submit(leader, submitTrial("a: 1", "r1"), CommandWait::Committed);
        CPPUNIT_ASSERT(group.runUntil(5s, [&] { return group.outcome(commandId).has_value(); }));
        group.crash(leader);
        const auto everywhere = [&] {
            const auto now = group.leader();
            const DocumentVersion *version = now ? group.node(*now).state().current(Environment::Trial) : nullptr;
            return version && group.node(*now).leases().inForce().value() >= version->index;
        };
        CPPUNIT_ASSERT(group.runUntil(15s, everywhere));
    }

    void change_tooFewEntriesReachable_failsNamingThem()
    {
        ControlGroup group(3, 7, {}, 18);
        const size_t leader = waitForLeader(group);
        for (size_t i = 3; i < 7; ++i)
            group.links().isolate(group.name(i), group.names());
        const uint64_t commandId = group.submit(leader, submitTrial("a: 1", "r1"), CommandWait::InForce, 5s);
        CPPUNIT_ASSERT(group.runUntil(10s, [&] { return group.outcome(commandId).has_value(); }));
        CPPUNIT_ASSERT_EQUAL(ResultCode::NotInForce, group.outcome(commandId)->resultCode());
        CPPUNIT_ASSERT(group.outcome(commandId)->message.find("n5") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InForceFailureTest);
