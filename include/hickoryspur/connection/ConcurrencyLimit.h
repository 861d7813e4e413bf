// How many sub-requests an upstream may be given at a time, as our own traffic shows it. An upstream
// that is unknown counts as cold and gets one; each full round of quick answers adds one, up to its
// slots; a shed, a refused connection, two jumps in latency in a row or a new incarnation takes it back
// to one. A single slow answer is a straggler, not a cold upstream.
// What the upstream says of its own health only ever lowers the limit.
#pragma once

#include "hickoryspur/process/Time.h"

#include <algorithm>
#include <cstdint>

namespace hickoryspur {

class ConcurrencyLimit
{
public:
    /** Jumps in a row that mean the upstream has turned cold. */
    static constexpr uint32_t kJumpsToReset = 2;
    /** Latency this many times its floor is a jump. */
    static constexpr double kJumpFactor = 4.0;
    /** Latency below this many times its floor lets the limit grow. */
    static constexpr double kQuickFactor = 2.0;
    /** Jitter below this is no jump, however low the floor. */
    static constexpr Duration kMinJump = 5ms;
    static constexpr Duration kInitialPause = 50ms;
    static constexpr Duration kMaxPause = 2s;

    explicit ConcurrencyLimit(uint32_t slots)
        : m_slots(slots)
    {
    }

    void setSlots(uint32_t slots);
    void recordAnswer(TimePoint now, Duration latency);
    /** The upstream shed load, or refused the connection. */
    void recordRefusal(TimePoint now);
    void reset();

    uint32_t limit() const { return m_limit; }
    /** After a refusal nothing is sent until this time. */
    TimePoint pausedUntil() const { return m_pausedUntil; }
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
