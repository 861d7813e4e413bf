// Guards which entries callers are sent to: with hundreds of entries and a load that a few dozen serve, all others stay
// without callers; a lost entry is replaced at once, and small deployments offer every entry.
#include "hickoryspur/process/ActiveEntries.h"
#include "hickoryspur/process/UpstreamCounts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

using namespace hickoryspur;

class ActiveEntriesFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ActiveEntriesFailureTest);
    CPPUNIT_TEST(deployment_small_offersEveryEntry);
    CPPUNIT_TEST(deployment_large_offersAsManyAsLoadNeeds);
    CPPUNIT_TEST(entries_nearUpstreams_comeFirst);
    CPPUNIT_TEST(controlHosts_hearDifferentUpstreams_selectSameEntries);
    CPPUNIT_TEST(controlHost_silent_itsUpstreamsAreDropped);
    CPPUNIT_TEST(entry_lost_isReplacedAndOthersStay);
    CPPUNIT_TEST(load_falling_reducesEntriesOnlyAfterDelay);
    CPPUNIT_TEST(dataCentre_withAllUpstreamsLost_leavesEnoughEntries);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_now{1000s};
    const std::map<DataCentreName, size_t> m_upstreams{
        {DataCentreName("a"), 90}, {DataCentreName("b"), 90}, {DataCentreName("c"), 90}, {DataCentreName("d"), 2}};

    static std::vector<OfferedEntry> entries(size_t count, double load)
    {
        static const std::vector<std::string> dataCentres = {"a", "b", "c", "d", "e"};
        std::vector<OfferedEntry> result;
        for (size_t i = 0; i < count; ++i)
            result.push_back({{"10." + std::to_string(i % 5) + ".0." + std::to_string(i) + ":80",
                               DataCentreName(dataCentres[i % 5])},
                              load});
        return result;
    }

    static size_t countIn(const std::vector<EntryLocation> &entries, const std::string &prefix)
    {
        return static_cast<size_t>(std::count_if(entries.begin(), entries.end(), [&](const EntryLocation &entry) {
            return entry.address.rfind(prefix, 0) == 0;
        }));
    }

public:
    void deployment_small_offersEveryEntry()
    {
        ActiveEntries active;
        CPPUNIT_ASSERT_EQUAL(size_t(7), active.select(m_now, entries(7, 900), m_upstreams).size());
        CPPUNIT_ASSERT_EQUAL(size_t(7), active.select(m_now, entries(7, 0), {}).size());
    }

    void deployment_large_offersAsManyAsLoadNeeds()
    {
        ActiveEntries active;
        CPPUNIT_ASSERT_EQUAL(ActiveEntries::kMinEntries, active.select(m_now, entries(291, 0), m_upstreams).size());
        CPPUNIT_ASSERT_EQUAL(size_t(97), active.select(m_now, entries(291, 50), m_upstreams).size());
        CPPUNIT_ASSERT_EQUAL(size_t(291), active.select(m_now, entries(291, 500), m_upstreams).size());
    }

    void entries_nearUpstreams_comeFirst()
    {
        ActiveEntries active;
        const std::vector<EntryLocation> selected = active.select(m_now, entries(291, 0), m_upstreams);
        CPPUNIT_ASSERT(countIn(selected, "10.0.") >= 14);
        CPPUNIT_ASSERT(countIn(selected, "10.1.") >= 14);
        CPPUNIT_ASSERT(countIn(selected, "10.2.") >= 14);
    }

    /** Otherwise callers use the lists of all control hosts together, and upstreams get connections from all entries.
     */
    void controlHosts_hearDifferentUpstreams_selectSameEntries()
    {
        // Each upstream announces itself to the control host of its own data centre.
        std::vector<UpstreamCounts> hosts(5);
        std::vector<UpstreamCountReport> heard(5);
        for (const auto &[dataCentre, count] : m_upstreams)
            heard[static_cast<size_t>(dataCentre.value()[0] - 'a')].upstreams[dataCentre] =
                static_cast<uint32_t>(count);
        for (size_t from = 0; from < hosts.size(); ++from)
            for (size_t to = 0; to < hosts.size(); ++to)
                if (from != to)
                    hosts[to].recordReport(m_now, NodeId("host" + std::to_string(from)), heard[from]);
        std::set<std::string> offered;
        for (size_t i = 0; i < hosts.size(); ++i)
            for (const EntryLocation &entry :
                 ActiveEntries().select(m_now, entries(291, 0), hosts[i].total(m_now + 1s, heard[i])))
                offered.insert(entry.address);
        CPPUNIT_ASSERT_EQUAL(ActiveEntries::kMinEntries, offered.size());
    }

    void controlHost_silent_itsUpstreamsAreDropped()
    {
        UpstreamCounts counts;
        const DataCentreName dataCentre("a");
        counts.recordReport(m_now, NodeId("other"), {{{dataCentre, 90}}});
        const UpstreamCountReport own{{{dataCentre, 1}}};
        CPPUNIT_ASSERT_EQUAL(size_t(91), counts.total(m_now + 1s, own).at(dataCentre));
        CPPUNIT_ASSERT_EQUAL(size_t(1), counts.total(m_now + UpstreamCounts::kReportValidity + 1s, own).at(dataCentre));
    }

    void entry_lost_isReplacedAndOthersStay()
    {
        ActiveEntries active;
        std::vector<OfferedEntry> all = entries(291, 0);
        const std::vector<EntryLocation> before = active.select(m_now, all, m_upstreams);
        std::erase_if(all, [&](const OfferedEntry &entry) { return entry.location == before.front(); });
        const std::vector<EntryLocation> after = active.select(m_now, all, m_upstreams);
        CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
        std::vector<EntryLocation> kept;
        std::set_intersection(before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(kept));
        CPPUNIT_ASSERT_EQUAL(before.size() - 1, kept.size());
    }

    void load_falling_reducesEntriesOnlyAfterDelay()
    {
        ActiveEntries active;
        CPPUNIT_ASSERT_EQUAL(size_t(97), active.select(m_now, entries(291, 50), m_upstreams).size());
        const TimePoint soon = m_now + ActiveEntries::kShrinkDelay - 1s;
        CPPUNIT_ASSERT_EQUAL(size_t(97), active.select(soon, entries(291, 0), m_upstreams).size());
        const TimePoint later = m_now + ActiveEntries::kShrinkDelay;
        CPPUNIT_ASSERT_EQUAL(ActiveEntries::kMinEntries, active.select(later, entries(291, 0), m_upstreams).size());
    }

    void dataCentre_withAllUpstreamsLost_leavesEnoughEntries()
    {
        ActiveEntries active;
        std::vector<OfferedEntry> all = entries(291, 0);
        std::erase_if(all, [](const OfferedEntry &entry) { return entry.location.dataCentre.value() <= "c"; });
        CPPUNIT_ASSERT_EQUAL(ActiveEntries::kMinEntries, active.select(m_now, all, m_upstreams).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ActiveEntriesFailureTest);
