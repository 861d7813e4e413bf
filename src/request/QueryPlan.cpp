#include "hickoryspur/request/QueryPlan.h"

#include <algorithm>
#include <map>

namespace hickoryspur {

namespace {

/** A snapshot of one map generation, ordered by generation, then by snapshot. */
struct SnapshotKey
{
    MapGeneration generation;
    SnapshotId snapshot;
    auto operator<=>(const SnapshotKey &) const = default;
};

const ShardMap *findMap(const ServiceView &service, MapGeneration generation)
{
    for (const ShardMap &map : service.maps)
        if (map.generation == generation)
            return &map;
    return nullptr;
}

bool isUsable(const ServiceView &service, const UpstreamView &upstream, const PlanOptions &options)
{
    const ShardMap *map = findMap(service, upstream.announcement.generation);
    return map && map->shards == upstream.announcement.shardCount && !upstream.announcement.isLeaving()
        && (!options.mayUse || options.mayUse(upstream));
}

std::map<SnapshotKey, std::vector<uint32_t>> holdersBySnapshot(const ServiceView &service, const PlanOptions &options)
{
    std::map<SnapshotKey, std::vector<uint32_t>> result;
    for (uint32_t i = 0; i < service.upstreams.size(); ++i) {
        const UpstreamView &upstream = service.upstreams[i];
        if (!isUsable(service, upstream, options))
            continue;
        for (const uint64_t snapshot : upstream.announcement.snapshots)
            result[{upstream.announcement.generation, SnapshotId(snapshot)}].push_back(i);
    }
    return result;
}

QueryPlan planFor(const ServiceView &service, const SnapshotKey &key, const std::vector<uint32_t> &holders)
{
    QueryPlan plan;
    plan.generation = key.generation;
    plan.snapshot = key.snapshot;
    plan.shardCount = findMap(service, key.generation)->shards;
    plan.candidates.resize(plan.shardCount);
    for (const uint32_t holder : holders)
        for (const uint32_t shard : service.upstreams[holder].announcement.shards)
            plan.candidates[shard].push_back(holder);
    return plan;
}

double coverage(const QueryPlan &plan)
{
    return static_cast<double>(plan.coveredShards()) / plan.shardCount;
}

} // namespace

uint32_t QueryPlan::coveredShards() const
{
    return static_cast<uint32_t>(std::count_if(candidates.begin(), candidates.end(),
                                               [](const std::vector<uint32_t> &held) { return !held.empty(); }));
}

std::optional<QueryPlan> makePlan(const ServiceView &service, const PlanOptions &options)
{
    const auto holders = holdersBySnapshot(service, options);
    const uint64_t newest = service.newestSnapshot.value();
    const uint64_t oldest = newest > options.snapshotsBehind ? newest - options.snapshotsBehind : 0;
    std::optional<QueryPlan> best;
    for (auto item = holders.rbegin(); item != holders.rend(); ++item) {
        const SnapshotKey &key = item->first;
        if (key.snapshot.value() < oldest || key.snapshot == options.excludedSnapshot)
            continue;
        QueryPlan plan = planFor(service, key, item->second);
        if (!best || coverage(plan) > coverage(*best))
            best = std::move(plan);
        if (best->coveredShards() == best->shardCount)
            break;
    }
    return best;
}

} // namespace hickoryspur
