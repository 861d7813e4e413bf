// A port for a server of the test that starts later.
#pragma once

#include "hickoryspur/process/Settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace hickoryspur {

/**
 * A port on which nobody listens and which the system gives to no other socket, on any loopback address, until this
 * object is gone. A server may listen on it meanwhile, as a socket that is bound and does not listen stands in the way
 * of none that reuses addresses.
 */
class ReservedPort
{
public:
    explicit ReservedPort(boost::asio::io_context &context)
        : m_holder(context, boost::asio::ip::tcp::v4())
    {
        m_holder.set_option(boost::asio::socket_base::reuse_address(true));
        m_holder.bind({boost::asio::ip::address_v4::any(), 0});
    }

    uint16_t number() const { return m_holder.local_endpoint().port(); }
    HostAddress address() const { return {"127.0.0.1", number()}; }

private:
    boost::asio::ip::tcp::socket m_holder;
};

} // namespace hickoryspur
