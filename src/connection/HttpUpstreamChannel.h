// The UpstreamChannel of the product: HTTP/1.1 over Boost.Beast, as docs/UPSTREAM-INTERFACE.md
// describes it. Only this file pair and the caller server include Beast.
#pragma once

#include "connection/UpstreamChannel.h"

#include <boost/asio/io_context.hpp>

namespace hickoryspur {

/** Makes channels whose connections run on this io_context, on its one thread. */
ChannelFactory httpChannelFactory(boost::asio::io_context &context);

} // namespace hickoryspur
