// One traffic thread: an event loop with fibers that serves callers' connections, fans queries out
// and is home to its part of this entry's upstreams. The state of requests needs no locks:
// other threads reach it only through the post functions.
#pragma once

#include "connection/HomeDispatcher.h"
#include "request/QueryService.h"
#include "request/SubRequestRouter.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <thread>

namespace hickoryspur {

struct TrafficHooks
{
    /** Sends sub-requests to the entry that is home to their upstreams. */
    std::function<void(const NodeId &home, ForwardBatch)> forward;
    /** Sends replies to the traffic thread that forwarded the sub-requests. */
    std::function<void(const ReplyAddress &to, ReplyBatch)> reply;
    QueryService::Hooks query;
    /** Receives the thread's observations periodically. */
    std::function<void(ObservationBatch)> observe;
    /** Opens this thread's listening socket; called on the thread before its loop starts. */
    std::function<Result<void>(boost::asio::io_context &, QueryService &)> listen;
    ChannelFactory (*channels)(boost::asio::io_context &) = nullptr;
};

class TrafficThread
{
public:
    TrafficThread(NodeId self, uint64_t incarnation, uint32_t index, TrafficHooks hooks);
    ~TrafficThread();
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    /** Returns once the thread listens, or the error that prevents it. */
    Result<void> start();
    void stop();
    void postView(ViewPointer view);
    void postForward(ForwardBatch batch);
    void postReplies(ReplyBatch batch);
    /** Runs work on the traffic thread. */
    void post(std::function<void()> work);
    void postShuttingDown();
    /** Queries running on the thread plus sub-requests open at its homes. */
    size_t openCount() const { return m_openCount.load(); }

private:
    void run(const std::function<void(Result<void>)> &started);
    void tick();
    void queueReply(const ReplyAddress &to, SubReply reply);
    void flushReplies();

    NodeId m_self;
    uint64_t m_incarnation;
    uint32_t m_index;
    TrafficHooks m_hooks;
    std::shared_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<SubRequestRouter> m_router;
    std::unique_ptr<HomeDispatcher> m_homeDispatcher;
    std::unique_ptr<QueryService> m_service;
    std::map<ReplyAddress, ReplyBatch> m_replies;
    bool m_replyFlushPosted = false;
    TimePoint m_nextReport;
    std::atomic<bool> m_stopping{false};
    std::atomic<size_t> m_openCount{0};
    std::thread m_thread;
};

} // namespace hickoryspur
