#include "hickoryspur/process/UsageCounter.h"

namespace hickoryspur {

bool UsageCounter::count(int64_t beganMillis, const CustomerName &customer)
{
    if (customer.value().empty())
        return true;
    dropOld(beganMillis);
    Window &window = m_windows[usageWindowAt(beganMillis, m_windowLength)];
    auto found = window.customers.find(customer);
    if (found == window.customers.end()) {
        if (m_rowCount >= kMaxRows)
            return false;
        found = window.customers.emplace(customer, Total()).first;
        ++m_rowCount;
    }
    ++found->second.requests;
    found->second.changedAt = window.changedAt = ++m_changes;
    return true;
}

void UsageCounter::dropOld(int64_t nowMillis)
{
    const uint64_t oldest = usageWindowAt(nowMillis - kRetention / 1ms, m_windowLength);
    while (!m_windows.empty() && m_windows.begin()->first < oldest) {
        m_rowCount -= m_windows.begin()->second.customers.size();
        m_windows.erase(m_windows.begin());
    }
}

std::vector<UsageRow> UsageCounter::changedSince(uint64_t change) const
{
    std::vector<UsageRow> rows;
    for (const auto &[number, window] : m_windows) {
        // Mostly only the current window has changed, and there may be thousands of customers in each.
        if (window.changedAt <= change)
            continue;
        for (const auto &[customer, total] : window.customers)
            if (total.changedAt > change)
                rows.push_back({number, customer, total.requests});
    }
    return rows;
}

std::vector<std::pair<NodeId, std::vector<UsageRow>>> UsageCounter::takeUnsent(int64_t nowMillis)
{
    dropOld(nowMillis);
    std::vector<std::pair<NodeId, std::vector<UsageRow>>> unsent;
    for (auto &[host, sent] : m_readers) {
        if (sent == m_changes)
            continue;
        std::vector<UsageRow> rows = changedSince(sent);
        sent = m_changes;
        if (!rows.empty())
            unsent.emplace_back(host, std::move(rows));
    }
    return unsent;
}

} // namespace hickoryspur
