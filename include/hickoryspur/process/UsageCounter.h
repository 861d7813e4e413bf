// Counts, on an entry, the requests of each customer that upstreams began to run, by window of the time of day, and
// decides which counts each control host is sent. A row holds a running total, so control hosts may get it any number
// of times and in any order.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <msgpack.hpp>

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace hickoryspur {

/** Length of a window if nothing else is configured; window k begins k times this after the start of 1970. */
constexpr Duration kUsageWindow = 5s;

/** The window that holds a time of day, which is in milliseconds since 1970. */
inline uint64_t usageWindowAt(int64_t trueMillis, Duration length = kUsageWindow)
{
    return trueMillis <= 0 ? 0 : static_cast<uint64_t>(trueMillis) / static_cast<uint64_t>(length / 1ms);
}

struct UsageRow
{
    uint64_t window = 0;
    CustomerName customer;
    /** Requests in the window that the sender has counted so far. */
    uint64_t total = 0;
    bool operator==(const UsageRow &) const = default;
    MSGPACK_DEFINE(window, customer, total)
};

/** From an entry to a control host: the rows that have changed. Not the report to the outside service; see
 * UsageReporter. */
struct UsageReport
{
    NodeId entry;
    /** The run of the entry in which the totals were counted. */
    Incarnation incarnation;
    std::vector<UsageRow> rows;
    MSGPACK_DEFINE(entry, incarnation, rows)
};

class UsageCounter
{
public:
    /** Rows of windows that began earlier are dropped; a control host that has just started gets those that are left.
     */
    static constexpr Duration kRetention = 30s;
    /** Rows that are kept: those of all windows for thousands of customers, in a few megabytes. */
    static constexpr size_t kMaxRows = 50'000;

    explicit UsageCounter(Duration windowLength = kUsageWindow)
        : m_windowLength(windowLength)
    {
    }

    /**
     * Counts a request; returns false if there are too many rows. Does nothing if the customer is empty.
     * @param beganMillis When it began to run, as a time of day in milliseconds since 1970.
     */
    bool count(int64_t beganMillis, const CustomerName &customer);
    /** A control host has named its clock, so it reads these reports. */
    void addReader(const NodeId &host) { m_readers.try_emplace(host, 0); }
    /** The session with a control host has ended: it may have lost what it was sent. */
    void removeReader(const NodeId &host) { m_readers.erase(host); }
    /**
     * The rows that each control host lacks, which from then on count as sent; nothing for one that lacks none.
     * @param nowMillis The time of day in milliseconds since 1970.
     */
    std::vector<std::pair<NodeId, std::vector<UsageRow>>> takeUnsent(int64_t nowMillis);
    size_t rowCount() const { return m_rowCount; }

private:
    struct Total
    {
        uint64_t requests = 0;
        /** The m_changes of its last change. */
        uint64_t changedAt = 0;
    };
    struct Window
    {
        std::map<CustomerName, Total> customers;
        uint64_t changedAt = 0;
    };

    void dropOld(int64_t nowMillis);
    std::vector<UsageRow> changedSince(uint64_t change) const;

    Duration m_windowLength;
    std::map<uint64_t, Window> m_windows;
    size_t m_rowCount = 0;
    /** Number of requests that were counted. */
    uint64_t m_changes = 0;
    /** The m_changes up to which each control host was sent the rows. */
    std::map<NodeId, uint64_t> m_readers;
};

} // namespace hickoryspur
