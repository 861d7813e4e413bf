// Runs the fibers of one thread on top of one asio io_context: while no fiber is ready the thread
// waits in the io_context, whose handlers make fibers ready again.
//
//     boost::fibers::use_scheduling_algorithm<AsioScheduler>(context);
//
// The io_context must outlive every fiber of the thread.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/all.hpp>

#include <memory>

namespace hickoryspur {

class AsioScheduler : public boost::fibers::algo::algorithm
{
public:
    explicit AsioScheduler(const std::shared_ptr<boost::asio::io_context> &context)
        : m_context(context)
        , m_work(context->get_executor())
        , m_timer(*context)
    {
    }

    void awakened(boost::fibers::context *fiber) noexcept override { fiber->ready_link(m_ready); }

    boost::fibers::context *pick_next() noexcept override // NOLINT(readability-identifier-naming)
    {
        if (m_ready.empty())
            return nullptr;
        boost::fibers::context *next = &m_ready.front();
        m_ready.pop_front();
        return next;
    }

    bool has_ready_fibers() const noexcept override { return !m_ready.empty(); } // NOLINT

    void suspend_until(const std::chrono::steady_clock::time_point &until) noexcept override // NOLINT
    {
        // Setting the timer again would cancel the pending wait, whose handler would end run_one() at once.
        if (until != (std::chrono::steady_clock::time_point::max)() && until != m_armed) {
            m_armed = until;
            m_timer.expires_at(until);
            m_timer.async_wait([this](const boost::system::error_code &error) {
                if (!error)
                    m_armed = std::chrono::steady_clock::time_point();
            });
        }
        m_context->run_one();
        m_context->poll();
    }

    void notify() noexcept override
    {
        boost::asio::post(*m_context, [] {});
    }

private:
    std::shared_ptr<boost::asio::io_context> m_context;
    // Keeps the context from stopping while no handler is pending.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_armed;
    boost::fibers::scheduler::ready_queue_type m_ready;
};

} // namespace hickoryspur
