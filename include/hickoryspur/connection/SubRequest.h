// A sub-request to one upstream for one shard, and its reply, as exchanged between the entry that fans
// the query out and the entry that is the upstream's home.
#pragma once

#include "hickoryspur/connection/Announcement.h"
#include "hickoryspur/process/Time.h"

#include <string>
#include <vector>

namespace hickoryspur {

enum class SubOutcome : uint8_t {
    Ok = 0,
    /** The upstream refused because of load and did not run it. */
    Shed = 1,
    /** Nothing was sent: no connection, queue full, deadline too close, cancelled in the queue, or not the home. */
    NotSent = 2,
    /** The upstream does not hold the snapshot (no longer or not yet) and did not run it. */
    SnapshotGone = 3,
    /** The upstream ran it and failed. */
    Failed = 4,
    /** No answer in time, or the connection broke after the first byte was written. */
    Unknown = 5,
    Cancelled = 6,
    /** The upstream is draining and did not run it. */
    Draining = 7,
};

/** Whether the outcome proves that the upstream did not run the sub-request. */
bool provesNotRun(SubOutcome outcome);

struct SubRequest
{
    SubRequestId id;
    UpstreamId upstream;
    uint32_t shard = 0;
    MapGeneration generation;
    SnapshotId snapshot;
    /** Time left until the deadline when the message was sent, in microseconds; each hop subtracts its own time. */
    int64_t timeLeftMicros = 0;
    bool idempotent = true;
    std::string body;
    MSGPACK_DEFINE(id, upstream, shard, generation, snapshot, timeLeftMicros, idempotent, body)
};

struct SubReply
{
    SubRequestId id;
    uint8_t outcome = 0;
    uint32_t shard = 0;
    MapGeneration generation;
    SnapshotId snapshot;
    std::string body;
    /** From dispatch by the home to the end of the upstream's answer, in microseconds; zero if it was not sent. */
    int64_t latencyMicros = 0;
    MSGPACK_DEFINE(id, outcome, shard, generation, snapshot, body, latencyMicros)

    SubOutcome kind() const { return static_cast<SubOutcome>(outcome); }
};

/** One message with the sub-requests of any queries from one entry's traffic thread to one home. */
struct ForwardBatch
{
    NodeId from;
    uint32_t replyThread = 0;
    std::vector<SubRequest> requests;
    std::vector<SubRequestId> cancels;
    MSGPACK_DEFINE(from, replyThread, requests, cancels)

    bool empty() const { return requests.empty() && cancels.empty(); }
};

struct ReplyBatch
{
    uint32_t replyThread = 0;
    std::vector<SubReply> replies;
    MSGPACK_DEFINE(replyThread, replies)
};

} // namespace hickoryspur
