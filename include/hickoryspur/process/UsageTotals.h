// The counts of all entries on a control host: for each window of the time of day and each customer, the number of
// requests that upstreams began to run. It keeps the highest total of each entry's run, so rows may come repeatedly
// and in any order, and an entry that was started again adds to what it had counted before.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/process/UsageCounter.h"

#include <cstdint>
#include <map>
#include <utility>

namespace hickoryspur {

class UsageTotals
{
public:
    /** Windows that are kept, the current one included. */
    static constexpr uint64_t kWindows = 60;
    /** Windows for which rows are accepted; only the sums of earlier ones stay. */
    static constexpr uint64_t kOpenWindows = 12;
    /** An entry's clock may be ahead of this host's by so many windows. */
    static constexpr uint64_t kFutureWindows = 1;
    /** Rows that are kept, of about 80 bytes each; more would take too much of a small host's memory. */
    static constexpr size_t kMaxRows = 300'000;

    explicit UsageTotals(Duration windowLength = kUsageWindow)
        : m_windowLength(windowLength)
    {
    }

    /**
     * Takes over an entry's rows; returns how many were dropped, since their windows are not open or there are too
     * many.
     * @param nowMillis The time of day in milliseconds since 1970.
     */
    size_t record(int64_t nowMillis, const UsageReport &report);
    /** The requests of each customer in the window; empty if there were none or the window is not kept. */
    std::map<CustomerName, uint64_t> counts(uint64_t window) const;
    size_t rowCount() const { return m_rowCount; }

private:
    using Run = std::pair<NodeId, Incarnation>;
    using Customers = std::map<CustomerName, uint64_t>;
    struct Window
    {
        /** Empty once the window is not open any more. */
        std::map<Run, Customers> runs;
        /** Set then. */
        Customers sums;
    };

    static Customers sum(const Window &window);
    /** Drops windows that are not kept, and of those that are not open any more all but the sums. */
    void dropOld(uint64_t current);
    bool isOpen(uint64_t current, uint64_t window) const;
    bool recordRow(const Run &run, const UsageRow &row);

    Duration m_windowLength;
    std::map<uint64_t, Window> m_windows;
    /** Rows of open windows and sums of the others. */
    size_t m_rowCount = 0;
};

} // namespace hickoryspur
