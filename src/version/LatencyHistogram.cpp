#include "hickoryspur/version/LatencyHistogram.h"

#include <algorithm>
#include <cmath>

namespace hickoryspur {

namespace {

int32_t bucketOf(Duration latency)
{
    const double micros = std::max<double>(1.0, static_cast<double>(latency.count()));
    return static_cast<int32_t>(std::floor(std::log(micros) / std::log(LatencyHistogram::kGrowth)));
}

} // namespace

void LatencyHistogram::add(Duration latency, uint64_t count)
{
    m_counts[bucketOf(latency)] += count;
}

uint64_t LatencyHistogram::countAbove(Duration limit) const
{
    uint64_t total = 0;
    for (auto item = m_counts.upper_bound(bucketOf(limit)); item != m_counts.end(); ++item)
        total += item->second;
    return total;
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    for (const auto &[bucket, count] : other.m_counts)
        m_counts[bucket] += count;
}

uint64_t LatencyHistogram::count() const
{
    uint64_t total = 0;
    for (const auto &[bucket, count] : m_counts)
        total += count;
    return total;
}

Duration LatencyHistogram::quantile(double share) const
{
    const auto rank = static_cast<uint64_t>(std::ceil(share * static_cast<double>(count())));
    uint64_t cumulative = 0;
    for (const auto &[bucket, count] : m_counts) {
        cumulative += count;
        // The geometric middle of the bucket is at most half a bucket away from the sample.
        if (cumulative >= rank)
            return Duration(static_cast<int64_t>(std::pow(kGrowth, bucket + 0.5)));
    }
    return Duration::zero();
}

} // namespace hickoryspur
