// Latencies counted in buckets whose bounds grow by a tenth, so that a quantile read from it is off
// by 5% at most. Histograms of several entries are merged by adding them.
#pragma once

#include "hickoryspur/process/Time.h"

#include <msgpack.hpp>

#include <map>

namespace hickoryspur {

class LatencyHistogram
{
public:
    static constexpr double kGrowth = 1.1;

    void add(Duration latency, uint64_t count = 1);
    void merge(const LatencyHistogram &other);
    uint64_t count() const;
    /** The latency below which this share of the samples lies; zero without samples. */
    Duration quantile(double share) const;
    /** Samples in the buckets above the one that holds the limit. */
    uint64_t countAbove(Duration limit) const;
    /** Counts by bucket; bucket b holds latencies from kGrowth^b microseconds on. */
    const std::map<int32_t, uint64_t> &buckets() const { return m_counts; }
    void addToBucket(int32_t bucket, uint64_t count) { m_counts[bucket] += count; }
    MSGPACK_DEFINE(m_counts)

private:
    std::map<int32_t, uint64_t> m_counts;
};

} // namespace hickoryspur
