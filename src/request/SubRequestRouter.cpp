#include "request/SubRequestRouter.h"

#include "hickoryspur/process/Metrics.h"

namespace hickoryspur {

SubRequestRouter::SubRequestRouter(NodeId self, uint32_t thread, Forward forward, std::function<void()> schedule)
    : m_self(std::move(self))
    , m_thread(thread)
    , m_forward(std::move(forward))
    , m_schedule(std::move(schedule))
{
}

ForwardBatch &SubRequestRouter::batchFor(const NodeId &home)
{
    ForwardBatch &batch = m_batches[home];
    batch.from = m_self;
    batch.replyThread = m_thread;
    if (!m_scheduled) {
        m_scheduled = true;
        m_schedule();
    }
    return batch;
}

void SubRequestRouter::send(const NodeId &home, SubRequest request, Receive receive)
{
    m_waiting.emplace(request.id, std::move(receive));
    batchFor(home).requests.push_back(std::move(request));
}

void SubRequestRouter::cancel(const NodeId &home, SubRequestId id)
{
    if (m_waiting.erase(id) > 0)
        batchFor(home).cancels.push_back(id);
}

void SubRequestRouter::receive(const ReplyBatch &batch)
{
    static Counter &late = Metrics::counter("hickoryspur_replies_dropped_total");
    for (const SubReply &reply : batch.replies) {
        const auto found = m_waiting.find(reply.id);
        if (found == m_waiting.end()) {
            late.add();
            continue;
        }
        const Receive receiver = std::move(found->second);
        m_waiting.erase(found);
        receiver(reply);
    }
}

void SubRequestRouter::flush()
{
    m_scheduled = false;
    std::map<NodeId, ForwardBatch> batches = std::move(m_batches);
    m_batches.clear();
    for (auto &[home, batch] : batches)
        m_forward(home, std::move(batch));
}

} // namespace hickoryspur
