#include "hickoryspur/request/LatencyQuantile.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/** Step per sample, relative to the estimate, before it is weighted by the quantile. */
constexpr double kStep = 0.1;
constexpr double kMinEstimateMicros = 50;

} // namespace

void LatencyQuantile::add(Duration latency)
{
    const auto sample = static_cast<double>(latency.count());
    ++m_samples;
    if (m_samples <= kMinSamples) {
        m_estimate = std::max(m_estimate, sample);
        return;
    }
    const double step = kStep * std::max(m_estimate, kMinEstimateMicros);
    m_estimate += sample > m_estimate ? step * m_quantile : -step * (1 - m_quantile);
    m_estimate = std::max(m_estimate, kMinEstimateMicros);
}

Duration LatencyQuantile::value() const
{
    return m_samples < kMinSamples ? Duration::zero() : Duration(static_cast<int64_t>(m_estimate));
}

} // namespace hickoryspur
