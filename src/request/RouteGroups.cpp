#include "hickoryspur/request/RouteGroups.h"

namespace hickoryspur {

bool RouteGroups::setEntries(const EntryLocation &self, const std::vector<EntryLocation> &entries)
{
    return m_shardGroups.setEntries(self, entries);
}

void RouteGroups::update(const RouteTable &routes, const ShardGroups::ReplicaPlaces &placesOf)
{
    m_outdated = false;
    m_groups.clear();
    m_shards.clear();
    for (const Route &route : routes.routes) {
        std::vector<ShardGroup> groups = m_shardGroups.divide(route.shards, placesOf);
        if (groups.size() < 2)
            continue;
        for (const ShardGroup &group : groups) {
            const Holders holders{m_shardGroups.members(group.dataCentre).size(),
                                  m_shardGroups.isMember(group.dataCentre)};
            for (const ServiceName &shard : group.shards)
                m_shards[shard] = holders;
        }
        m_groups[route.name] = std::make_shared<const std::vector<ShardGroup>>(std::move(groups));
    }
}

RouteGroups::Groups RouteGroups::groupsOf(const Route &route) const
{
    const auto found = m_groups.find(route.name);
    return found == m_groups.end() ? nullptr : found->second;
}

size_t RouteGroups::holders(const ServiceName &shard) const
{
    const auto found = m_shards.find(shard);
    return found == m_shards.end() ? 0 : found->second.count;
}

bool RouteGroups::isHolder(const ServiceName &shard) const
{
    const auto found = m_shards.find(shard);
    return found != m_shards.end() && found->second.includesSelf;
}

} // namespace hickoryspur
