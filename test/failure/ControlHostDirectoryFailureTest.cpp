// Guards against a process that cannot find the leader: the leader is not a seed, the seeds are
// replaced, or the connections to all control hosts are lost.
#include "hickoryspur/process/ControlHostDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace hickoryspur;

class ControlHostDirectoryFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlHostDirectoryFailureTest);
    CPPUNIT_TEST(hosts_leaderIsNotASeed_includesLeaderReportedByUnconfirmedSeed);
    CPPUNIT_TEST(hosts_seedsReplaced_keepsOldSeedWhileReported);
    CPPUNIT_TEST(removeSource_lastSource_keepsItsReport);
    CPPUNIT_TEST(hosts_joinRequestRepeated_keepsHostUntilExpiry);
    CPPUNIT_TEST_SUITE_END();

    static inline const NodeId kSeed{"10.0.0.1:7000"};
    static inline const NodeId kOtherSeed{"10.0.0.2:7000"};
    static inline const NodeId kLeader{"10.0.0.9:7000"};

    static bool has(const std::vector<NodeId> &hosts, const NodeId &host)
    {
        return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
    }

public:
    void hosts_leaderIsNotASeed_includesLeaderReportedByUnconfirmedSeed()
    {
        ControlHostDirectory directory;
        directory.setSeeds({kSeed});
        CPPUNIT_ASSERT(directory.updateReportedHosts(kSeed, {kSeed, kLeader}));
        CPPUNIT_ASSERT(has(directory.hosts(m_now), kLeader));
    }

    void hosts_seedsReplaced_keepsOldSeedWhileReported()
    {
        ControlHostDirectory directory;
        directory.setSeeds({kSeed});
        directory.updateReportedHosts(kSeed, {kSeed, kLeader});
        CPPUNIT_ASSERT(directory.setSeeds({kOtherSeed}));
        CPPUNIT_ASSERT(has(directory.hosts(m_now), kSeed));
        directory.updateReportedHosts(kSeed, {kLeader});
        CPPUNIT_ASSERT(!has(directory.hosts(m_now), kSeed));
    }

    void removeSource_lastSource_keepsItsReport()
    {
        ControlHostDirectory directory;
        directory.setSeeds({kSeed});
        directory.updateReportedHosts(kSeed, {kSeed, kLeader});
        directory.updateReportedHosts(kLeader, {kSeed, kLeader});
        directory.removeSource(kSeed);
        directory.removeSource(kLeader);
        CPPUNIT_ASSERT(has(directory.hosts(m_now), kLeader));
    }

    void hosts_joinRequestRepeated_keepsHostUntilExpiry()
    {
        ControlHostDirectory directory;
        CPPUNIT_ASSERT(directory.recordJoinRequest(m_now, kLeader));
        CPPUNIT_ASSERT(!directory.recordJoinRequest(m_now + 1s, kLeader));
        CPPUNIT_ASSERT(has(directory.hosts(m_now + 5s), kLeader));
        CPPUNIT_ASSERT(!has(directory.hosts(m_now + 7s), kLeader));
    }

private:
    TimePoint m_now{1000s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlHostDirectoryFailureTest);
