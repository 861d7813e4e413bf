// Estimates one quantile of a stream of latencies in constant memory. The estimate rises with each
// sample above it and falls with each sample below it, by steps in the ratio that balances at the
// quantile. It determines when a sub-request counts as slow.
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
    /** The estimate, or zero while there are too few samples. */
    Duration value() const;
    uint64_t samples() const { return m_samples; }

private:
    static constexpr uint64_t kMinSamples = 8;

    double m_quantile;
    double m_estimate = 0;
    uint64_t m_samples = 0;
};

} // namespace hickoryspur
