// Counts what happens to the connections to upstreams and why, as counters and as one log line at
// intervals. The counts tell apart connections that upstreams close for idleness, that they refuse at their
// limit, that cannot be opened, and that end while a request runs.
#pragma once

#include "hickoryspur/process/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hickoryspur {

enum class ConnectionEvent {
    OpenedInAdvance,
    OpenedForRequest,
    /** A request found an open connection. */
    Reused,
    /** The upstream closed it while no request ran. */
    ClosedIdle,
    /** The upstream closed it before the first request, as one does that is at its connection limit. */
    ClosedNew,
    ConnectFailed,
    /** Not kept after an answer: the upstream said so, or bytes followed the answer. */
    ClosedAfterAnswer,
    /** Ended while a request ran. */
    Broken,
    /** Closed here: its request was cancelled, its idle timeout was near, or its upstream takes no requests. */
    ClosedHere,
    Count
};

constexpr size_t kConnectionEventCount = static_cast<size_t>(ConnectionEvent::Count);

/** Adds one to the counter of the event, for all connections of the process. */
void countConnectionEvent(ConnectionEvent event);

/** Logs how often each event happened since the line before, while connections are in use. */
class ConnectionReport
{
public:
    void tick(TimePoint now, size_t openConnections, size_t upstreams);

private:
    TimePoint m_nextLine;
    std::array<int64_t, kConnectionEventCount> m_lastCounts{};
};

} // namespace hickoryspur
