#include "request/SubRequestRouter.h"

#include "hickoryspur/process/Metrics.h"

namespace hickoryspur {

SubRequestRouter::SubRequestRouter(NodeId self, uint32_t thread, Forward forward, std::function<void()> scheduleFlush)
    : m_self(std::move(self))
    , m_thread(thread)
    , m_forward(std::move(forward))
    , m_scheduleFlush(std::move(scheduleFlush))
{
}

ForwardBatch &SubRequestRouter::batchFor(const NodeId &home)
{
    ForwardBatch &batch = m_batches[home];
    batch.from = m_self;
    batch.replyThread = m_thread;
    if (!m_flushScheduled) {
        m_flushScheduled = true;
        m_scheduleFlush();
    }
    return batch;
}

void SubRequestRouter::send(const NodeId &home, SubRequest request, ReplyHandler handler)
{
    m_pendingReplies.emplace(request.id, std::move(handler));
    batchFor(home).requests.push_back(std::move(request));
}

void SubRequestRouter::cancel(const NodeId &home, SubRequestId id)
{
    if (m_pendingReplies.erase(id) > 0)
        batchFor(home).cancels.push_back(id);
}

void SubRequestRouter::receive(const ReplyBatch &batch)
{
    static Counter &dropped = Metrics::counter("hickoryspur_replies_dropped_total");
    for (const SubReply &reply : batch.replies) {
        const auto found = m_pendingReplies.find(reply.id);
        if (found == m_pendingReplies.end()) {
            dropped.add();
            continue;
        }
        const ReplyHandler handler = std::move(found->second);
        m_pendingReplies.erase(found);
        handler(reply);
    }
}

void SubRequestRouter::flush()
{
    m_flushScheduled = false;
    std::map<NodeId, ForwardBatch> batches = std::move(m_batches);
    m_batches.clear();
    for (auto &[home, batch] : batches)
        m_forward(home, std::move(batch));
}

} // namespace hickoryspur
