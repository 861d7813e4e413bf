// Selects the snapshot from which a query is answered and the upstreams that can answer for each
// shard. The planner prefers the snapshot that covers the largest share of the shards of its map
// generation, then the newest, and uses none that is older than the document allows. The shard count
// always comes from the shard map in control state, so that a lost shard is reported as missing.
#pragma once

#include "hickoryspur/connection/Announcement.h"

#include <functional>
#include <optional>
#include <vector>

namespace hickoryspur {

/** An upstream of a service with the state that the query path needs. */
struct UpstreamView
{
    Announcement announcement;
    NodeId home;
    /** The home changed recently, and the previous home may still have work running on the upstream. */
    bool homeHandoverPending = false;
};

struct ServiceView
{
    std::vector<ShardMap> maps;
    std::vector<UpstreamView> upstreams;
    /** The newest snapshot of the service that this process has seen since it started. */
    SnapshotId newestSnapshot;
};

struct QueryPlan
{
    MapGeneration generation;
    SnapshotId snapshot;
    uint32_t shardCount = 0;
    /** For each shard the indices into ServiceView::upstreams that hold it. */
    std::vector<std::vector<uint32_t>> candidates;

    /** Number of shards with at least one candidate. */
    uint32_t coveredShards() const;
};

struct PlanOptions
{
    /** How many snapshots the selected one may be older than the newest. */
    uint64_t snapshotsBehind = 0;
    std::optional<SnapshotId> excludedSnapshot;
    /** Filters the upstreams, for example by version; all may be used if it is empty. */
    std::function<bool(const UpstreamView &)> mayUse;
};

/** Returns nullopt if no shard map is known or no usable upstream holds an allowed snapshot. */
std::optional<QueryPlan> makePlan(const ServiceView &service, const PlanOptions &options);

} // namespace hickoryspur
