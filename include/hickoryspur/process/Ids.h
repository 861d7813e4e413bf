// Strong types for identifiers, so that the compiler rejects an UpstreamId passed for a NodeId or a
// LogIndex passed for a Term. Each type wraps one value; it compares, hashes, prints and packs like
// that value, and converts to it only through value().
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

/** Identifies a hickoryspur process by its name or address from the settings. */
using NodeId = StrongId<struct NodeTag, std::string>;
/** Identifies one run of a process; a restart chooses a new random value. */
using Incarnation = StrongId<struct IncarnationTag, uint64_t>;
/** Identifies one data folder; a host whose disk was lost rejoins under a new value. */
using DiskIncarnation = StrongId<struct DiskTag, uint64_t>;
/** The identifier in an upstream's announcements. */
using UpstreamId = StrongId<struct UpstreamTag, std::string>;
using ServiceName = StrongId<struct ServiceTag, std::string>;
using DataCentreName = StrongId<struct DataCentreTag, std::string>;
/** A customer in the configuration of routes, whose callers authenticate with its keys; empty for none. */
using CustomerName = StrongId<struct CustomerTag, std::string>;
using CallerName = StrongId<struct CallerTag, std::string>;
/** The version of an upstream's software. */
using VersionName = StrongId<struct VersionTag, std::string>;
/** Position of a shard in a shard map, from zero. */
using ShardIndex = StrongId<struct ShardTag, uint32_t>;
/** Version of a service's shard map; each repartitioning of the service increases it. */
using MapGeneration = StrongId<struct GenerationTag, uint64_t>;
/** Version of the data index that an upstream serves; a higher value is newer. */
using SnapshotId = StrongId<struct SnapshotTag, uint64_t>;
using Term = StrongId<struct TermTag, uint64_t>;
using LogIndex = StrongId<struct LogIndexTag, uint64_t>;
/** Identifies a sub-request; unique within one incarnation of a process. */
using SubRequestId = StrongId<struct SubRequestTag, uint64_t>;
/** Identifies requests that are the same for an upstream; fingerprintOf() computes it. */
using RequestFingerprint = StrongId<struct RequestFingerprintTag, std::string>;

} // namespace hickoryspur

template <typename Tag, typename Value> struct std::hash<hickoryspur::StrongId<Tag, Value>>
{
    size_t operator()(const hickoryspur::StrongId<Tag, Value> &id) const { return std::hash<Value>()(id.value()); }
};
