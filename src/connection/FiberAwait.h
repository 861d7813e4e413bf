// Lets a fiber wait for an asynchronous operation of Boost.Asio.
#pragma once

#include <boost/fiber/future.hpp>
#include <boost/system/error_code.hpp>

namespace hickoryspur {

/**
 * Calls start(handler), which has to start an operation that calls the handler once with an error_code first, and
 * blocks the calling fiber until then. Returns that code.
 */
template <typename Start> boost::system::error_code await(Start start)
{
    boost::fibers::promise<boost::system::error_code> promise;
    boost::fibers::future<boost::system::error_code> future = promise.get_future();
    start([&promise](boost::system::error_code error, auto &&...) { promise.set_value(error); });
    return future.get();
}

} // namespace hickoryspur
