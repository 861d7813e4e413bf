// The upstreams that this traffic thread is home to: a gate and a channel for each. Sub-requests
// come from the fan-outs of this and of other entries and are answered exactly once, through the
// reply hook. All methods are called on the traffic thread.
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

class HomeDesk
{
public:
    using Reply = std::function<void(const ReplyAddress &, SubReply)>;

    HomeDesk(NodeId self, uint64_t incarnation, ChannelFactory factory, Reply reply);

    void setView(TimePoint now, ViewPointer view);
    void submit(TimePoint now, const ReplyAddress &from, SubRequest request);
    void cancel(TimePoint now, const ReplyAddress &from, SubRequestId id);
    void tick(TimePoint now);
    /** Sub-requests that run or wait here. */
    size_t open() const { return m_jobs.size(); }

private:
    struct Home
    {
        Announcement announcement;
        UpstreamGate gate;
        std::unique_ptr<UpstreamChannel> channel;
    };
    struct Job
    {
        ReplyAddress from;
        SubRequest request;
        TimePoint deadline;
        TimePoint dispatched;
    };
    using JobName = std::pair<ReplyAddress, SubRequestId>;

    Home *homeFor(TimePoint now, const UpstreamId &id);
    void openHome(TimePoint now, const UpstreamView &upstream);
    void execute(TimePoint now, Home &home, const GateActions &actions);
    void dispatch(TimePoint now, Home &home, GateKey key);
    void completed(const UpstreamId &id, GateKey key, ChannelResult result);
    void finish(GateKey key, SubOutcome outcome, ChannelResult result, Duration latency);

    NodeId m_self;
    uint64_t m_incarnation;
    ChannelFactory m_factory;
    Reply m_reply;
    ViewPointer m_view;
    std::unordered_map<UpstreamId, const UpstreamView *> m_mine;
    std::map<UpstreamId, Home> m_homes;
    std::unordered_map<GateKey, Job> m_jobs;
    std::map<JobName, GateKey> m_names;
    GateKey m_nextKey = 1;
};

} // namespace hickoryspur
