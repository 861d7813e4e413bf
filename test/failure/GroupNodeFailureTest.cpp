// Guards against losing acknowledged commands, against two hosts leading at once, and against hosts that
// cannot join or rejoin the control group. The faults are crashes, lost disks, frozen hosts and cut
// links in a simulated group.
#include "fakes/GroupFleet.h"
#include "hickoryspur/process/Check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace hickoryspur;

class GroupNodeFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GroupNodeFailureTest);
    CPPUNIT_TEST(group_hostThatIsNotASeed_joinsAndVotes);
    CPPUNIT_TEST(group_joiningHostKnowsOnlyAFollower_isAdmittedByTheLeader);
    CPPUNIT_TEST(group_hostJoinsAfterTheLastCommand_everyHostPublishesIt);
    CPPUNIT_TEST(group_diskLost_hostRejoinsAsANewMember);
    CPPUNIT_TEST(group_allHostsCrash_acknowledgedCommandsSurvive);
    CPPUNIT_TEST(group_hostLostForGood_isReplacedByAnAddedHost);
    CPPUNIT_TEST(group_hostReplacedThenDiskLost_acknowledgedStateIsServed);
    CPPUNIT_TEST(group_twoHostsReplacedThenTwoDisksLost_acknowledgedStateIsServed);
    CPPUNIT_TEST(group_removedVoterRestarts_isAdmittedAgain);
    CPPUNIT_TEST(group_removedVoterKnowsOnlyFollowers_isAdmittedAgain);
    CPPUNIT_TEST(group_leaderFrozen_doesNotLeadWhenItResumes);
    CPPUNIT_TEST(group_onlyAnEmptyDiskIsUp_neverLeads);
    CPPUNIT_TEST(group_routesNumberNotHigher_changesNothing);
    CPPUNIT_TEST(group_randomFaults_acknowledgedCommandsSurvive);
    CPPUNIT_TEST(group_randomReplacementsThenDisksLost_acknowledgedStateIsServed);
    CPPUNIT_TEST(disks_fullInTurn_changesAreAcceptedMeanwhileAndAfterwards);
    CPPUNIT_TEST(disk_fullAtEachLeader_changesAreAcceptedAfterwards);
    CPPUNIT_TEST(disk_fullWhileCheckpointsAreTaken_acknowledgedStateIsServed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr uint64_t kSeed = 4711;

    static size_t leaderVoterCount(GroupFleet &fleet)
    {
        const std::optional<size_t> leader = fleet.leader();
        return leader ? fleet.node(*leader).log().membership().voters.size() : 0;
    }

    static bool waitForVoters(GroupFleet &fleet, size_t count)
    {
        return fleet.runUntil(30s, [&] {
            return fleet.leader() && leaderVoterCount(fleet) == count
                && !fleet.node(*fleet.leader()).log().membershipChangePending();
        });
    }

    static bool commitRoutes(GroupFleet &fleet, uint64_t number)
    {
        if (!fleet.runUntil(10s, [&] { return fleet.leader().has_value(); }))
            return false;
        const uint64_t commandId = fleet.replaceRoutes(*fleet.leader(), number);
        fleet.runUntil(5s, [&] { return fleet.outcome(commandId).has_value(); });
        return fleet.outcome(commandId) && fleet.outcome(commandId)->ok();
    }

    static uint64_t leaderRoutesNumber(GroupFleet &fleet)
    {
        if (!fleet.runUntil(20s, [&] { return fleet.leader().has_value(); }))
            return 0;
        return fleet.node(*fleet.leader()).state().routes().number;
    }

    /** Sends a number again, each second, until it is acknowledged, as operators do. */
    static bool commitWithin(GroupFleet &fleet, Duration limit, uint64_t number)
    {
        for (const TimePoint end = fleet.now() + limit; fleet.now() < end;) {
            if (!fleet.runUntil(1s, [&] { return fleet.leader().has_value(); }))
                continue;
            const uint64_t commandId = fleet.replaceRoutes(*fleet.leader(), number);
            fleet.runUntil(1s, [&] { return fleet.outcome(commandId).has_value(); });
            if (fleet.outcome(commandId) && fleet.outcome(commandId)->ok())
                return true;
        }
        return false;
    }

    /** Commits numbers for the given time; false if one is not acknowledged within the time that operators wait. */
    static bool commitFor(GroupFleet &fleet, Duration time, uint64_t &number)
    {
        for (const TimePoint end = fleet.now() + time; fleet.now() < end;)
            if (!commitWithin(fleet, 5s, ++number))
                return false;
        return true;
    }

    /** Every host has the newest acknowledged number soon after all disks have room. */
    static bool allHoldRoutes(GroupFleet &fleet, uint64_t number)
    {
        return fleet.runUntil(5s, [&] {
            for (size_t i = 0; i < fleet.size(); ++i)
                if (!fleet.isUp(i) || fleet.node(i).state().routes().number != number)
                    return false;
            return true;
        });
    }

public:
    // Operators of similar systems: after disks had been full one after another, changes were refused until the end.
    void disks_fullInTurn_changesAreAcceptedMeanwhileAndAfterwards()
    {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            GroupFleet fleet(5, {}, kSeed + seed);
            uint64_t number = 0;
            CPPUNIT_ASSERT(commitRoutes(fleet, ++number));
            for (size_t host = 0; host < fleet.size(); ++host) {
                fleet.setDiskFull(host, true);
                CPPUNIT_ASSERT(commitFor(fleet, 1s + fleet.random()() % 7000 * 1ms, number));
                fleet.setDiskFull(host, false);
                fleet.run(fleet.random()() % 500 * 1ms);
            }
            CPPUNIT_ASSERT(commitRoutes(fleet, ++number));
            CPPUNIT_ASSERT(allHoldRoutes(fleet, number));
        }
    }

    void disk_fullAtEachLeader_changesAreAcceptedAfterwards()
    {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            GroupFleet fleet(5, {}, kSeed + seed);
            uint64_t number = 0;
            for (size_t round = 0; round < 8; ++round) {
                CPPUNIT_ASSERT(commitRoutes(fleet, ++number));
                const size_t leader = *fleet.leader();
                fleet.setDiskFull(leader, true);
                CPPUNIT_ASSERT(commitFor(fleet, 2s, number));
                fleet.setDiskFull(leader, false);
            }
            CPPUNIT_ASSERT(commitRoutes(fleet, ++number));
            CPPUNIT_ASSERT(allHoldRoutes(fleet, number));
        }
    }

    void disk_fullWhileCheckpointsAreTaken_acknowledgedStateIsServed()
    {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            GroupFleet fleet(5, {}, kSeed + seed);
            uint64_t number = 0;
            // More changes than entries between two checkpoints, and all hosts restart in the end.
            for (size_t host = 0; host < fleet.size(); ++host) {
                for (size_t i = 0; i < 25; ++i) {
                    fleet.setDiskFull(host, i >= 5 && i < 20);
                    CPPUNIT_ASSERT(commitWithin(fleet, 5s, ++number));
                }
            }
            for (size_t host = 0; host < fleet.size(); ++host)
                fleet.crash(host);
            for (size_t host = 0; host < fleet.size(); ++host)
                fleet.restart(host);
            CPPUNIT_ASSERT_EQUAL(number, leaderRoutesNumber(fleet));
        }
    }

    void group_hostThatIsNotASeed_joinsAndVotes()
    {
        GroupFleet fleet(3, {}, kSeed);
        fleet.add();
        CPPUNIT_ASSERT(waitForVoters(fleet, 4));
    }

    void group_joiningHostKnowsOnlyAFollower_isAdmittedByTheLeader()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(waitForVoters(fleet, 3));
        const size_t follower = (*fleet.leader() + 1) % 3;
        const size_t joined = fleet.add();
        fleet.node(joined).setSeeds({fleet.node(follower).log().self().node});
        CPPUNIT_ASSERT(waitForVoters(fleet, 4));
    }

    void group_hostJoinsAfterTheLastCommand_everyHostPublishesIt()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(commitRoutes(fleet, 1));
        fleet.run(2s);
        const size_t joined = fleet.add();
        const NodeId name = fleet.node(joined).log().self().node;
        CPPUNIT_ASSERT(waitForVoters(fleet, 4));
        fleet.run(1s);
        // Entry hosts connect only to the control hosts published to them. Heartbeats that upstreams send to an
        // unpublished control host would not reach them.
        for (size_t i = 0; i < 3; ++i) {
            const std::vector<NodeId> &published = fleet.publishedHosts(i);
            CPPUNIT_ASSERT(std::find(published.begin(), published.end(), name) != published.end());
        }
    }

    void group_diskLost_hostRejoinsAsANewMember()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(commitRoutes(fleet, 5));
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

    void group_allHostsCrash_acknowledgedCommandsSurvive()
    {
        GroupFleet fleet(3, {}, kSeed);
        fleet.add();
        CPPUNIT_ASSERT(waitForVoters(fleet, 4));
        for (uint64_t number = 1; number <= 40; ++number)
            CPPUNIT_ASSERT(commitRoutes(fleet, number));
        for (size_t i = 0; i < fleet.size(); ++i)
            fleet.crash(i);
        for (size_t i = 0; i < fleet.size(); ++i)
            fleet.restart(i);
        CPPUNIT_ASSERT_EQUAL(uint64_t(40), leaderRoutesNumber(fleet));
    }

    void group_hostLostForGood_isReplacedByAnAddedHost()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(commitRoutes(fleet, 1));
        fleet.loseDisk((*fleet.leader() + 1) % 3);
        fleet.add();
        CPPUNIT_ASSERT(waitForVoters(fleet, 4));
        // The lost host is removed only once the added one votes, so the group tolerates the loss of another.
        CPPUNIT_ASSERT(waitForVoters(fleet, 3));
        fleet.crash(*fleet.leader());
        CPPUNIT_ASSERT(commitRoutes(fleet, 2));
    }

    // Guards against a replaced host that still counts as a voter when the next one is lost: no majority is left.
    void group_hostReplacedThenDiskLost_acknowledgedStateIsServed()
    {
        for (size_t replaced = 0; replaced < 3; ++replaced) {
            GroupFleet fleet(3, {}, kSeed + replaced);
            CPPUNIT_ASSERT(commitRoutes(fleet, 1));
            replaceForGood(fleet, {replaced});
            CPPUNIT_ASSERT(commitRoutes(fleet, 2));
            CPPUNIT_ASSERT_EQUAL(uint64_t(2), routesAfterDiskLoss(fleet, {replaced}, 1));
        }
    }

    void group_twoHostsReplacedThenTwoDisksLost_acknowledgedStateIsServed()
    {
        GroupFleet fleet(3, {}, kSeed);
        for (int i = 0; i < 3; ++i)
            fleet.add();
        CPPUNIT_ASSERT(waitForVoters(fleet, 5));
        CPPUNIT_ASSERT(commitRoutes(fleet, 1));
        const size_t leader = *fleet.leader();
        const std::vector<size_t> replaced = {leader, (leader + 1) % 3};
        replaceForGood(fleet, replaced);
        CPPUNIT_ASSERT(commitRoutes(fleet, 2));
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), routesAfterDiskLoss(fleet, replaced, 2));
    }

    void group_removedVoterRestarts_isAdmittedAgain()
    {
        GroupFleet fleet(3, {}, kSeed);
        const size_t fourth = fleet.add();
        CPPUNIT_ASSERT(waitForVoters(fleet, 4));
        fleet.crash(fourth);
        CPPUNIT_ASSERT(waitForVoters(fleet, 3));
        CPPUNIT_ASSERT(commitRoutes(fleet, 9));
        fleet.restart(fourth);
        CPPUNIT_ASSERT(waitForVoters(fleet, 4));
        CPPUNIT_ASSERT(fleet.runUntil(5s, [&] { return fleet.node(fourth).state().routes().number == 9; }));
    }

    // Guards against a host that stays outside for good, since the leader has joined while it was down.
    void group_removedVoterKnowsOnlyFollowers_isAdmittedAgain()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(commitRoutes(fleet, 1));
        const size_t removed = (*fleet.leader() + 1) % 3;
        fleet.crash(removed);
        const size_t added = fleet.add();
        CPPUNIT_ASSERT(waitForVoters(fleet, 4));
        CPPUNIT_ASSERT(waitForVoters(fleet, 3));
        for (int i = 0; i < 20 && fleet.leader() != added; ++i) {
            const size_t leader = *fleet.leader();
            fleet.freeze(leader, 1s);
            fleet.run(2s);
            CPPUNIT_ASSERT(fleet.runUntil(10s, [&] { return fleet.leader().has_value(); }));
        }
        CPPUNIT_ASSERT(fleet.leader() == added);
        fleet.restart(removed);
        CPPUNIT_ASSERT(fleet.runUntil(10s, [&] {
            const Membership &membership = fleet.node(added).log().membership();
            return membership.isVoter(fleet.node(removed).log().self());
        }));
    }

    void group_leaderFrozen_doesNotLeadWhenItResumes()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(commitRoutes(fleet, 1));
        const size_t frozen = *fleet.leader();
        fleet.freeze(frozen, 3s);
        fleet.run(1500ms);
        CPPUNIT_ASSERT(commitRoutes(fleet, 2));
        fleet.run(1495ms);
        CPPUNIT_ASSERT(!fleet.node(frozen).leads(fleet.now()));
    }

    void group_onlyAnEmptyDiskIsUp_neverLeads()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(commitRoutes(fleet, 1));
        for (size_t i = 0; i < 3; ++i)
            fleet.crash(i);
        const size_t added = fleet.add();
        fleet.run(20s);
        CPPUNIT_ASSERT(!fleet.node(added).leads(fleet.now()));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), fleet.node(added).state().routes().number);
    }

    void group_routesNumberNotHigher_changesNothing()
    {
        GroupFleet fleet(3, {}, kSeed);
        CPPUNIT_ASSERT(commitRoutes(fleet, 7));
        CPPUNIT_ASSERT(commitRoutes(fleet, 3));
        CPPUNIT_ASSERT(commitRoutes(fleet, 7));
        CPPUNIT_ASSERT_EQUAL(uint64_t(7), leaderRoutesNumber(fleet));
        CPPUNIT_ASSERT_EQUAL(std::string("routes 7"), fleet.node(*fleet.leader()).state().routes().text);
    }

    void group_randomFaults_acknowledgedCommandsSurvive()
    {
        for (uint64_t seed = 1; seed <= kRuns; ++seed)
            runRandom(seed);
    }

    void group_randomReplacementsThenDisksLost_acknowledgedStateIsServed()
    {
        for (uint64_t seed = 1; seed <= kRuns; ++seed)
            runReplacements(seed);
    }

private:
    /** A host that was added counts as one of those that may be lost after this time. */
    static constexpr Duration kCatchUpTime = 4s;
    /** After a fault of all hosts, service must be back in this time. */
    static constexpr Duration kRecoveryTime = 12s;

    /** Ends the hosts for good and starts an empty one for each a second later. */
    static void replaceForGood(GroupFleet &fleet, const std::vector<size_t> &hosts)
    {
        for (const size_t host : hosts)
            fleet.crash(host);
        fleet.run(1s);
        fleet.renewSeeds();
        for (size_t i = 0; i < hosts.size(); ++i)
            fleet.add();
        fleet.run(kCatchUpTime);
    }

    /**
     * Loses the disk of the leader, as many disks in all as given, and power at all other hosts, then starts all but
     * those that ended for good. Returns the number of the next leader's routes, or zero if there is no leader in time.
     */
    static uint64_t routesAfterDiskLoss(GroupFleet &fleet, const std::vector<size_t> &ended, size_t disks)
    {
        const size_t leader = *fleet.leader();
        std::vector<size_t> running;
        for (size_t i = 0; i < fleet.size(); ++i)
            if (i != leader && std::find(ended.begin(), ended.end(), i) == ended.end())
                running.push_back(i);
        fleet.loseDisk(leader);
        for (const size_t host : running)
            fleet.crash(host);
        for (size_t i = 0; i + 1 < disks; ++i)
            fleet.loseDisk(running[i]);
        running.push_back(leader);
        fleet.run(1s);
        for (const size_t host : running)
            fleet.restart(host);
        const bool recovered = fleet.runUntil(kRecoveryTime, [&] { return fleet.leader().has_value(); });
        return recovered ? fleet.node(*fleet.leader()).state().routes().number : 0;
    }

    /** Replaces running hosts one after the other, then loses as many disks as the group tolerates, over and over. */
    static void runReplacements(uint64_t seed)
    {
        LinkFaults faults;
        faults.lossProbability = 0.02;
        faults.duplicateProbability = 0.02;
        GroupFleet fleet(3, faults, seed);
        const size_t added = fleet.random()() % 4;
        for (size_t i = 0; i < added; ++i)
            fleet.add();
        // Three and four voters tolerate one loss, five tolerate two.
        const size_t disks = added >= 2 ? 2 : 1;
        CPPUNIT_ASSERT(waitForVoters(fleet, std::min<size_t>(3 + added, 5)));
        std::vector<size_t> ended;
        uint64_t number = 0;
        for (int round = 0; round < 4; ++round) {
            std::vector<size_t> running;
            for (size_t i = 0; i < fleet.size(); ++i)
                if (fleet.isUp(i))
                    running.push_back(i);
            const size_t replaced = running[fleet.random()() % running.size()];
            ended.push_back(replaced);
            replaceForGood(fleet, {replaced});
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), commitRoutes(fleet, ++number));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), number,
                                         routesAfterDiskLoss(fleet, ended, disks));
            fleet.run(kCatchUpTime);
        }
    }

    static constexpr uint64_t kRuns = 25;
    static constexpr int kStepsPerRun = 60;

    static void runRandom(uint64_t seed)
    {
        LinkFaults faults;
        faults.lossProbability = 0.02;
        faults.duplicateProbability = 0.02;
        GroupFleet fleet(3, faults, seed);
        fleet.add();
        uint64_t acknowledged = 0;
        uint64_t next = 0;
        std::map<uint64_t, uint64_t> submitted;
        std::optional<size_t> diskLost;
        for (int step = 0; step < kStepsPerRun; ++step) {
            injectFault(fleet, diskLost);
            if (const std::optional<size_t> leader = fleet.leader()) {
                ++next;
                submitted[fleet.replaceRoutes(*leader, next)] = next;
            }
            fleet.run(Duration(std::chrono::milliseconds(200 + fleet.random()() % 1500)));
            for (const auto &[commandId, number] : submitted)
                if (fleet.outcome(commandId) && fleet.outcome(commandId)->ok())
                    acknowledged = std::max(acknowledged, number);
            if (const std::optional<size_t> leader = fleet.leader())
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                       fleet.node(*leader).state().routes().number >= acknowledged);
        }
        fleet.heal();
        for (size_t i = 0; i < fleet.size(); ++i)
            fleet.restart(i);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), leaderRoutesNumber(fleet) >= acknowledged);
    }

    /** Injects a random fault or repair. At most one disk is lost at a time, until its host votes again. */
    static void injectFault(GroupFleet &fleet, std::optional<size_t> &diskLost)
    {
        const size_t index = fleet.random()() % fleet.size();
        if (diskLost && fleet.isUp(*diskLost)
            && fleet.node(*diskLost).log().membership().isVoter(fleet.node(*diskLost).log().self()))
            diskLost.reset();
        switch (fleet.random()() % 7) {
        case 0:
            if (fleet.isUp(index))
                fleet.crash(index);
            break;
        case 1:
            if (!diskLost && fleet.isUp(index)
                && fleet.node(index).log().membership().isVoter(fleet.node(index).log().self())) {
                fleet.loseDisk(index);
                diskLost = index;
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
