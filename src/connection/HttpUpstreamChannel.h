// UpstreamChannel over HTTP/1.1 with Boost.Beast; docs/UPSTREAM-INTERFACE.md describes the protocol.
#pragma once

#include "connection/UpstreamChannel.h"

#include <boost/asio/io_context.hpp>

namespace hickoryspur {

/** Creates channels whose connections run on this io_context, which must be run by a single thread. */
ChannelFactory httpChannelFactory(boost::asio::io_context &context);

} // namespace hickoryspur
