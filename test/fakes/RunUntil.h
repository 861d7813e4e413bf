// Lets sockets and timers of an io_context work until a condition holds; fails the test after a generous bound.
#pragma once

#include "hickoryspur/process/Time.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/TestAssert.h>

#include <thread>

namespace hickoryspur {

template <typename Condition> void runUntil(boost::asio::io_context &context, Condition condition)
{
    constexpr Duration kBound = 5s;
    const TimePoint end = monotonicNow() + kBound;
    while (!condition() && monotonicNow() < end) {
        context.poll();
        context.restart();
        std::this_thread::sleep_for(1ms);
    }
    CPPUNIT_ASSERT(condition());
}

} // namespace hickoryspur
