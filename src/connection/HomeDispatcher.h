// Dispatches sub-requests to the upstreams that this traffic thread is home to, with a queue and a channel
// for each. Sub-requests come from the fan-outs of this and of other entries; each is answered exactly
// once, through the reply hook. All methods are called on the traffic thread.
#pragma once

#include "connection/UpstreamChannel.h"
#include "hickoryspur/process/View.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

namespace hickoryspur {

/** The traffic thread of the entry that fans the query out. */
struct ReplyAddress
{
    NodeId node;
    uint32_t thread = 0;
    auto operator<=>(const ReplyAddress &) const = default;
};

class HomeDispatcher
{
public:
    using Reply = std::function<void(const ReplyAddress &, SubReply)>;

    HomeDispatcher(NodeId self, uint64_t incarnation, ChannelFactory factory, Reply reply);

    void setView(TimePoint now, ViewPointer view);
    void submit(TimePoint now, const ReplyAddress &from, SubRequest request);
    void cancel(TimePoint now, const ReplyAddress &from, SubRequestId id);
    void tick(TimePoint now);
    /** Number of sub-requests that wait or run. */
    size_t open() const { return m_jobs.size(); }

private:
    /** The queue and the channel of an upstream that this thread is home to. */
    struct Home
    {
        Announcement announcement;
        UpstreamQueue queue;
        std::unique_ptr<UpstreamChannel> channel;
    };
    /** A sub-request that waits or runs. */
    struct Job
    {
        ReplyAddress from;
        SubRequest request;
        TimePoint deadline;
        TimePoint dispatched;
    };
    using JobId = std::pair<ReplyAddress, SubRequestId>;

    Home *homeFor(TimePoint now, const UpstreamId &id);
    void openHome(TimePoint now, const UpstreamView &upstream);
    void execute(TimePoint now, Home &home, const DispatchActions &actions);
    void dispatch(TimePoint now, Home &home, DispatchId dispatchId);
    void completed(const UpstreamId &id, DispatchId dispatchId, ChannelResult result);
    void finish(DispatchId dispatchId, SubOutcome outcome, ChannelResult result, Duration latency);

    NodeId m_self;
    uint64_t m_incarnation;
    ChannelFactory m_factory;
    Reply m_reply;
    ViewPointer m_view;
    std::unordered_map<UpstreamId, const UpstreamView *> m_homeUpstreams;
    std::map<UpstreamId, Home> m_homes;
    std::unordered_map<DispatchId, Job> m_jobs;
    std::map<JobId, DispatchId> m_dispatchIds;
    DispatchId m_nextDispatchId = 1;
};

} // namespace hickoryspur
