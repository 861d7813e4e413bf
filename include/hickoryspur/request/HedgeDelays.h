// The delay after which a sub-request of a service is hedged: a high quantile of its shard's latency,
// or of the whole service's latency while the shard has too few samples.
#pragma once

#include "hickoryspur/request/LatencyQuantile.h"

#include <vector>

namespace hickoryspur {

class HedgeDelays
{
public:
    static constexpr double kQuantile = 0.97;

    explicit HedgeDelays(double quantile = kQuantile)
        : m_quantile(quantile)
        , m_service(quantile)
    {
    }

    void add(uint32_t shard, Duration latency);
    /** Zero while the service has too few samples. */
    Duration delay(uint32_t shard) const;

private:
    double m_quantile;
    LatencyQuantile m_service;
    std::vector<LatencyQuantile> m_shards;
};

} // namespace hickoryspur
