// What entries and the leading control host tell each other of the load of upstreams: an entry reports its own
// requests, and the leader returns the sums for the upstreams that are loaded, slow or shedding. The rows are the last
// fields of EntryStatus and EntryUpdate. Ids are sent as they are: both sides may restart at any time, so a shorter
// number would have to be agreed anew each time.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <msgpack.hpp>

#include <cstdint>
#include <vector>

namespace hickoryspur {

/** What one entry sees of an upstream; replaces the entry's earlier row. */
struct LoadRow
{
    UpstreamId upstream;
    /** As announced. An upstream announces itself to one control host, so the leader may not know it itself. */
    uint32_t slots = 0;
    /** Requests of this entry that have been written to the upstream and have not ended. */
    uint32_t running = 0;
    /** Requests that have not ended after the usual latency. */
    uint32_t overdue = 0;
    /** Requests that wait in the entry for a connection or for room. */
    uint32_t waiting = 0;
    /** Requests that the upstream has refused since the last report. */
    uint32_t shed = 0;
    /**
     * The lowest latency of the answers of the last moments, in percent of the usual one of their route; zero if there
     * was none.
     */
    uint32_t latencyPercent = 0;
    MSGPACK_DEFINE(upstream, slots, running, overdue, waiting, shed, latencyPercent)
};

/** An upstream's load over all entries. */
struct SharedLoadRow
{
    UpstreamId upstream;
    /** Requests of all entries that run there. */
    uint32_t running = 0;
    /** Entries that have requests running there or waiting for it. */
    uint32_t demand = 0;
    /** Latency in percent of the usual one; zero unless the upstream is slow. */
    uint32_t latencyPercent = 0;
    MSGPACK_DEFINE(upstream, running, demand, latencyPercent)
};

/** All notable upstreams; those that are not named are not loaded. */
struct SharedLoadReport
{
    /** The leader's term in the replicated log. */
    uint64_t term = 0;
    std::vector<SharedLoadRow> rows;
    MSGPACK_DEFINE(term, rows)
};

/** Rows of one entry's status; an entry has fewer requests running at a time than that, except in overload. */
constexpr size_t kMaxLoadRows = 64;
/** Rows of a leader's report: about 6 KB, so that an overload of all upstreams does not use up the links. */
constexpr size_t kMaxSharedLoadRows = 256;
/** Both sides forget what is not repeated for so long. */
constexpr Duration kLoadValidity = 1s;
/** From this latency on, in percent of the usual one, an upstream counts as slow. */
constexpr uint32_t kSlowLatencyPercent = 200;

/** Requests that may be at an upstream at a time; an urgent one may use more, since it is to pass those that wait. */
constexpr uint32_t sharedLimit(uint32_t slots, bool isUrgent)
{
    return isUrgent ? 2 * slots : slots + slots / 2;
}

} // namespace hickoryspur
