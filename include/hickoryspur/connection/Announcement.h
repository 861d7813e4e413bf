// What an upstream says of itself when it announces itself to an entry. It is soft state: repeated
// by the upstream, spread between entries and forgotten when it stops.
#pragma once

#include "hickoryspur/process/ControlState.h"

#include <string>
#include <vector>

namespace hickoryspur {

/** Leaving: still answers what it has, and gets nothing new. Gone: it has said that it ends. */
enum class UpstreamState : uint8_t { Cold = 0, Ready = 1, Leaving = 2, Gone = 3 };

struct Announcement
{
    UpstreamId id;
    uint8_t environment = static_cast<uint8_t>(Environment::Production);
    ServiceName service;
    VersionName version;
    /** Higher for each life of the upstream's process. */
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    MapGeneration generation;
    uint32_t shardCount = 0;
    std::vector<uint32_t> shards;
    std::vector<uint64_t> snapshots;
    std::string address;
    uint16_t port = 0;
    DataCentreName dataCentre;
    uint32_t slots = 1;
    uint32_t connectionLimit = 1;
    uint8_t state = static_cast<uint8_t>(UpstreamState::Ready);
    /** How much longer it expects to be slow after its start, in milliseconds. */
    int64_t coldForMillis = 0;
    MSGPACK_DEFINE(id, environment, service, version, incarnation, sequence, generation, shardCount, shards, snapshots,
                   address, port, dataCentre, slots, connectionLimit, state, coldForMillis)

    UpstreamState upstreamState() const { return static_cast<UpstreamState>(state); }
    bool isLeaving() const { return state == static_cast<uint8_t>(UpstreamState::Leaving); }
    bool equalsExceptSequence(const Announcement &other) const;
};

/** Reads the JSON body of an announcement; every error names the field. */
Result<Announcement> parseAnnouncement(const std::string &json);

} // namespace hickoryspur
