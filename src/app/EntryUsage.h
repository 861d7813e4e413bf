// The requests of customers that an entry has counted, on their way to the control hosts: which time of day a count
// belongs to, and which control host is sent what. docs/design/usage.md describes the whole.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/process/ClockOffset.h"
#include "hickoryspur/process/UsageCounter.h"

#include <functional>
#include <string>

namespace hickoryspur {

class EntryUsage
{
public:
    /** Sends a packed UsageReport to a control host. */
    using Send = std::function<void(const NodeId &host, std::string payload)>;

    /** @param incarnation Of this run of the entry. */
    EntryUsage(NodeId entry, Incarnation incarnation, Send send, Duration windowLength = kUsageWindow)
        : m_entry(std::move(entry))
        , m_incarnation(incarnation)
        , m_send(std::move(send))
        , m_counter(windowLength)
    {
    }

    /** Counts a customer's request that an upstream began to run at that point of the steady clock. */
    void count(const CustomerName &customer, TimePoint beganAt);
    /** A control host has sent an EntryUpdate with this clock; with 0 it does not know of these reports. */
    void recordClock(TimePoint now, const NodeId &host, int64_t clockMillis);
    /** @param wallMillis This entry's own clock, in milliseconds since 1970. */
    void recordOwnClock(TimePoint now, int64_t wallMillis) { m_clock.recordOwn(now, wallMillis); }
    /** A session with a control host has ended or begins. */
    void resetSession(const NodeId &host) { m_counter.removeReader(host); }
    /** Sends what control hosts lack; nothing if no customer's request was counted since. */
    void send(TimePoint now);

private:
    NodeId m_entry;
    Incarnation m_incarnation;
    Send m_send;
    ClockOffset m_clock;
    UsageCounter m_counter;
};

} // namespace hickoryspur
