// What one entry asks another one to do for a caller's request, and the replies: to ask some of its shards, or
// to serve all of it where the entry is cut off from the upstreams. A request that has been delegated as a whole
// may be divided, and is never delegated as a whole again; a group is never delegated again.
#pragma once

#include "hickoryspur/request/RequestCodec.h"
#include "hickoryspur/request/RequestQuarantine.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickoryspur {

struct DelegatedRequest
{
    /** Taken off the time left for the way to the other entry and back. */
    static constexpr Duration kHopTime = 3ms;

    ForwardedRequest request;
    /** How long the caller still waits, in microseconds; zero if it has not said so. */
    int64_t timeoutMicros = 0;
    /** The shards to ask; empty for the whole request. */
    std::vector<ServiceName> shards;
    /** Of the shards, how many may be left out because they have no good replica. */
    uint32_t maxSkipped = 0;
    /** Until the parts that have come are to be reported, and until the request times out, in microseconds. */
    int64_t targetMicros = 0;
    int64_t deadlineMicros = 0;
    MSGPACK_DEFINE(request, timeoutMicros, shards, maxSkipped, targetMicros, deadlineMicros)
};

/** The parts of a group that have come since the last report. */
struct GroupReport
{
    /** One for each part. */
    std::vector<std::string> signatures;
    /** The greatest records of these parts. */
    std::string records;
    /** No other report follows; shards that were not reported are lost. */
    bool ended = false;
    /** Some upstream has run the request, or may have run it. */
    bool mayHaveRun = false;
    /** The upstreams that have ended while they ran the request; only in the last report. */
    std::vector<UpstreamLoss> losses;
    MSGPACK_DEFINE(signatures, records, ended, mayHaveRun, losses)
};

struct DelegatedReply
{
    /** The request has not run here and will not run; nothing else is set. */
    bool refused = false;
    /** For a group of shards. */
    GroupReport group;
    /** For a whole request: its one answer. */
    std::vector<CallerAnswer> answer;
    MSGPACK_DEFINE(refused, group, answer)
};

} // namespace hickoryspur
