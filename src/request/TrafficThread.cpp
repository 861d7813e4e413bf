#include "request/TrafficThread.h"

#include "connection/AsioScheduler.h"

#include <future>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = 2ms;
constexpr Duration kReportInterval = 500ms;

} // namespace

TrafficThread::TrafficThread(NodeId self, uint64_t incarnation, uint32_t index, TrafficHooks hooks)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_index(index)
    , m_hooks(std::move(hooks))
    , m_context(std::make_shared<asio::io_context>(1))
{
    m_router = std::make_unique<SubRequestRouter>(m_self, m_index, m_hooks.forward,
                                                  [this] { asio::post(*m_context, [this] { m_router->flush(); }); });
    m_homeDispatcher = std::make_unique<HomeDispatcher>(
        m_self, m_incarnation, m_hooks.channels(*m_context),
        [this](const ReplyAddress &to, SubReply reply) { queueReply(to, std::move(reply)); });
    m_service = std::make_unique<QueryService>(m_self, m_incarnation, *m_router, m_hooks.query, incarnation + index);
}

TrafficThread::~TrafficThread()
{
    stop();
}

Result<void> TrafficThread::start()
{
    std::promise<Result<void>> promise;
    std::future<Result<void>> future = promise.get_future();
    m_thread = std::thread(
        [this, &promise] { run([&promise](Result<void> result) { promise.set_value(std::move(result)); }); });
    return future.get();
}

void TrafficThread::run(const std::function<void(Result<void>)> &started)
{
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(m_context);
    Result<void> listening = m_hooks.listen(*m_context, *m_service);
    const bool ok = listening.has_value();
    started(std::move(listening));
    while (ok && !m_stopping) {
        boost::this_fiber::sleep_for(kTickInterval);
        tick();
    }
}

void TrafficThread::tick()
{
    const TimePoint now = monotonicNow();
    m_homeDispatcher->tick(now);
    m_service->tick(now);
    if (now >= m_nextReport) {
        m_nextReport = now + kReportInterval;
        if (ObservationBatch batch = m_service->drainObservations(); !batch.empty())
            m_hooks.observe(std::move(batch));
    }
    m_openCount.store(m_homeDispatcher->open() + m_service->runningCount());
}

void TrafficThread::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void TrafficThread::queueReply(const ReplyAddress &to, SubReply reply)
{
    ReplyBatch &batch = m_replies[to];
    batch.replyThread = to.thread;
    batch.replies.push_back(std::move(reply));
    if (m_replyFlushPosted)
        return;
    m_replyFlushPosted = true;
    asio::post(*m_context, [this] { flushReplies(); });
}

void TrafficThread::flushReplies()
{
    m_replyFlushPosted = false;
    std::map<ReplyAddress, ReplyBatch> replies = std::move(m_replies);
    m_replies.clear();
    for (auto &[to, batch] : replies)
        m_hooks.reply(to, std::move(batch));
}

void TrafficThread::post(std::function<void()> work)
{
    asio::post(*m_context, std::move(work));
}

void TrafficThread::postView(ViewPointer view)
{
    post([this, view = std::move(view)] {
        m_service->setView(view);
        m_homeDispatcher->setView(monotonicNow(), view);
    });
}

void TrafficThread::postForward(ForwardBatch batch)
{
    post([this, batch = std::move(batch)]() mutable {
        const TimePoint now = monotonicNow();
        const ReplyAddress from{batch.from, batch.replyThread};
        for (SubRequest &request : batch.requests)
            m_homeDispatcher->submit(now, from, std::move(request));
        for (const SubRequestId id : batch.cancels)
            m_homeDispatcher->cancel(now, from, id);
    });
}

void TrafficThread::postReplies(ReplyBatch batch)
{
    post([this, batch = std::move(batch)] { m_router->receive(batch); });
}

void TrafficThread::postShuttingDown()
{
    post([this] { m_service->setShuttingDown(); });
}

} // namespace hickoryspur
