#include "hickoryspur/connection/ConcurrencyLimit.h"

namespace hickoryspur {

namespace {

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

/** Growth of the floor with each answer; lets the limit recover after requests have become more expensive. */
constexpr double kFloorRise = 1.01;

} // namespace

void ConcurrencyLimit::setSlots(uint32_t slots)
{
    m_slots = slots;
    m_limit = std::min(m_limit, slots);
}

void ConcurrencyLimit::recordAnswer(TimePoint, Duration latency)
{
    m_pause = Duration::zero();
    const bool known = m_floor > Duration::zero();
    const bool jumped = known && latency > scaled(m_floor, kJumpFactor) && latency > m_floor + kMinJump;
    const bool quick = !known || latency < scaled(m_floor, kQuickFactor) || latency < m_floor + kMinJump;
    m_floor = known ? std::min(scaled(m_floor, kFloorRise), latency) : latency;
    m_floor = std::max(m_floor, Duration(1));
    m_jumps = jumped ? m_jumps + 1 : 0;
    if (m_jumps >= kJumpsToReset)
        reset();
    if (jumped)
        return;
    if (!quick) {
        m_quickAnswers = 0;
        return;
    }
    if (++m_quickAnswers >= m_limit && m_limit < m_slots) {
        ++m_limit;
        m_quickAnswers = 0;
    }
}

void ConcurrencyLimit::recordRefusal(TimePoint now)
{
    reset();
    m_pause = std::clamp(2 * m_pause, kInitialPause, kMaxPause);
    m_pausedUntil = now + m_pause;
}

void ConcurrencyLimit::reset()
{
    m_limit = 1;
    m_quickAnswers = 0;
}

} // namespace hickoryspur
