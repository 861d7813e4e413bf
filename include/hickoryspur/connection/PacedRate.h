// Paces requests at this entry's share of a rate that many entries share without talking to each other.
// Each entry has a grid of slots, one share's interval apart, that starts at a random phase. A slot may be
// used for kWindow after its time and is lost then. So however many entries have a request at the same
// moment, together they start about one window's worth at once, and no entry saves up more than that.
#pragma once

#include "hickoryspur/process/Time.h"

namespace hickoryspur {

class PacedRate
{
public:
    static constexpr Duration kWindow = 1s;

    /**
     * @param interval Time between two slots of this entry.
     * @param phase Random number in [0, 1) that places the first slot within one interval from now.
     */
    PacedRate(TimePoint now, Duration interval, double phase);
    /** Changes the interval; the next slot comes no later than one interval from now. */
    void setInterval(TimePoint now, Duration interval);
    /** The earliest slot that can be used now or later. */
    TimePoint nextSlot(TimePoint now) const;
    void recordStart(TimePoint now) { m_next = nextSlot(now) + m_interval; }

private:
    Duration m_interval;
    /** The earliest slot that has not been used; it may have been lost since. */
    TimePoint m_next;
};

} // namespace hickoryspur
