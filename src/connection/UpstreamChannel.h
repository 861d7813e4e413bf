// The connections from the home entry to one upstream. UpstreamQueue decides what is sent and when; the
// channel sends it over a connection that is not known to be silent and reports the outcome.
#pragma once

#include "hickoryspur/connection/SubRequest.h"
#include "hickoryspur/connection/UpstreamQueue.h"

#include <functional>
#include <memory>
#include <string>

namespace hickoryspur {

struct ChannelRequest
{
    DispatchId id = 0;
    std::string requestId;
    uint32_t shard = 0;
    MapGeneration generation;
    SnapshotId snapshot;
    TimePoint deadline;
    std::string body;
};

struct ChannelResult
{
    SubOutcome outcome = SubOutcome::Unknown;
    uint32_t shard = 0;
    MapGeneration generation;
    SnapshotId snapshot;
    std::string body;
};

class UpstreamChannel
{
public:
    using Done = std::function<void(ChannelResult)>;

    UpstreamChannel() = default;
    UpstreamChannel(const UpstreamChannel &) = delete;
    UpstreamChannel &operator=(const UpstreamChannel &) = delete;
    virtual ~UpstreamChannel() = default;

    /** Calls done exactly once, never from within send(). */
    virtual void send(ChannelRequest request, Done done) = 0;
    /** Asks the upstream to stop working on a request; done is still called. */
    virtual void cancel(DispatchId id) = 0;
    /** Closes silent connections and probes idle ones; to be called every few milliseconds. */
    virtual void tick(TimePoint now) = 0;
};

using ChannelFactory = std::function<std::unique_ptr<UpstreamChannel>(const Announcement &upstream)>;

} // namespace hickoryspur
