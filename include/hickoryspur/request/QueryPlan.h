// Which snapshot a query is answered from and which upstreams can answer for each shard. The
// planner prefers the snapshot that covers most shards of its map generation, then the newest, and
// never one further behind than the document allows. The shard count always comes from the map in
// control state, so a lost shard stays visible as missing.
#pragma once

#include "hickoryspur/connection/Announcement.h"

#include <functional>
#include <optional>
#include <vector>

namespace hickoryspur {

/** An upstream of a service as the query path sees it. */
struct UpstreamView
{
    Announcement announcement;
    NodeId home;
    /** The home changed and the one before may still have work running there. */
    bool homeHandoverPending = false;
};

struct ServiceView
{
    std::vector<ShardMap> maps;
    std::vector<UpstreamView> upstreams;
    /** The newest snapshot this process has ever seen of the service. */
    SnapshotId newestSnapshot;
};

struct QueryPlan
{
    MapGeneration generation;
    SnapshotId snapshot;
    uint32_t shardCount = 0;
    /** For each shard the indices into ServiceView::upstreams that hold it. */
    std::vector<std::vector<uint32_t>> candidates;

    uint32_t coveredShards() const;
};

struct PlanOptions
{
    uint64_t snapshotsBehind = 0;
    std::optional<SnapshotId> avoid;
    /** Says which upstreams may be used, for example those of one version. */
    std::function<bool(const UpstreamView &)> mayUse;
};

/** Nothing where no shard map is known or no upstream holds any allowed snapshot. */
std::optional<QueryPlan> makePlan(const ServiceView &service, const PlanOptions &options);

} // namespace hickoryspur
