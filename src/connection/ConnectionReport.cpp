#include "connection/ConnectionReport.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"

#include <sstream>
#include <string>

namespace hickoryspur {

namespace {

constexpr Duration kLineInterval = 5s;

/** Names in the metrics and in the log, in the order of ConnectionEvent. */
constexpr std::array<const char *, kConnectionEventCount> kNames = {
    "opened-in-advance", "opened-for-request",  "reused", "closed-idle", "closed-new",
    "connect-failed",    "closed-after-answer", "broken", "closed-here"};

Counter &counterOf(size_t event)
{
    static const std::array<Counter *, kConnectionEventCount> kCounters = [] {
        std::array<Counter *, kConnectionEventCount> counters{};
        for (size_t i = 0; i < kConnectionEventCount; ++i)
            counters[i] = &Metrics::counter(std::string("hickoryspur_upstream_connection_events_total{event=\"")
                                            + kNames[i] + "\"}");
        return counters;
    }();
    return *kCounters[event];
}

} // namespace

void countConnectionEvent(ConnectionEvent event)
{
    counterOf(static_cast<size_t>(event)).add();
}

void ConnectionReport::tick(TimePoint now, size_t openConnections, size_t upstreams)
{
    if (now < m_nextLine)
        return;
    m_nextLine = now + kLineInterval;
    std::ostringstream counts;
    for (size_t i = 0; i < kConnectionEventCount; ++i) {
        const int64_t count = counterOf(i).value();
        if (count != m_lastCounts[i])
            counts << ' ' << kNames[i] << '=' << count - m_lastCounts[i];
        m_lastCounts[i] = count;
    }
    if (!counts.str().empty())
        HS_LOG(INFO, LogEvent::ConnectionsReported)
            << "open=" << openConnections << " upstreams=" << upstreams << counts.str();
}

} // namespace hickoryspur
