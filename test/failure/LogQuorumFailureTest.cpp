// Guards against an entry host that starts while there is no leader and uses state older than what was
// acknowledged, because it trusts too few log reports or one from a replaced disk.
#include "fakes/GroupFleet.h"
#include "hickoryspur/process/LogQuorum.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class LogQuorumFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogQuorumFailureTest);
    CPPUNIT_TEST(quorum_oneOfThreeVotersReported_hasNoNewestReport);
    CPPUNIT_TEST(quorum_reportFromReplacedDisk_isNotCounted);
    CPPUNIT_TEST(quorum_reportsFarApart_areNotCombined);
    CPPUNIT_TEST(quorum_allHostsRestarted_acknowledgedRoutesKnownBeforeElection);
    CPPUNIT_TEST(quorum_everyMajority_holdsAcknowledgedRoutes);
    CPPUNIT_TEST_SUITE_END();

    static LogReport report(int host, uint64_t disk, uint64_t index)
    {
        LogReport report;
        report.member = {NodeId("h" + std::to_string(host)), DiskIncarnation(disk)};
        for (int i = 1; i <= 3; ++i)
            report.voters.push_back({NodeId("h" + std::to_string(i)), DiskIncarnation(1)});
        report.lastTerm = Term(1);
        report.lastIndex = LogIndex(index);
        return report;
    }

public:
    void quorum_oneOfThreeVotersReported_hasNoNewestReport()
    {
        LogQuorum quorum;
        quorum.recordReport(m_now, report(1, 1, 9));
        quorum.recordReport(m_now, report(1, 1, 10));
        CPPUNIT_ASSERT(quorum.newest() == nullptr);
        quorum.recordReport(m_now, report(2, 1, 12));
        CPPUNIT_ASSERT_EQUAL(LogIndex(12), quorum.newest()->lastIndex);
    }

    void quorum_reportFromReplacedDisk_isNotCounted()
    {
        LogQuorum quorum;
        quorum.recordReport(m_now, report(1, 1, 9));
        quorum.recordReport(m_now, report(2, 77, 0));
        CPPUNIT_ASSERT(quorum.newest() == nullptr);
    }

    // Guards against an old state that looks acknowledged by a majority: commands between the two reports are missing.
    void quorum_reportsFarApart_areNotCombined()
    {
        LogQuorum quorum;
        quorum.recordReport(m_now, report(1, 1, 9));
        quorum.recordReport(m_now + 6s, report(3, 1, 9));
        CPPUNIT_ASSERT(quorum.newest() == nullptr);
        quorum.recordReport(m_now + 7s, report(1, 1, 12));
        CPPUNIT_ASSERT_EQUAL(LogIndex(12), quorum.newest()->lastIndex);
    }

    void quorum_allHostsRestarted_acknowledgedRoutesKnownBeforeElection()
    {
        GroupFleet fleet(3, {}, 11);
        fleet.runUntil(10s, [&] { return fleet.leader().has_value(); });
        const uint64_t commandId = fleet.replaceRoutes(*fleet.leader(), 42);
        fleet.runUntil(5s, [&] { return fleet.outcome(commandId).has_value(); });
        CPPUNIT_ASSERT(fleet.outcome(commandId)->ok());
        for (size_t i = 0; i < 3; ++i)
            fleet.crash(i);
        for (size_t i = 0; i < 3; ++i)
            fleet.restart(i);
        CPPUNIT_ASSERT(!fleet.leader());
        for (size_t absent = 0; absent < 3; ++absent) {
            LogQuorum quorum;
            for (size_t i = 0; i < 3; ++i)
                if (i != absent)
                    quorum.recordReport(fleet.now(), fleet.node(i).report());
            CPPUNIT_ASSERT_EQUAL(uint64_t(42), quorum.newest()->routes.number);
        }
    }

    void quorum_everyMajority_holdsAcknowledgedRoutes()
    {
        GroupFleet fleet(3, {}, 12);
        fleet.add();
        fleet.run(5s);
        uint64_t acknowledged = 0;
        for (uint64_t number = 1; number <= 60; ++number) {
            const std::optional<size_t> leader = fleet.leader();
            const uint64_t commandId = leader ? fleet.replaceRoutes(*leader, number) : 0;
            if (number % 9 == 0)
                fleet.isolate(fleet.random()() % fleet.size());
            if (number % 9 == 4)
                fleet.heal();
            fleet.run(Duration(std::chrono::milliseconds(fleet.random()() % 400)));
            if (fleet.outcome(commandId) && fleet.outcome(commandId)->ok())
                acknowledged = number;
            const size_t absent = fleet.random()() % fleet.size();
            LogQuorum quorum;
            for (size_t i = 0; i < fleet.size(); ++i)
                if (i != absent)
                    quorum.recordReport(fleet.now(), fleet.node(i).report());
            CPPUNIT_ASSERT(quorum.newest() != nullptr);
            CPPUNIT_ASSERT(quorum.newest()->routes.number >= acknowledged);
        }
        CPPUNIT_ASSERT(acknowledged > 20);
    }

private:
    TimePoint m_now{1000s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogQuorumFailureTest);
