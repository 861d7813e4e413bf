// An upstream's announcement: its identity, address, shards, capacity and state. It is soft state: the
// upstream sends it periodically, entries exchange it, and it expires when it is no longer repeated.
#pragma once

#include "hickoryspur/process/ControlState.h"

#include <string>
#include <vector>

namespace hickoryspur {

/** Leaving: completes its running requests and gets no new ones. Gone: it has deregistered or was replaced. */
enum class UpstreamState : uint8_t { Cold = 0, Ready = 1, Leaving = 2, Gone = 3 };

struct Announcement
{
    UpstreamId id;
    uint8_t environment = static_cast<uint8_t>(Environment::Production);
    ServiceName service;
    VersionName version;
    /** Increases with each start of the upstream's process. */
    uint64_t incarnation = 0;
    /** Increases with each announcement of one incarnation. */
    uint64_t sequence = 0;
    MapGeneration generation;
    uint32_t shardCount = 0;
    std::vector<uint32_t> shards;
    std::vector<uint64_t> snapshots;
    std::string address;
    uint16_t port = 0;
    DataCentreName dataCentre;
    /** Sub-requests that the upstream runs at a time. */
    uint32_t slots = 1;
    /** Connections that the upstream accepts from all entries together. */
    uint32_t connectionLimit = 1;
    uint8_t state = static_cast<uint8_t>(UpstreamState::Ready);
    /** Time left, in milliseconds, in which the upstream expects to be slow after its start. */
    int64_t coldForMillis = 0;
    MSGPACK_DEFINE(id, environment, service, version, incarnation, sequence, generation, shardCount, shards, snapshots,
                   address, port, dataCentre, slots, connectionLimit, state, coldForMillis)

    UpstreamState upstreamState() const { return static_cast<UpstreamState>(state); }
    bool isLeaving() const { return state == static_cast<uint8_t>(UpstreamState::Leaving); }
    bool equalsExceptSequence(const Announcement &other) const;
};

/** Checks that the names are of a length that every host can store and send on; an error is MalformedRequest. */
Result<void> checkNames(const Announcement &announcement);

/** Parses the JSON body of an announcement; an error is MalformedRequest. */
Result<Announcement> parseAnnouncement(const std::string &json);

} // namespace hickoryspur
