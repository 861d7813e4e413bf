// Sends the sub-requests of one traffic thread to the homes of their upstreams and brings each reply
// to whoever waits for it. Sub-requests of all queries that go to one home within one turn of the
// event loop share a message.
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

    /** schedule is asked once for a later call of flush(). */
    SubRequestRouter(NodeId self, uint32_t thread, Forward forward, std::function<void()> scheduleFlush);

    SubRequestId nextId() { return SubRequestId(m_nextId++); }
    void send(const NodeId &home, SubRequest request, ReplyHandler handler);
    void cancel(const NodeId &home, SubRequestId id);
    /** A reply that nobody waits for any more is dropped and counted. */
    void receive(const ReplyBatch &batch);
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
