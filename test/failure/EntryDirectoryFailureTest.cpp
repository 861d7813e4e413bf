// Guards against sending callers to entries that are down, or hiding entries that are up, when control
// hosts stall, lose their connection to an entry, or are partitioned from this entry.
#include "hickoryspur/process/EntryDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class EntryDirectoryFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryDirectoryFailureTest);
    CPPUNIT_TEST(addresses_oneReportStale_ignoresIt);
    CPPUNIT_TEST(addresses_entryMissingInOneReport_isIncluded);
    CPPUNIT_TEST(addresses_allReportsStale_returnsLastReport);
    CPPUNIT_TEST(addresses_onlyMinorityOfControlHostsReachable_returnsEntriesTheyDoNotReport);
    CPPUNIT_TEST(addresses_halfOfTheKnownControlHostsEnded_namesRunningEntries);
    CPPUNIT_TEST(directory_controlHostRestarts_deploymentSizeStays);
    CPPUNIT_TEST_SUITE_END();

    using Addresses = std::vector<std::string>;

    static std::vector<EntryLocation> entries(const Addresses &addresses)
    {
        std::vector<EntryLocation> list;
        for (const std::string &address : addresses)
            list.push_back({address, DataCentreName("a")});
        return list;
    }
    static inline const NodeId kFirst{"10.0.0.1:7000"};
    static inline const NodeId kSecond{"10.0.0.2:7000"};

public:
    void directory_controlHostRestarts_deploymentSizeStays()
    {
        EntryDirectory directory;
        directory.recordSessions(NodeId("c1"), 291);
        directory.recordSessions(NodeId("c2"), 290);
        // Hundreds of entries that take the deployment for a small one would each connect to every upstream.
        directory.recordSessions(NodeId("c1"), 3);
        CPPUNIT_ASSERT_EQUAL(uint32_t(290), directory.deploymentSize());
    }

    void addresses_oneReportStale_ignoresIt()
    {
        EntryDirectory directory;
        directory.update(m_now, kFirst, entries({"a", "killed"}));
        directory.update(m_now, kSecond, entries({"a"}));
        directory.recordHeartbeat(m_now + 2s, kSecond);
        CPPUNIT_ASSERT(directory.addresses(m_now + 2s, 1) == Addresses{"a"});
        CPPUNIT_ASSERT_EQUAL(1U, directory.count(m_now + 2s));
    }

    void addresses_entryMissingInOneReport_isIncluded()
    {
        EntryDirectory directory;
        directory.update(m_now, kFirst, entries({"a", "b"}));
        directory.update(m_now, kSecond, entries({"a"}));
        CPPUNIT_ASSERT((directory.addresses(m_now, 2) == Addresses{"a", "b"}));
        CPPUNIT_ASSERT_EQUAL(2U, directory.count(m_now));
    }

    void addresses_allReportsStale_returnsLastReport()
    {
        EntryDirectory directory;
        directory.update(m_now, kFirst, entries({"a", "b"}));
        CPPUNIT_ASSERT((directory.addresses(m_now + 60s, 1) == Addresses{"a", "b"}));
    }

    void addresses_onlyMinorityOfControlHostsReachable_returnsEntriesTheyDoNotReport()
    {
        EntryDirectory directory;
        directory.update(m_now, kFirst, entries({"far", "near"}));
        directory.update(m_now, kSecond, entries({"far", "near"}));
        directory.update(m_now + 5s, NodeId("third"), entries({"near"}));
        CPPUNIT_ASSERT(directory.addresses(m_now + 5s, 3) == Addresses{"far"});
    }

    // Guards against callers that are sent only to entries which have ended, since replaced hosts count in a majority.
    void addresses_halfOfTheKnownControlHostsEnded_namesRunningEntries()
    {
        EntryDirectory directory;
        directory.update(m_now, NodeId("ended"), entries({"gone", "running"}));
        directory.update(m_now + 9s, kFirst, entries({"running"}));
        directory.update(m_now + 9s, kSecond, entries({"running"}));
        directory.recordConfirmation(m_now + 9s);
        CPPUNIT_ASSERT(directory.addresses(m_now + 9s, 4) == Addresses{"running"});
        // Without word from a leader the reachable half may be the one that is partitioned.
        directory.recordHeartbeat(m_now + 12s, kFirst);
        directory.recordHeartbeat(m_now + 12s, kSecond);
        CPPUNIT_ASSERT(directory.addresses(m_now + 12s, 4) == Addresses{"gone"});
    }

private:
    TimePoint m_now{1000s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryDirectoryFailureTest);
