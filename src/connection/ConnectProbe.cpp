#include "connection/ConnectProbe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

struct Probe
{
    explicit Probe(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(bool)> done;

    void end(bool connected)
    {
        if (!done)
            return;
        const auto hook = std::exchange(done, nullptr);
        timer.cancel();
        boost::system::error_code ignored;
        socket.close(ignored);
        hook(connected);
    }
};

} // namespace

void probeConnection(asio::io_context &context, const HostAddress &address, Duration timeout,
                     std::function<void(bool connected)> done)
{
    auto probe = std::make_shared<Probe>(context);
    probe->done = std::move(done);
    probe->socket.async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(address.address), address.port),
                                [probe](const boost::system::error_code &error) { probe->end(!error); });
    probe->timer.expires_after(timeout);
    probe->timer.async_wait([probe](const boost::system::error_code &error) {
        if (!error)
            probe->end(false);
    });
}

} // namespace hickoryspur
