#include "hickoryspur/process/UsageTotals.h"

#include <algorithm>

namespace hickoryspur {

UsageTotals::Customers UsageTotals::sum(const Window &window)
{
    Customers sums = window.sums;
    for (const auto &[run, customers] : window.runs)
        for (const auto &[customer, total] : customers)
            sums[customer] += total;
    return sums;
}

bool UsageTotals::isOpen(uint64_t current, uint64_t window) const
{
    return window + kOpenWindows > current && window <= current + kFutureWindows;
}

void UsageTotals::dropOld(uint64_t current)
{
    while (!m_windows.empty() && m_windows.begin()->first + kWindows <= current) {
        m_rowCount -= m_windows.begin()->second.sums.size();
        for (const auto &[run, customers] : m_windows.begin()->second.runs)
            m_rowCount -= customers.size();
        m_windows.erase(m_windows.begin());
    }
    for (auto &[number, window] : m_windows) {
        if (number + kOpenWindows > current)
            break;
        if (window.runs.empty())
            continue;
        for (const auto &[run, customers] : window.runs)
            m_rowCount -= customers.size();
        m_rowCount -= window.sums.size();
        window.sums = sum(window);
        window.runs.clear();
        m_rowCount += window.sums.size();
    }
}

bool UsageTotals::recordRow(const Run &run, const UsageRow &row)
{
    const auto window = m_windows.find(row.window);
    if (window != m_windows.end()) {
        const auto known = window->second.runs.find(run);
        if (known != window->second.runs.end()) {
            const auto total = known->second.find(row.customer);
            if (total != known->second.end()) {
                total->second = std::max(total->second, row.total);
                return true;
            }
        }
    }
    if (m_rowCount >= kMaxRows)
        return false;
    m_windows[row.window].runs[run][row.customer] = row.total;
    ++m_rowCount;
    return true;
}

size_t UsageTotals::record(int64_t nowMillis, const UsageReport &report)
{
    const uint64_t current = usageWindowAt(nowMillis, m_windowLength);
    dropOld(current);
    const Run run(report.entry, report.incarnation);
    size_t dropped = 0;
    for (const UsageRow &row : report.rows)
        if (!isOpen(current, row.window) || row.customer.value().empty() || !recordRow(run, row))
            ++dropped;
    return dropped;
}

std::map<CustomerName, uint64_t> UsageTotals::counts(uint64_t window) const
{
    const auto found = m_windows.find(window);
    return found == m_windows.end() ? Customers() : sum(found->second);
}

} // namespace hickoryspur
