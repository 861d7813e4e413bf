// The routes of one configuration that are divided among entries (ShardGroups), and which of their shards this
// entry serves. They are determined once for a change of the routes, the entries or the upstreams, and not for
// each request.
//
// It does no I/O.
#pragma once

#include "hickoryspur/connection/ShardGroups.h"
#include "hickoryspur/version/RouteTable.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

class RouteGroups
{
public:
    using Groups = std::shared_ptr<const std::vector<ShardGroup>>;

    /** Sets this entry, and all entries that callers are sent to; returns whether they have changed. */
    bool setEntries(const EntryLocation &self, const std::vector<EntryLocation> &entries);
    /** Marks that the upstreams have changed, so that update() is due. */
    void setOutdated() { m_outdated = true; }
    bool isOutdated() const { return m_outdated; }
    void update(const RouteTable &routes, const ShardGroups::ReplicaPlaces &placesOf);

    /** The groups of a request on the route; null if it is not divided. */
    Groups groupsOf(const Route &route) const;
    /** Whether the service is a shard of a divided route. */
    bool contains(const ServiceName &service) const { return m_shards.contains(service); }
    /** How many entries keep connections to the shard's upstreams; zero if the route is not divided. */
    size_t holders(const ServiceName &shard) const;
    /** Whether this entry is one of them. */
    bool isHolder(const ServiceName &shard) const;
    const ShardGroups &shardGroups() const { return m_shardGroups; }

private:
    ShardGroups m_shardGroups;
    /** By the name of the route. */
    std::map<std::string, Groups> m_groups;
    /** Who keeps connections to a shard's upstreams; looked up for each replica of each shard of a query. */
    struct Holders
    {
        size_t count = 0;
        bool includesSelf = false;
    };
    /** The shards of the divided routes. */
    std::unordered_map<ServiceName, Holders> m_shards;
    bool m_outdated = false;
};

} // namespace hickoryspur
