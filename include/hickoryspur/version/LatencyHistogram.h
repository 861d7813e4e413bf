// A histogram of latencies in buckets that grow by 10% each, so that the error of a quantile is at
// most 5%. Histograms of several entries are merged by adding their counts.
#pragma once

#include "hickoryspur/process/Time.h"

#include <msgpack.hpp>

#include <map>

namespace hickoryspur {

class LatencyHistogram
{
public:
    /** Ratio between the bounds of a bucket. */
    static constexpr double kGrowth = 1.1;

    void add(Duration latency, uint64_t count = 1);
    void merge(const LatencyHistogram &other);
    uint64_t count() const;
    /** Latency that this share of the samples does not exceed; zero if there are no samples. */
    Duration quantile(double share) const;
    /** Number of samples in the buckets above the one that contains the limit. */
    uint64_t countAbove(Duration limit) const;
    /** Counts by bucket; bucket b starts at kGrowth^b microseconds. */
    const std::map<int32_t, uint64_t> &buckets() const { return m_counts; }
    void addToBucket(int32_t bucket, uint64_t count) { m_counts[bucket] += count; }
    MSGPACK_DEFINE(m_counts)

private:
    std::map<int32_t, uint64_t> m_counts;
};

} // namespace hickoryspur
