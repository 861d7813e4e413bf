#include "fakes/GroupFleet.h"
#include "hickoryspur/process/Check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace hickoryspur;

class GroupNodeFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GroupNodeFailureTest);
    CPPUNIT_TEST(group_hostThatIsNoSeed_joinsAndVotes);
    CPPUNIT_TEST(group_hostThatKnowsOneFollower_isTakenInByTheLeader);
    CPPUNIT_TEST(group_hostJoinsAfterTheLastCommand_everyHostTellsOfIt);
    CPPUNIT_TEST(group_diskLost_comesBackAsAnotherMember);
    CPPUNIT_TEST(group_allLosePower_whatWasAcknowledgedIsThere);
    CPPUNIT_TEST(group_hostGoneForGood_itsSuccessorTakesItsPlace);
    CPPUNIT_TEST(group_removedVoterReturns_isTakenInAgain);
    CPPUNIT_TEST(group_leaderFrozen_doesNotReadWhenItWakes);
    CPPUNIT_TEST(group_emptyDiskAlone_neverLeads);
    CPPUNIT_TEST(group_lowerOrEqualNumber_changesNothing);
    CPPUNIT_TEST(group_randomFaults_keepWhatWasAcknowledged);
    CPPUNIT_TEST_SUITE_END();

    static constexpr uint64_t kSeed = 4711;

    static size_t voters(GroupFleet &fleet)
    {
        const std::optional<size_t> leader = fleet.leader();
        return leader ? fleet.node(*leader).log().membership().voters.size() : 0;
    }

    static bool settle(GroupFleet &fleet, size_t count)
    {
        return fleet.runUntil(30s, [&] {
            return fleet.leader() && voters(fleet) == count
                && !fleet.node(*fleet.leader()).log().membershipChangePending();
        });
    }

    static bool accept(GroupFleet &fleet, uint64_t number)
    {
        if (!fleet.runUntil(10s, [&] { return fleet.leader().has_value(); }))
            return false;
        const uint64_t ticket = fleet.replaceRoutes(*fleet.leader(), number);
        fleet.runUntil(5s, [&] { return fleet.outcome(ticket).has_value(); });
        return fleet.outcome(ticket) && fleet.outcome(ticket)->ok();
    }

    static uint64_t leaderNumber(GroupFleet &fleet)
    {
        if (!fleet.runUntil(20s, [&] { return fleet.leader().has_value(); }))
            return 0;
        return fleet.node(*fleet.leader()).state().routes().number;
    }

public:
    void group_hostThatIsNoSeed_joinsAndVotes()
    {
        GroupFleet fleet(3, {}, kSeed);
        fleet.add();
        CPPUNIT_ASSERT(settle(fleet, 4));
    }

    void group_hostThatKnowsOneFollower_isTakenInByTheLeader()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(settle(fleet, 3));
        const size_t follower = (*fleet.leader() + 1) % 3;
        const size_t joined = fleet.add();
        fleet.node(joined).setSeeds({fleet.node(follower).log().self().node});
        CPPUNIT_ASSERT(settle(fleet, 4));
    }

    void group_hostJoinsAfterTheLastCommand_everyHostTellsOfIt()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(accept(fleet, 1));
        fleet.run(2s);
        const size_t joined = fleet.add();
        const NodeId name = fleet.node(joined).log().self().node;
        CPPUNIT_ASSERT(settle(fleet, 4));
        fleet.run(1s);
        // Entries dial the control hosts that are named to them; one that is not gets heartbeats that nobody hears of.
        for (size_t i = 0; i < 3; ++i) {
            const std::vector<NodeId> &told = fleet.toldHosts(i);
            CPPUNIT_ASSERT(std::find(told.begin(), told.end(), name) != told.end());
        }
    }

    void group_diskLost_comesBackAsAnotherMember()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(accept(fleet, 5));
        const size_t lost = (*fleet.leader() + 1) % 3;
        const MemberId before = fleet.node(lost).log().self();
        fleet.loseDisk(lost);
        fleet.run(1s);
        fleet.restart(lost);
        CPPUNIT_ASSERT(fleet.node(lost).log().self() != before);
        CPPUNIT_ASSERT(fleet.runUntil(
            20s, [&] { return fleet.node(lost).log().membership().isVoter(fleet.node(lost).log().self()); }));
        CPPUNIT_ASSERT_EQUAL(uint64_t(5), fleet.node(lost).state().routes().number);
        CPPUNIT_ASSERT(!fleet.node(lost).log().membership().isVoter(before));
    }

    void group_allLosePower_whatWasAcknowledgedIsThere()
    {
        GroupFleet fleet(3, {}, kSeed);
        fleet.add();
        CPPUNIT_ASSERT(settle(fleet, 4));
        for (uint64_t number = 1; number <= 40; ++number)
            CPPUNIT_ASSERT(accept(fleet, number));
        for (size_t i = 0; i < fleet.size(); ++i)
            fleet.crash(i);
        for (size_t i = 0; i < fleet.size(); ++i)
            fleet.restart(i);
        CPPUNIT_ASSERT_EQUAL(uint64_t(40), leaderNumber(fleet));
    }

    void group_hostGoneForGood_itsSuccessorTakesItsPlace()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(accept(fleet, 1));
        fleet.loseDisk((*fleet.leader() + 1) % 3);
        fleet.add();
        CPPUNIT_ASSERT(settle(fleet, 4));
        // The lost one leaves only now, with its successor voting, so one more loss is borne.
        CPPUNIT_ASSERT(settle(fleet, 3));
        fleet.crash(*fleet.leader());
        CPPUNIT_ASSERT(accept(fleet, 2));
    }

    void group_removedVoterReturns_isTakenInAgain()
    {
        GroupFleet fleet(3, {}, kSeed);
        const size_t fourth = fleet.add();
        CPPUNIT_ASSERT(settle(fleet, 4));
        fleet.crash(fourth);
        CPPUNIT_ASSERT(settle(fleet, 3));
        CPPUNIT_ASSERT(accept(fleet, 9));
        fleet.restart(fourth);
        CPPUNIT_ASSERT(settle(fleet, 4));
        CPPUNIT_ASSERT(fleet.runUntil(5s, [&] { return fleet.node(fourth).state().routes().number == 9; }));
    }

    void group_leaderFrozen_doesNotReadWhenItWakes()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(accept(fleet, 1));
        const size_t frozen = *fleet.leader();
        fleet.freeze(frozen, 3s);
        fleet.run(1500ms);
        CPPUNIT_ASSERT(accept(fleet, 2));
        fleet.run(1495ms);
        CPPUNIT_ASSERT(!fleet.node(frozen).leads(fleet.now()));
    }

    void group_emptyDiskAlone_neverLeads()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(accept(fleet, 1));
        for (size_t i = 0; i < 3; ++i)
            fleet.crash(i);
        const size_t added = fleet.add();
        fleet.run(20s);
        CPPUNIT_ASSERT(!fleet.node(added).leads(fleet.now()));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), fleet.node(added).state().routes().number);
    }

    void group_lowerOrEqualNumber_changesNothing()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(accept(fleet, 7));
        CPPUNIT_ASSERT(accept(fleet, 3));
        CPPUNIT_ASSERT(accept(fleet, 7));
        CPPUNIT_ASSERT_EQUAL(uint64_t(7), leaderNumber(fleet));
        CPPUNIT_ASSERT_EQUAL(std::string("routes 7"), fleet.node(*fleet.leader()).state().routes().text);
    }

    void group_randomFaults_keepWhatWasAcknowledged()
    {
        for (uint64_t seed = 1; seed <= kRuns; ++seed)
            runRandom(seed);
    }

private:
    static constexpr uint64_t kRuns = 25;
    static constexpr int kSteps = 60;

    static void runRandom(uint64_t seed)
    {
        LinkFaults faults;
        faults.lossShare = 0.02;
        faults.doubleShare = 0.02;
        GroupFleet fleet(3, faults, seed);
        fleet.add();
        uint64_t acknowledged = 0;
        uint64_t next = 0;
        std::map<uint64_t, uint64_t> pending;
        std::optional<size_t> wiped;
        for (int step = 0; step < kSteps; ++step) {
            disturb(fleet, wiped);
            if (const std::optional<size_t> leader = fleet.leader()) {
                ++next;
                pending[fleet.replaceRoutes(*leader, next)] = next;
            }
            fleet.run(Duration(std::chrono::milliseconds(200 + fleet.random()() % 1500)));
            for (const auto &[ticket, number] : pending)
                if (fleet.outcome(ticket) && fleet.outcome(ticket)->ok())
                    acknowledged = std::max(acknowledged, number);
            if (const std::optional<size_t> leader = fleet.leader())
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                       fleet.node(*leader).state().routes().number >= acknowledged);
        }
        fleet.heal();
        for (size_t i = 0; i < fleet.size(); ++i)
            fleet.restart(i);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), leaderNumber(fleet) >= acknowledged);
    }

    /** One fault or repair; at most one disk is lost at a time, until its host votes again. */
    static void disturb(GroupFleet &fleet, std::optional<size_t> &wiped)
    {
        const size_t index = fleet.random()() % fleet.size();
        if (wiped && fleet.isUp(*wiped)
            && fleet.node(*wiped).log().membership().isVoter(fleet.node(*wiped).log().self()))
            wiped.reset();
        switch (fleet.random()() % 7) {
        case 0:
            if (fleet.isUp(index))
                fleet.crash(index);
            break;
        case 1:
            if (!wiped && fleet.isUp(index)
                && fleet.node(index).log().membership().isVoter(fleet.node(index).log().self())) {
                fleet.loseDisk(index);
                wiped = index;
            }
            break;
        case 2:
            fleet.isolate(index);
            break;
        case 3:
            fleet.freeze(index, Duration(std::chrono::milliseconds(fleet.random()() % 3000)));
            break;
        case 4:
            fleet.heal();
            break;
        default:
            for (size_t i = 0; i < fleet.size(); ++i)
                fleet.restart(i);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupNodeFailureTest);
