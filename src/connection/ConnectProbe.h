// Finds out whether a new connection to an upstream can be opened, and closes it at once.
#pragma once

#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/Time.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace hickoryspur {

/** Calls done once, with false if the connection could not be opened before the timeout. */
void probeConnection(boost::asio::io_context &context, const HostAddress &address, Duration timeout,
                     std::function<void(bool connected)> done);

} // namespace hickoryspur
