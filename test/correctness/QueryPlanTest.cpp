#include "hickoryspur/request/QueryPlan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

namespace {

UpstreamView upstream(const std::string &name, std::vector<uint32_t> shards, std::vector<uint64_t> snapshots,
                      uint64_t generation = 1, uint32_t shardCount = 4)
{
    UpstreamView view;
    view.announcement.id = UpstreamId(name);
    view.announcement.generation = MapGeneration(generation);
    view.announcement.shardCount = shardCount;
    view.announcement.shards = std::move(shards);
    view.announcement.snapshots = std::move(snapshots);
    return view;
}

} // namespace

class QueryPlanTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QueryPlanTest);
    CPPUNIT_TEST(plan_newestSnapshotLessCovered_selectsSnapshotWithMostCoverage);
    CPPUNIT_TEST(plan_equalCoverage_selectsNewestSnapshot);
    CPPUNIT_TEST(plan_everyReplicaOfAShardLost_keepsShardCount);
    CPPUNIT_TEST(plan_snapshotTooOld_isNotSelected);
    CPPUNIT_TEST(plan_newGenerationPartlyCovered_staysOnOldMap);
    CPPUNIT_TEST(plan_noShardMapKnown_returnsNoPlan);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_service = ServiceView();
        m_service.maps = {{MapGeneration(1), 4}};
        m_service.newestSnapshot = SnapshotId(8);
        m_options = PlanOptions();
        m_options.snapshotsBehind = 2;
    }

    void plan_newestSnapshotLessCovered_selectsSnapshotWithMostCoverage()
    {
        m_service.upstreams = {upstream("a", {0, 1, 2, 3}, {7}), upstream("b", {0, 1}, {7, 8})};
        CPPUNIT_ASSERT_EQUAL(uint64_t(7), makePlan(m_service, m_options)->snapshot.value());
    }

    void plan_equalCoverage_selectsNewestSnapshot()
    {
        m_service.upstreams = {upstream("a", {0, 1, 2, 3}, {7, 8})};
        CPPUNIT_ASSERT_EQUAL(uint64_t(8), makePlan(m_service, m_options)->snapshot.value());
    }

    void plan_everyReplicaOfAShardLost_keepsShardCount()
    {
        m_service.upstreams = {upstream("a", {0, 1, 2}, {8})};
        const auto plan = makePlan(m_service, m_options);
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), plan->shardCount);
        CPPUNIT_ASSERT_EQUAL(uint32_t(3), plan->coveredShards());
    }

    void plan_snapshotTooOld_isNotSelected()
    {
        m_service.upstreams = {upstream("a", {0, 1, 2, 3}, {5}), upstream("b", {0}, {8})};
        CPPUNIT_ASSERT_EQUAL(uint64_t(8), makePlan(m_service, m_options)->snapshot.value());
    }

    void plan_newGenerationPartlyCovered_staysOnOldMap()
    {
        m_service.maps.push_back({MapGeneration(2), 8});
        m_service.upstreams = {upstream("a", {0, 1, 2, 3}, {8}), upstream("b", {0, 1, 2}, {8}, 2, 8)};
        const auto plan = makePlan(m_service, m_options);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), plan->generation.value());
        CPPUNIT_ASSERT_EQUAL(uint32_t(4), plan->shardCount);
    }

    void plan_noShardMapKnown_returnsNoPlan()
    {
        m_service.maps.clear();
        m_service.upstreams = {upstream("a", {0, 1, 2, 3}, {8})};
        CPPUNIT_ASSERT(!makePlan(m_service, m_options));
    }

private:
    ServiceView m_service;
    PlanOptions m_options;
};

CPPUNIT_TEST_SUITE_REGISTRATION(QueryPlanTest);
