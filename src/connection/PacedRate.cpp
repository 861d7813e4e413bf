#include "hickoryspur/connection/PacedRate.h"

#include <algorithm>

namespace hickoryspur {

PacedRate::PacedRate(TimePoint now, Duration interval, double phase)
    : m_interval(std::max<Duration>(interval, 1us))
    , m_next(now + Duration(static_cast<int64_t>(phase * static_cast<double>(m_interval.count()))))
{
}

void PacedRate::setInterval(TimePoint now, Duration interval)
{
    m_next = std::min(nextSlot(now), now + interval);
    m_interval = std::max<Duration>(interval, 1us);
}

TimePoint PacedRate::nextSlot(TimePoint now) const
{
    if (m_next + kWindow > now)
        return m_next;
    const auto lost = (now - kWindow - m_next) / m_interval + 1;
    return m_next + lost * m_interval;
}

} // namespace hickoryspur
