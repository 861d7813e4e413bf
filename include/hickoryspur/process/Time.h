// Points in monotonic time and durations, as every decision class takes them. Decisions never read
// a clock: the adapters call monotonicNow() and hand the result in.
#pragma once

#include <chrono>
#include <ctime>

namespace hickoryspur {

using Duration = std::chrono::microseconds;
/** Time since an arbitrary start on this host's monotonic clock; not comparable between hosts. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Counts the time in which the host was suspended, so that a lease runs out while its holder sleeps. */
inline TimePoint monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec)
                     + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

/** Wall-clock seconds since 1970, for people and audit trails; no decision depends on it. */
inline int64_t wallClockSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

using namespace std::chrono_literals;

} // namespace hickoryspur
