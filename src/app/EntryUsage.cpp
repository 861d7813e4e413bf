#include "app/EntryUsage.h"

#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/process/Metrics.h"

namespace hickoryspur {

void EntryUsage::count(const CustomerName &customer, TimePoint beganAt)
{
    static Counter &counted = Metrics::counter("hickoryspur_usage_requests_total");
    static Counter &uncounted = Metrics::counter("hickoryspur_usage_requests_uncounted_total");
    (m_counter.count(m_clock.trueMillis(beganAt), customer) ? counted : uncounted).add();
}

void EntryUsage::recordClock(TimePoint now, const NodeId &host, int64_t clockMillis)
{
    if (clockMillis <= 0)
        return;
    m_clock.record(now, host, clockMillis);
    m_counter.addReader(host);
}

void EntryUsage::send(TimePoint now)
{
    static Counter &sentRows = Metrics::counter("hickoryspur_usage_rows_sent_total");
    for (auto &[host, rows] : m_counter.takeUnsent(m_clock.trueMillis(now))) {
        sentRows.add(static_cast<int64_t>(rows.size()));
        m_send(host, pack(UsageReport{m_entry, m_incarnation, std::move(rows)}));
    }
}

} // namespace hickoryspur
