// Counters and gauges of this process. Looking up a Counter by name takes a lock, so callers keep the
// reference; updating it takes none. prometheusText() renders all of them for GET /metrics.
//
//     static Counter &hedges = Metrics::counter("hickoryspur_hedges_total");
//     hedges.add();
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace hickoryspur {

/** A counter, or a gauge if set() is used. Thread-safe. */
class Counter
{
public:
    void add(int64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    void set(int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<int64_t> m_value{0};
};

class Metrics
{
public:
    /** Returns the counter of this name, created on first use; it lives as long as the process. */
    static Counter &counter(const std::string &name);
    /** All counters in the Prometheus text format, version 0.0.4, sorted by name. */
    static std::string prometheusText();
};

} // namespace hickoryspur
