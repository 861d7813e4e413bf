// An upstream that answers with bytes of the test's choice, whether or not they are an HTTP answer. It runs on a thread
// of its own, so that a test may also wait for it on the thread that asks.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace hickoryspur {

class RawUpstream
{
public:
    struct Reply
    {
        std::string bytes;
        /** Whether the connection is closed after them. */
        bool closes = true;
    };

    /** Called on the upstream's thread once the head of a request has been read. */
    using OnRequest = std::function<Reply()>;

    explicit RawUpstream(OnRequest onRequest)
        : m_onRequest(std::move(onRequest))
        , m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_port(m_acceptor.local_endpoint().port())
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    explicit RawUpstream(Reply reply)
        : RawUpstream([reply = std::move(reply)] { return reply; })
    {
    }

    ~RawUpstream()
    {
        m_context.stop();
        m_thread.join();
    }

    RawUpstream(const RawUpstream &) = delete;
    RawUpstream &operator=(const RawUpstream &) = delete;

    uint16_t port() const { return m_port; }
    /** Number of requests whose head has been read. */
    size_t requests() const { return m_requests; }

private:
    using tcp = boost::asio::ip::tcp;

    struct Connection
    {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        boost::asio::streambuf request;
        Reply reply;
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            read(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(connection->socket, connection->request, "\r\n\r\n",
                                      [this, connection](boost::system::error_code error, size_t head) {
                                          if (error)
                                              return;
                                          connection->request.consume(head);
                                          ++m_requests;
                                          answer(connection);
                                      });
    }

    void answer(const std::shared_ptr<Connection> &connection)
    {
        connection->reply = m_onRequest();
        boost::asio::async_write(connection->socket, boost::asio::buffer(connection->reply.bytes),
                                 [this, connection](boost::system::error_code error, size_t) {
                                     // Without a further reference, the connection is closed.
                                     if (!error && !connection->reply.closes)
                                         read(connection);
                                 });
    }

    OnRequest m_onRequest;
    boost::asio::io_context m_context{1};
    tcp::acceptor m_acceptor;
    uint16_t m_port;
    std::atomic<size_t> m_requests{0};
    std::thread m_thread;
};

} // namespace hickoryspur
