// Sends the sub-requests of one traffic thread to the homes of their upstreams and passes each reply
// to its handler. All sub-requests that go to the same home within one turn of the event loop share
// a message.
#pragma once

#include "hickoryspur/connection/SubRequest.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace hickoryspur {

class SubRequestRouter
{
public:
    using Forward = std::function<void(const NodeId &home, ForwardBatch batch)>;
    using ReplyHandler = std::function<void(const SubReply &)>;

    /** Calls scheduleFlush once before each flush(); it must arrange for flush() to be called later. */
    SubRequestRouter(NodeId self, uint32_t thread, Forward forward, std::function<void()> scheduleFlush);

    SubRequestId nextId() { return SubRequestId(m_nextId++); }
    void send(const NodeId &home, SubRequest request, ReplyHandler handler);
    /** Drops the handler and forwards the cancellation to the home. */
    void cancel(const NodeId &home, SubRequestId id);
    /** Replies without a handler, such as those of cancelled sub-requests, are dropped and counted. */
    void receive(const ReplyBatch &batch);
    /** Sends the batches collected since the last call. */
    void flush();

private:
    ForwardBatch &batchFor(const NodeId &home);

    NodeId m_self;
    uint32_t m_thread;
    Forward m_forward;
    std::function<void()> m_scheduleFlush;
    bool m_flushScheduled = false;
    uint64_t m_nextId = 1;
    std::map<NodeId, ForwardBatch> m_batches;
    std::unordered_map<SubRequestId, ReplyHandler> m_pendingReplies;
};

} // namespace hickoryspur
