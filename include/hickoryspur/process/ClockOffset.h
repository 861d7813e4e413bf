// True time: the time of day on a host whose own clock may be wrong. Wall clocks differ between machines, and may step
// by seconds on some of them. The time used is the median over the clocks of other hosts, which a minority of wrong
// clocks does not move; between their messages it advances with this host's steady clock.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hickoryspur {

class ClockOffset
{
public:
    /** A source that has not been heard for longer has no part in the median. */
    static constexpr Duration kSourceValidity = 5s;

    /**
     * A message has come from another host.
     * @param wallMillis The host's wall clock, in milliseconds since 1970; 0 if the message names none.
     */
    void record(TimePoint now, const NodeId &source, int64_t wallMillis);
    /** This host's wall clock, in milliseconds since 1970; it is used only until another host has been heard. */
    void recordOwn(TimePoint now, int64_t wallMillis);
    /** The time of day at a point of this host's steady clock, in milliseconds since 1970. */
    int64_t trueMillis(TimePoint at) const;
    /** Sources that have been heard in the last kSourceValidity. */
    size_t sources() const { return m_samples.size(); }

private:
    struct Sample
    {
        /** The source's wall clock minus this host's steady clock. */
        Duration offset;
        TimePoint at;
    };

    void update(TimePoint now);
    /** Of two values in the middle, the one nearer to the offset in use. */
    Duration median(std::vector<Duration> offsets) const;

    std::map<NodeId, Sample> m_samples;
    /** The time of day minus this host's steady clock; kept while no source is heard. */
    Duration m_offset = Duration::zero();
    bool m_hasOtherSource = false;
};

} // namespace hickoryspur
