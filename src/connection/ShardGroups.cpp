#include "hickoryspur/connection/ShardGroups.h"

#include "hickoryspur/process/Digest.h"

#include <algorithm>

namespace hickoryspur {

bool ShardGroups::setEntries(const EntryLocation &self, const std::vector<EntryLocation> &entries)
{
    if (self == m_self && entries == m_entries)
        return false;
    m_self = self;
    m_entries = entries;
    m_members.clear();
    for (const EntryLocation &entry : entries)
        if (!entry.dataCentre.value().empty())
            m_members[entry.dataCentre].push_back(entry.address);
    // Each entry prefers another one, so that the work of all of them is spread over the group.
    const uint64_t seed = hash64(self.address);
    for (auto &[dataCentre, members] : m_members)
        std::sort(members.begin(), members.end(), [seed](const std::string &left, const std::string &right) {
            return hash64(left, seed) < hash64(right, seed);
        });
    return true;
}

std::optional<DataCentreName> ShardGroups::groupOf(const ServiceName &shard,
                                                   const std::set<DataCentreName> &places) const
{
    const uint64_t seed = hash64(shard.value());
    std::optional<DataCentreName> best;
    uint64_t bestHash = 0;
    for (const DataCentreName &place : places) {
        const uint64_t hash = hash64(place.value(), seed);
        if (!m_members.contains(place) || (best && hash >= bestHash))
            continue;
        best = place;
        bestHash = hash;
    }
    return best;
}

std::vector<ShardGroup> ShardGroups::divide(const std::vector<ServiceName> &shards, const ReplicaPlaces &placesOf) const
{
    if (shards.size() < kMinShards || m_members.size() < 2)
        return {};
    std::map<DataCentreName, ShardGroup> groups;
    for (const ServiceName &shard : shards) {
        const DataCentreName place = groupOf(shard, placesOf(shard)).value_or(DataCentreName());
        ShardGroup &group = groups[place];
        group.dataCentre = place;
        group.shards.push_back(shard);
    }
    std::vector<ShardGroup> result;
    result.reserve(groups.size());
    for (auto &[place, group] : groups)
        result.push_back(std::move(group));
    return result;
}

bool ShardGroups::isMember(const DataCentreName &dataCentre) const
{
    const std::vector<std::string> &all = members(dataCentre);
    return std::find(all.begin(), all.end(), m_self.address) != all.end();
}

const std::vector<std::string> &ShardGroups::members(const DataCentreName &dataCentre) const
{
    static const std::vector<std::string> kNone;
    const auto found = m_members.find(dataCentre);
    return found == m_members.end() ? kNone : found->second;
}

} // namespace hickoryspur
