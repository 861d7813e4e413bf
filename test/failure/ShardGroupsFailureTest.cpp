#include "hickoryspur/connection/ConnectionPlan.h"
#include "hickoryspur/connection/ShardGroups.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace hickoryspur;

/**
 * Guards against look-ups of many shards that one entry works on alone while the others are idle, and against
 * connections of every entry to every upstream. 135 shards with three replicas each in three of five data centres,
 * and 48 entries.
 */
class ShardGroupsFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ShardGroupsFailureTest);
    CPPUNIT_TEST(query_overManyShards_noEntryAsksMoreThanAThird);
    CPPUNIT_TEST(query_overManyShards_everyShardIsInOneGroupNearAReplica);
    CPPUNIT_TEST(query_overFewShards_isNotDivided);
    CPPUNIT_TEST(query_entriesOfUnknownPlace_isNotDivided);
    CPPUNIT_TEST(groups_allEntries_areTheSame);
    CPPUNIT_TEST(groups_allEntriesTogether_keepConnectionsWithinLimit);
    CPPUNIT_TEST(groups_listsDifferByAnEntry_keepConnectionsWithinLimit);
    CPPUNIT_TEST(group_entryLost_othersAreAskedInItsPlace);
    CPPUNIT_TEST(shard_replicasWhereNoEntryIs_hasNoGroup);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t kShards = 135;
    static constexpr size_t kDataCentres = 5;
    static constexpr uint32_t kLimit = 193;

    static DataCentreName dataCentre(size_t index)
    {
        return DataCentreName("dc" + std::to_string(index % kDataCentres));
    }

    static std::vector<EntryLocation> entries(size_t count = 48)
    {
        std::vector<EntryLocation> list;
        for (size_t i = 0; i < count; ++i)
            list.push_back({"10.0.0." + std::to_string(i) + ":8000", dataCentre(i)});
        return list;
    }

    static std::vector<ServiceName> shards(size_t count = kShards)
    {
        std::vector<ServiceName> list;
        for (size_t i = 0; i < count; ++i)
            list.emplace_back("shard" + std::to_string(i));
        return list;
    }

    static std::set<DataCentreName> placesOf(const ServiceName &shard)
    {
        const size_t first = std::stoul(shard.value().substr(5));
        return {dataCentre(first), dataCentre(first + 1), dataCentre(first + 2)};
    }

    static ShardGroups groupsOf(const EntryLocation &self, const std::vector<EntryLocation> &list)
    {
        ShardGroups groups;
        groups.setEntries(self, list);
        return groups;
    }

    /** The largest number of connections that the entries keep to the upstreams of one shard. */
    static size_t mostKept(const std::vector<ShardGroups> &all)
    {
        size_t most = 0;
        for (const ServiceName &shard : shards()) {
            size_t kept = 0;
            for (const ShardGroups &groups : all) {
                const DataCentreName group = *groups.groupOf(shard, placesOf(shard));
                if (groups.isMember(group))
                    kept += ConnectionPlan::maxConnections(kLimit, groups.members(group).size());
            }
            most = std::max(most, kept);
        }
        return most;
    }

public:
    void query_overManyShards_noEntryAsksMoreThanAThird()
    {
        const std::vector<ShardGroup> groups = groupsOf(entries()[0], entries()).divide(shards(), placesOf);
        CPPUNIT_ASSERT_EQUAL(kDataCentres, groups.size());
        for (const ShardGroup &group : groups)
            CPPUNIT_ASSERT(group.shards.size() <= kShards / 3);
    }

    void query_overManyShards_everyShardIsInOneGroupNearAReplica()
    {
        std::set<ServiceName> seen;
        for (const ShardGroup &group : groupsOf(entries()[0], entries()).divide(shards(), placesOf))
            for (const ServiceName &shard : group.shards) {
                CPPUNIT_ASSERT(seen.insert(shard).second);
                CPPUNIT_ASSERT(placesOf(shard).contains(group.dataCentre));
            }
        CPPUNIT_ASSERT_EQUAL(kShards, seen.size());
    }

    void query_overFewShards_isNotDivided()
    {
        const ShardGroups groups = groupsOf(entries()[0], entries());
        CPPUNIT_ASSERT(groups.divide(shards(ShardGroups::kMinShards - 1), placesOf).empty());
    }

    /** Hosts of an earlier release do not say where entries are. */
    void query_entriesOfUnknownPlace_isNotDivided()
    {
        std::vector<EntryLocation> list = entries();
        for (EntryLocation &entry : list)
            entry.dataCentre = DataCentreName();
        CPPUNIT_ASSERT(groupsOf(entries()[0], list).divide(shards(), placesOf).empty());
    }

    void groups_allEntries_areTheSame()
    {
        const ShardGroups first = groupsOf(entries()[0], entries());
        for (const EntryLocation &entry : entries())
            for (const ServiceName &shard : shards())
                CPPUNIT_ASSERT(groupsOf(entry, entries()).groupOf(shard, placesOf(shard))
                               == first.groupOf(shard, placesOf(shard)));
    }

    void groups_allEntriesTogether_keepConnectionsWithinLimit()
    {
        std::vector<ShardGroups> all;
        for (const EntryLocation &entry : entries(291))
            all.push_back(groupsOf(entry, entries()));
        CPPUNIT_ASSERT(mostKept(all) <= kLimit);
    }

    void groups_listsDifferByAnEntry_keepConnectionsWithinLimit()
    {
        std::vector<ShardGroups> all;
        for (size_t i = 0; i < 291; ++i)
            all.push_back(groupsOf(entries(291)[i], entries(44 + i % 9)));
        CPPUNIT_ASSERT(mostKept(all) <= kLimit);
    }

    void group_entryLost_othersAreAskedInItsPlace()
    {
        const std::vector<EntryLocation> list = entries();
        const ShardGroups before = groupsOf(list[0], list);
        const std::vector<std::string> &members = before.members(dataCentre(1));
        std::vector<EntryLocation> left = list;
        std::erase_if(left, [&](const EntryLocation &entry) { return entry.address == members.front(); });
        const ShardGroups after = groupsOf(list[0], left);
        CPPUNIT_ASSERT_EQUAL(members[1], after.members(dataCentre(1)).front());
        CPPUNIT_ASSERT_EQUAL(members.size() - 1, after.members(dataCentre(1)).size());
    }

    void shard_replicasWhereNoEntryIs_hasNoGroup()
    {
        const ShardGroups groups = groupsOf(entries()[0], entries());
        CPPUNIT_ASSERT(!groups.groupOf(ServiceName("shard1"), {DataCentreName("elsewhere")}));
        CPPUNIT_ASSERT(!groups.groupOf(ServiceName("shard1"), {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardGroupsFailureTest);
