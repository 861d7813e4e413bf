// What a control host knows of the requests of customers: the counts that entries have sent it, and the time of day by
// the clocks of the other control hosts. docs/design/usage.md describes the whole.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/process/ClockOffset.h"
#include "hickoryspur/process/PeerMessage.h"
#include "hickoryspur/process/UsageTotals.h"

#include <cstdint>
#include <map>

namespace hickoryspur {

class UsageCollector
{
public:
    explicit UsageCollector(Duration windowLength = kUsageWindow)
        : m_windowLength(windowLength)
        , m_totals(windowLength)
    {
    }

    /** An entry's UsageReport has come. */
    void receive(TimePoint now, const PeerMessage &message);
    /** Another control host has named its clock, in milliseconds since 1970; 0 if it is of an earlier release. */
    void recordClock(TimePoint now, const NodeId &host, int64_t clockMillis) { m_clock.record(now, host, clockMillis); }
    /** @param wallMillis This host's own clock, in milliseconds since 1970. */
    void tick(TimePoint now, int64_t wallMillis);

    /** Other control hosts whose clocks are known. */
    size_t clockSources() const { return m_clock.sources(); }
    /** The time of day at a point of the steady clock, in milliseconds since 1970. */
    int64_t trueMillis(TimePoint at) const { return m_clock.trueMillis(at); }
    /** The requests of each customer that upstreams began to run in the window, as far as is known. */
    std::map<CustomerName, uint64_t> counts(uint64_t window) const { return m_totals.counts(window); }

private:
    void reportDropped(TimePoint now, const UsageReport &report, size_t dropped);

    Duration m_windowLength;
    ClockOffset m_clock;
    UsageTotals m_totals;
    TimePoint m_nextDropLine;
};

} // namespace hickoryspur
