#include "hickoryspur/connection/ConnectionPlan.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace hickoryspur;

/**
 * Guards against entries that together hold more connections than upstreams accept: the upstreams reset the
 * surplus, every attempt costs both ends a handshake, and look-ups of many shards become late. 291 entries, 48 of
 * which callers are sent to, and 270 upstreams that accept 193 connections each.
 */
class ConnectionPlanFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionPlanFailureTest);
    CPPUNIT_TEST(plan_requestsReachEveryEntry_connectionsKeptStayWithinLimit);
    CPPUNIT_TEST(plan_listsDifferForSeconds_connectionsKeptStayWithinLimit);
    CPPUNIT_TEST(plan_moreEntriesThanConnections_connectionsKeptStayWithinLimit);
    CPPUNIT_TEST(plan_entryLeavesTheList_keepsNoConnections);
    CPPUNIT_TEST(plan_fewEntries_keepConnectionsBeforeTheyAreListed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t kEntries = 291;
    static constexpr size_t kUpstreams = 270;
    static constexpr uint32_t kLimit = 193;

    static std::vector<std::string> addresses(size_t first, size_t count)
    {
        std::vector<std::string> list;
        for (size_t i = 0; i < count; ++i)
            list.push_back("10.0.0." + std::to_string(first + i) + ":8000");
        return list;
    }

    static UpstreamId upstream(size_t index) { return UpstreamId("upstream" + std::to_string(index)); }

    /** Plans of all entries; each knows the list that listOf returns for its index. */
    template <typename ListOf> std::vector<ConnectionPlan> plans(ListOf listOf) const
    {
        const std::vector<std::string> all = addresses(0, kEntries);
        std::vector<ConnectionPlan> plans(kEntries);
        for (size_t i = 0; i < kEntries; ++i) {
            const std::vector<std::string> list = listOf(i);
            plans[i].setDeploymentSize(kEntries);
            plans[i].setEntryCount(static_cast<uint32_t>(list.size()));
            plans[i].setEntries(m_now, all[i], list);
        }
        return plans;
    }

    /** The largest number of connections that stay open to one upstream once every entry has sent to it. */
    static size_t mostKept(const std::vector<ConnectionPlan> &plans)
    {
        size_t most = 0;
        for (size_t index = 0; index < kUpstreams; ++index) {
            size_t kept = 0;
            for (const ConnectionPlan &plan : plans)
                if (plan.keepsConnections(upstream(index), kLimit))
                    kept += plan.maxConnections(kLimit);
            most = std::max(most, kept);
        }
        return most;
    }

public:
    void plan_requestsReachEveryEntry_connectionsKeptStayWithinLimit()
    {
        std::vector<std::string> offered = addresses(0, 48);
        CPPUNIT_ASSERT(mostKept(plans([&](size_t) { return offered; })) <= kLimit);
    }

    void plan_listsDifferForSeconds_connectionsKeptStayWithinLimit()
    {
        // The list grows from 48 to 86 entries, and half of the entries know it already.
        const std::vector<std::string> before = addresses(0, 48);
        const std::vector<std::string> after = addresses(0, 86);
        CPPUNIT_ASSERT(mostKept(plans([&](size_t i) { return i % 2 == 0 ? before : after; })) <= kLimit);
        // The offered entries are others than before, as after the loss of a data centre.
        const std::vector<std::string> others = addresses(40, 60);
        CPPUNIT_ASSERT(mostKept(plans([&](size_t i) { return i % 3 == 0 ? before : others; })) <= kLimit);
    }

    void plan_moreEntriesThanConnections_connectionsKeptStayWithinLimit()
    {
        std::vector<std::string> all = addresses(0, kEntries);
        CPPUNIT_ASSERT(mostKept(plans([&](size_t) { return all; })) <= kLimit);
    }

    void plan_entryLeavesTheList_keepsNoConnections()
    {
        ConnectionPlan plan;
        plan.setDeploymentSize(kEntries);
        plan.setEntries(m_now, "10.0.0.1:8000", addresses(0, 48));
        CPPUNIT_ASSERT(plan.keepsConnections(upstream(1), kLimit));
        plan.setEntries(m_now + 1s, "10.0.0.1:8000", addresses(2, 48));
        CPPUNIT_ASSERT(!plan.isOffered());
        CPPUNIT_ASSERT(!plan.keepsConnections(upstream(1), kLimit));
    }

    void plan_fewEntries_keepConnectionsBeforeTheyAreListed()
    {
        ConnectionPlan plan;
        plan.setDeploymentSize(7);
        plan.setEntryCount(7);
        plan.setEntries(m_now, "10.0.0.9:8000", addresses(0, 6));
        CPPUNIT_ASSERT(plan.keepsConnections(upstream(1), kLimit));
        CPPUNIT_ASSERT(plan.opensInAdvance(m_now));
    }

private:
    TimePoint m_now = TimePoint(100s);
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPlanFailureTest);
