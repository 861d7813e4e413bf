// Guards cold upstreams against their usual load: hundreds of entries that each see a new upstream without load must
// not together exceed the rate that it tolerates, also while their lists of entries differ.
#include "hickoryspur/connection/ColdUpstreamLimit.h"
#include "hickoryspur/connection/ReplicaSubset.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace hickoryspur;

class ColdUpstreamLimitFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdUpstreamLimitFailureTest);
    CPPUNIT_TEST(upstream_withoutLimit_getsEveryRequest);
    CPPUNIT_TEST(upstream_coldOnThreeHundredEntries_staysBelowRate);
    CPPUNIT_TEST(upstream_homeChangesWhileCold_staysBelowOverrun);
    CPPUNIT_TEST_SUITE_END();

    const UpstreamId m_upstream{"u-1"};
    static constexpr double kRate = 20;

    struct Entry
    {
        ReplicaSubset subset;
        ColdUpstreamLimit limit;
    };

    static std::vector<std::string> addresses(int first, int count)
    {
        std::vector<std::string> result;
        for (int i = first; i < first + count; ++i)
            result.push_back("10.0.0." + std::to_string(i) + ":80");
        return result;
    }

    /** Every entry tries to send 10 times in the second that starts now; returns how many requests were allowed. */
    int sendForOneSecond(std::vector<Entry> &entries, TimePoint start) const
    {
        int sent = 0;
        for (int step = 0; step < 10; ++step) {
            const TimePoint now = start + step * 100ms;
            for (Entry &entry : entries) {
                if (!entry.limit.maySend(now, m_upstream, entry.subset.isHome(m_upstream), kRate))
                    continue;
                entry.limit.recordSent(now, m_upstream);
                ++sent;
            }
        }
        return sent;
    }

public:
    void upstream_withoutLimit_getsEveryRequest()
    {
        CPPUNIT_ASSERT(ColdUpstreamLimit().maySend(TimePoint(1s), m_upstream, false, 0));
    }

    void upstream_coldOnThreeHundredEntries_staysBelowRate()
    {
        const std::vector<std::string> all = addresses(0, 300);
        std::vector<Entry> entries(all.size());
        for (size_t i = 0; i < all.size(); ++i)
            entries[i].subset.setEntries(all[i], all);
        const int sent = sendForOneSecond(entries, TimePoint(100s));
        CPPUNIT_ASSERT(sent >= 1);
        CPPUNIT_ASSERT(sent <= kRate);
    }

    void upstream_homeChangesWhileCold_staysBelowOverrun()
    {
        // Half of the entries do not know the other half yet, so there are two homes.
        const std::vector<std::string> all = addresses(0, 300);
        const std::vector<std::string> half = addresses(0, 150);
        std::vector<Entry> entries(all.size());
        for (size_t i = 0; i < all.size(); ++i)
            entries[i].subset.setEntries(all[i], i < half.size() ? half : all);
        CPPUNIT_ASSERT(sendForOneSecond(entries, TimePoint(100s)) <= 1.5 * kRate);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdUpstreamLimitFailureTest);
