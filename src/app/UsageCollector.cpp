#include "app/UsageCollector.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/process/Metrics.h"

namespace hickoryspur {

namespace {

/** At most one line in this time tells of dropped rows, since each entry may send such rows several times a second. */
constexpr Duration kDropLineInterval = 10s;

} // namespace

void UsageCollector::receive(TimePoint now, const PeerMessage &message)
{
    static Counter &received = Metrics::counter("hickoryspur_usage_rows_received_total");
    const std::optional<UsageReport> report = unpack<UsageReport>(message.payload);
    if (!report) {
        HS_LOG(WARNING, LogEvent::MessageUndecodable)
            << "counts of requests from " << message.from << " cannot be decoded; dropped";
        return;
    }
    received.add(static_cast<int64_t>(report->rows.size()));
    const size_t dropped = m_totals.record(trueMillis(now), *report);
    if (dropped > 0)
        reportDropped(now, *report, dropped);
}

void UsageCollector::reportDropped(TimePoint now, const UsageReport &report, size_t dropped)
{
    static Counter &droppedRows = Metrics::counter("hickoryspur_usage_rows_dropped_total");
    droppedRows.add(static_cast<int64_t>(dropped));
    if (now < m_nextDropLine)
        return;
    m_nextDropLine = now + kDropLineInterval;
    HS_LOG(WARNING, LogEvent::UsageRowsDropped)
        << "entry=" << report.entry << " dropped=" << dropped << " of=" << report.rows.size()
        << " first-window=" << report.rows.front().window
        << " window-now=" << usageWindowAt(trueMillis(now), m_windowLength) << " held=" << m_totals.rowCount();
}

void UsageCollector::tick(TimePoint now, int64_t wallMillis)
{
    static Counter &held = Metrics::counter("hickoryspur_usage_rows_held");
    static Counter &ahead = Metrics::counter("hickoryspur_clock_ahead_ms");
    m_clock.recordOwn(now, wallMillis);
    held.set(static_cast<int64_t>(m_totals.rowCount()));
    ahead.set(wallMillis - trueMillis(now));
}

} // namespace hickoryspur
