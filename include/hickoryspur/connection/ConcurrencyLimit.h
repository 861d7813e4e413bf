// Adaptive limit on the sub-requests that run on one upstream at a time, computed from observed
// latencies and refusals. A new upstream counts as cold and starts at one. Each full round of quick
// answers adds one, up to its slots. A shed or failed sub-request, a refused connection, two latency jumps
// in a row or a new incarnation resets the limit to one. A single slow answer is a straggler and resets
// nothing.
// The state that the upstream announces can lower the limit but never raises it.
#pragma once

#include "hickoryspur/process/Time.h"

#include <algorithm>
#include <cstdint>

namespace hickoryspur {

class ConcurrencyLimit
{
public:
    /** Latency jumps in a row that reset the limit to one. */
    static constexpr uint32_t kJumpsToReset = 2;
    /** A latency above the floor times this factor is a jump. */
    static constexpr double kJumpFactor = 4.0;
    /** A latency below the floor times this factor lets the limit grow. */
    static constexpr double kQuickFactor = 2.0;
    /** A latency less than this above the floor is jitter and counts as quick, however low the floor is. */
    static constexpr Duration kMinJump = 5ms;
    /** Pause after a refusal; doubles with each further refusal until an answer arrives. */
    static constexpr Duration kInitialPause = 50ms;
    static constexpr Duration kMaxPause = 2s;

    explicit ConcurrencyLimit(uint32_t slots)
        : m_slots(slots)
    {
    }

    void setSlots(uint32_t slots);
    /** Latency is the time from dispatch to the end of the answer. */
    void recordAnswer(TimePoint now, Duration latency);
    /** The upstream shed a sub-request or could not be reached; resets the limit and starts a pause. */
    void recordRefusal(TimePoint now);
    /** Sets the limit back to one. */
    void reset();

    uint32_t limit() const { return m_limit; }
    /** Nothing may be dispatched before this time. */
    TimePoint pausedUntil() const { return m_pausedUntil; }
    /** Estimated lowest latency; zero before the first answer. */
    Duration floor() const { return m_floor; }
    bool isWarm() const { return m_limit >= m_slots; }

private:
    uint32_t m_slots;
    uint32_t m_limit = 1;
    uint32_t m_quickAnswers = 0;
    uint32_t m_jumps = 0;
    Duration m_floor = Duration::zero();
    Duration m_pause = Duration::zero();
    TimePoint m_pausedUntil;
};

} // namespace hickoryspur
