#include "hickoryspur/connection/ReplicaSubset.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

/**
 * Guards against connections beyond an upstream's limit, which the upstream resets and the entries retry
 * endlessly: 82 entries connect to upstreams that accept 73 connections each.
 */
class ReplicaSubsetFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaSubsetFailureTest);
    CPPUNIT_TEST(subset_fewEntries_holdsAllUpstreams);
    CPPUNIT_TEST(subset_entriesUnknown_holdsAllUpstreams);
    CPPUNIT_TEST(subset_manyEntries_staysBelowConnectionLimit);
    CPPUNIT_TEST(subset_entryListsDifferSlightly_staysWithinConnectionLimit);
    CPPUNIT_TEST(subset_oneEntryLeaves_fewAssignmentsChange);
    CPPUNIT_TEST(subset_threeReplicas_nearlyEveryEntryHoldsOne);
    CPPUNIT_TEST_SUITE_END();

    static constexpr uint32_t kLimit = 73;
    static constexpr size_t kEntries = 82;
    static constexpr size_t kUpstreams = 108;

    static std::vector<std::string> entries(size_t count)
    {
        std::vector<std::string> all;
        for (size_t i = 0; i < count; ++i)
            all.push_back("10." + std::to_string(i % 5) + ".0." + std::to_string(i) + ":8226");
        return all;
    }

    static UpstreamId upstream(size_t index) { return UpstreamId("i-" + std::to_string(index * 7919)); }

    static std::vector<ReplicaSubset> subsets(const std::vector<std::string> &all)
    {
        std::vector<ReplicaSubset> result(all.size());
        for (size_t i = 0; i < all.size(); ++i)
            result[i].setEntries(all[i], all);
        return result;
    }

    static size_t holders(const std::vector<ReplicaSubset> &all, size_t index)
    {
        size_t count = 0;
        for (const ReplicaSubset &subset : all)
            count += subset.holds(upstream(index), kLimit) ? 1 : 0;
        return count;
    }

public:
    void subset_fewEntries_holdsAllUpstreams()
    {
        const std::vector<ReplicaSubset> all = subsets(entries(7));
        for (size_t i = 0; i < kUpstreams; ++i)
            CPPUNIT_ASSERT_EQUAL(size_t(7), holders(all, i));
    }

    void subset_entriesUnknown_holdsAllUpstreams() { CPPUNIT_ASSERT(ReplicaSubset().holds(upstream(1), 1)); }

    void subset_manyEntries_staysBelowConnectionLimit()
    {
        const std::vector<ReplicaSubset> all = subsets(entries(kEntries));
        for (size_t i = 0; i < kUpstreams; ++i) {
            CPPUNIT_ASSERT(holders(all, i) <= kLimit * 9 / 10);
            CPPUNIT_ASSERT(holders(all, i) >= kLimit * 8 / 10);
        }
    }

    void subset_entryListsDifferSlightly_staysWithinConnectionLimit()
    {
        // Each entry's list lacks four other entries.
        std::vector<ReplicaSubset> all(kEntries);
        const std::vector<std::string> names = entries(kEntries);
        for (size_t i = 0; i < kEntries; ++i) {
            std::vector<std::string> received = names;
            received.erase(received.begin() + static_cast<std::ptrdiff_t>(i * 7 % (kEntries - 4)),
                           received.begin() + static_cast<std::ptrdiff_t>(i * 7 % (kEntries - 4) + 4));
            all[i].setEntries(names[i], received);
        }
        for (size_t i = 0; i < kUpstreams; ++i)
            CPPUNIT_ASSERT(holders(all, i) <= kLimit);
    }

    void subset_oneEntryLeaves_fewAssignmentsChange()
    {
        std::vector<std::string> names = entries(kEntries);
        const std::vector<ReplicaSubset> before = subsets(names);
        names.pop_back();
        const std::vector<ReplicaSubset> after = subsets(names);
        size_t changed = 0;
        for (size_t entry = 0; entry < names.size(); ++entry)
            for (size_t i = 0; i < kUpstreams; ++i)
                changed += before[entry].holds(upstream(i), kLimit) != after[entry].holds(upstream(i), kLimit) ? 1 : 0;
        // For each upstream, at most one entry changes: the next in rank replaces the one that left.
        CPPUNIT_ASSERT(changed <= kUpstreams);
    }

    void subset_threeReplicas_nearlyEveryEntryHoldsOne()
    {
        const std::vector<ReplicaSubset> all = subsets(entries(kEntries));
        size_t without = 0;
        for (const ReplicaSubset &subset : all)
            for (size_t shard = 0; shard < kUpstreams / 3; ++shard)
                without += subset.holds(upstream(3 * shard), kLimit) || subset.holds(upstream(3 * shard + 1), kLimit)
                        || subset.holds(upstream(3 * shard + 2), kLimit)
                    ? 0
                    : 1;
        CPPUNIT_ASSERT(20 * without <= kEntries * kUpstreams / 3);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaSubsetFailureTest);
