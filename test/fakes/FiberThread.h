// A thread with the fibers of the product, for tests that wait on them.
#pragma once

#include "connection/AsioScheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/fiber/operations.hpp>

#include <exception>
#include <functional>
#include <memory>
#include <thread>

namespace hickoryspur {

/** Runs the steps on a fiber of a thread of its own, since fibers' scheduling is set for a thread. */
inline void onFiberThread(const std::function<void(const std::shared_ptr<boost::asio::io_context> &)> &steps)
{
    std::exception_ptr failure;
    std::thread([&] {
        const auto context = std::make_shared<boost::asio::io_context>(1);
        boost::fibers::use_scheduling_algorithm<AsioScheduler>(context);
        try {
            steps(context);
        } catch (...) {
            failure = std::current_exception();
        }
    }).join();
    if (failure)
        std::rethrow_exception(failure);
}

} // namespace hickoryspur
