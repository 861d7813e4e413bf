// The connections from one home to one upstream. The home's gate decides what is sent and when; a
// channel carries it over a connection that is not known to be silent and reports how it ended.
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

    /** done is called exactly once, never from within send(). */
    virtual void send(ChannelRequest request, Done done) = 0;
    /** Asks the upstream to stop working on a request; its done still comes. */
    virtual void cancel(DispatchId id) = 0;
    /** Ends silent connections and probes idle ones; called every few milliseconds. */
    virtual void tick(TimePoint now) = 0;
};

using ChannelFactory = std::function<std::unique_ptr<UpstreamChannel>(const Announcement &upstream)>;

} // namespace hickoryspur
