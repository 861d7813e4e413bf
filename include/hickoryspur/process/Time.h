// Monotonic time points and durations. Classes that make decisions never read a clock: the adapters
// around them call monotonicNow() and pass the result, so that tests control the time.
#pragma once

#include <chrono>
#include <ctime>

namespace hickoryspur {

using Duration = std::chrono::microseconds;
/** Time on this host's monotonic clock, whose origin is arbitrary; not comparable between hosts. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Includes time in which the host was suspended (CLOCK_BOOTTIME), so that a lease expires during a suspension. */
inline TimePoint monotonicNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec)
                     + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

/** Wall-clock seconds since 1970, for display and audit trails only; no decision depends on it. */
inline int64_t wallClockSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/** Wall-clock milliseconds since 1970; one clock may be wrong by seconds, see ClockOffset. */
inline int64_t wallClockMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

using namespace std::chrono_literals;

} // namespace hickoryspur
