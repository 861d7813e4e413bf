// Decides when a caller's request counts as begun by an upstream, and for which time. It counts once, however many
// shards, hedges and retries it has: for the time at which the first of its sub-requests that an upstream ran, or may
// have run, was written. docs/design/usage.md lists the evidence.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace hickoryspur {

class RequestUsage
{
public:
    using RunId = uint64_t;

    /** @param count Called at most once, with the time at which the request began. */
    explicit RequestUsage(std::function<void(TimePoint)> count = [](TimePoint) {})
        : m_count(std::move(count))
    {
    }

    /** A sub-request is written to an upstream, or a part of the request is handed to another entry. */
    RunId begin(TimePoint at);
    /** No upstream has run what was begun, and none will. */
    void endNotRun(RunId id);
    /** An upstream has run what was begun, or may have run it; `at`, if it is known, is when it was written. */
    void endRun(RunId id, std::optional<TimePoint> at = std::nullopt);
    /** The caller has been answered, and is not told that the request has not run: what still runs counts. */
    void endRequest();
    /** When the request began; nullopt if it does not count so far. */
    const std::optional<TimePoint> &begunAt() const { return m_begunAt; }

private:
    struct Run
    {
        RunId id = 0;
        TimePoint at;
    };

    std::function<void(TimePoint)> m_count;
    /** What was begun and may run; empty once the request has been counted. */
    std::vector<Run> m_runs;
    RunId m_nextId = 1;
    std::optional<TimePoint> m_begunAt;
};

} // namespace hickoryspur
