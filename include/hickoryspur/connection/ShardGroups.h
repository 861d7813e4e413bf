// Divides the shards of a query among data centres, so that several entries work on one query. The time of
// a query over many shards is mostly the processor time of the entry that sends the sub-requests, and an
// entry that asks every shard needs a connection to every upstream.
//
// A shard belongs to the group of one data centre that holds a replica of it. The entries of that data
// centre serve the group: they alone keep connections to the upstreams of its shards, so an upstream is held
// by few entries, and most sub-requests stay within a data centre. All entries compute the same groups from
// the list of entries and the known upstreams (rendezvous hashing), without messages; where they differ for a
// moment, an entry opens a connection that it does not keep.
//
// A query over few shards is not divided: a hop to another entry takes longer than it saves.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/process/EntryLocation.h"
#include "hickoryspur/process/Ids.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickoryspur {

/** Shards that one entry asks on behalf of a query. */
struct ShardGroup
{
    /** Empty for shards without a known replica; the entry that has taken the query asks them itself. */
    DataCentreName dataCentre;
    std::vector<ServiceName> shards;
};

class ShardGroups
{
public:
    /** A query over fewer shards is served by one entry. */
    static constexpr size_t kMinShards = 40;

    /** The data centres with replicas of the shard that take requests. */
    using ReplicaPlaces = std::function<std::set<DataCentreName>(const ServiceName &)>;

    /** Sets this entry, and all entries that callers are sent to; returns whether they have changed. */
    bool setEntries(const EntryLocation &self, const std::vector<EntryLocation> &entries);
    /** The groups of a query over these shards; fewer than two if it is not divided. */
    std::vector<ShardGroup> divide(const std::vector<ServiceName> &shards, const ReplicaPlaces &placesOf) const;
    /** The group of a shard; nullopt if no entry is in a data centre with a replica of it. */
    std::optional<DataCentreName> groupOf(const ServiceName &shard, const std::set<DataCentreName> &places) const;
    /** Whether this entry serves the group of the data centre. */
    bool isMember(const DataCentreName &dataCentre) const;
    /** The entries that serve the group, in the order in which this entry asks them. */
    const std::vector<std::string> &members(const DataCentreName &dataCentre) const;

private:
    EntryLocation m_self;
    std::vector<EntryLocation> m_entries;
    std::map<DataCentreName, std::vector<std::string>> m_members;
};

} // namespace hickoryspur
