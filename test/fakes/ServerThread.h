// A server of the product on a thread of its own, whose callers are sockets of the test.
#pragma once

#include "connection/AsioScheduler.h"
#include "fakes/ReservedPort.h"
#include "request/HttpCallerServer.h"

#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <utility>

namespace hickoryspur {

class ServerThread
{
public:
    /** Returns once the server listens. */
    ServerThread(const ServerLimits &limits, CallerHandler handler)
    {
        // The thread owns the promise, whose waiter may return before the notification does.
        std::promise<void> listening;
        const std::future<void> started = listening.get_future();
        m_thread =
            std::thread([this, limits, handler = std::move(handler), listening = std::move(listening)]() mutable {
                run(limits, std::move(handler), listening);
            });
        started.wait();
    }

    ~ServerThread()
    {
        m_stop = true;
        m_thread.join();
    }

    ServerThread(const ServerThread &) = delete;
    ServerThread &operator=(const ServerThread &) = delete;

    boost::asio::ip::tcp::endpoint endpoint() const { return {boost::asio::ip::address_v4::loopback(), m_port}; }
    size_t openRequests() const { return m_openRequests; }

private:
    void run(const ServerLimits &limits, CallerHandler handler, std::promise<void> &listening)
    {
        auto context = std::make_shared<boost::asio::io_context>(1);
        boost::fibers::use_scheduling_algorithm<AsioScheduler>(context);
        const ReservedPort port(*context);
        m_port = port.number();
        auto server = HttpCallerServer::listen(*context, port.address(), limits, std::move(handler));
        listening.set_value();
        while (!m_stop) {
            m_openRequests = server ? (*server)->openRequests() : 0;
            boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
        }
        if (server)
            server->reset();
        // The thread ends only after the fibers of all connections.
        boost::this_fiber::sleep_for(limits.idleTimeout);
    }

    uint16_t m_port = 0;
    std::atomic<bool> m_stop{false};
    std::atomic<size_t> m_openRequests{0};
    std::thread m_thread;
};

} // namespace hickoryspur
