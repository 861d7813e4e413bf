#include "hickoryspur/request/HedgeDelays.h"

namespace hickoryspur {

void HedgeDelays::add(uint32_t shard, Duration latency)
{
    if (m_shards.size() <= shard)
        m_shards.resize(shard + 1, LatencyQuantile(m_quantile));
    m_shards[shard].add(latency);
    m_service.add(latency);
}

Duration HedgeDelays::delay(uint32_t shard) const
{
    const Duration own = shard < m_shards.size() ? m_shards[shard].value() : Duration::zero();
    return own > Duration::zero() ? own : m_service.value();
}

} // namespace hickoryspur
