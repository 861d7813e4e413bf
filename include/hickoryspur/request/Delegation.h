// What one entry asks another one to do for a caller's request, and the replies: to ask some of its shards, or
// to serve all of it where the entry is cut off from the upstreams. A request that has been delegated as a whole
// may be divided, and is never delegated as a whole again; a group is never delegated again.
#pragma once

#include "hickoryspur/request/RequestCodec.h"
#include "hickoryspur/request/RequestQuarantine.h"
#include "hickoryspur/request/RequestUsage.h"

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
    /** begunMicrosAgo of an entry of an earlier release, which does not report it. */
    static constexpr int64_t kBeginUnknown = -1;
    /** begunMicrosAgo if no sub-request that was written has run, as far as is known. */
    static constexpr int64_t kNotBegun = 0;

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
    /** Microseconds, at least one, since the first sub-request that ran or may have run was written. */
    int64_t begunMicrosAgo = kBeginUnknown;
    MSGPACK_DEFINE(signatures, records, ended, mayHaveRun, losses, begunMicrosAgo)
};

struct DelegatedReply
{
    /** The request has not run here and will not run; nothing else is set. */
    bool refused = false;
    /** For a group of shards; for a whole request only begunMicrosAgo is set. */
    GroupReport group;
    /** For a whole request: its one answer. */
    std::vector<CallerAnswer> answer;
    MSGPACK_DEFINE(refused, group, answer)
};

/** GroupReport::begunMicrosAgo of a request that this entry serves for another one. */
int64_t begunMicrosAgo(TimePoint now, const RequestUsage &usage);
/** Notes what another entry reports on a part that this one, which accepted the request, has handed to it. */
void noteReportedUsage(TimePoint now, RequestUsage::RunId run, const GroupReport &report, RequestUsage &usage);

} // namespace hickoryspur
