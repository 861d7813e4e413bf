// A running estimate of one quantile of a stream of latencies in one number: it moves up a little
// for each sample above it and down a little for each below, in the ratio that balances at the
// quantile. Used to decide when a sub-request counts as slow.
#pragma once

#include "hickoryspur/process/Time.h"

#include <cstdint>

namespace hickoryspur {

class LatencyQuantile
{
public:
    explicit LatencyQuantile(double quantile = 0.97)
        : m_quantile(quantile)
    {
    }

    void add(Duration latency);
    /** Zero until enough samples were seen. */
    Duration value() const;
    uint64_t samples() const { return m_samples; }

private:
    static constexpr uint64_t kMinSamples = 8;

    double m_quantile;
    double m_estimate = 0;
    uint64_t m_samples = 0;
};

} // namespace hickoryspur
