// Strong types for identifiers: a NodeId is never taken for an UpstreamId, and a Term never for a
// LogIndex. Each wraps one value, compares, hashes, prints and packs like it, and converts only
// by value().
#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace hickoryspur {

template <typename Tag, typename Value> class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(Value value)
        : m_value(std::move(value))
    {
    }

    const Value &value() const { return m_value; }
    auto operator<=>(const StrongId &other) const = default;
    bool operator==(const StrongId &other) const = default;

    template <typename Packer> void msgpack_pack(Packer &packer) const { packer.pack(m_value); }
    void msgpack_unpack(const msgpack::object &object) { object.convert(m_value); }

    friend std::ostream &operator<<(std::ostream &out, const StrongId &id) { return out << id.m_value; }

private:
    Value m_value{};
};

/** A hickoryspur process as named in the settings. */
using NodeId = StrongId<struct NodeTag, std::string>;
/** One life of a process; a restart draws a new one. */
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
/** One life of a data folder; a lost disk comes back under a new one. */
using DiskIncarnation = StrongId<struct DiskTag, uint64_t>;
/** An upstream as it announces itself. */
using UpstreamId = StrongId<struct UpstreamTag, std::string>;
using ServiceName = StrongId<struct ServiceTag, std::string>;
using DataCentreName = StrongId<struct DataCentreTag, std::string>;
using CallerName = StrongId<struct CallerTag, std::string>;
/** The version of an upstream's software. */
using VersionName = StrongId<struct VersionTag, std::string>;
/** Position of a shard in a shard map, from zero. */
using ShardIndex = StrongId<struct ShardTag, uint32_t>;
/** Counts repartitionings of a service. */
using MapGeneration = StrongId<struct GenerationTag, uint64_t>;
/** An index version of the record; a higher one is newer. */
using SnapshotId = StrongId<struct SnapshotTag, uint64_t>;
using Term = StrongId<struct TermTag, uint64_t>;
using LogIndex = StrongId<struct LogIndexTag, uint64_t>;
/** Names one sub-request within one process incarnation. */
using SubRequestId = StrongId<struct SubRequestTag, uint64_t>;

} // namespace hickoryspur

template <typename Tag, typename Value> struct std::hash<hickoryspur::StrongId<Tag, Value>>
{
    size_t operator()(const hickoryspur::StrongId<Tag, Value> &id) const { return std::hash<Value>()(id.value()); }
};
