#include "hickoryspur/request/RetryBudget.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>

namespace hickoryspur {

void RetryBudget::advance(TimePoint now)
{
    const int64_t position = now.time_since_epoch() / (kWindow / kBuckets);
    const int64_t steps = std::min<int64_t>(position - m_position, kBuckets);
    for (int64_t step = 0; step < steps; ++step) {
        Bucket &bucket = m_buckets[static_cast<size_t>((position - step) % static_cast<int64_t>(kBuckets))];
        m_first -= bucket.first;
        m_extra -= bucket.extra;
        bucket = Bucket();
    }
    m_position = std::max(m_position, position);
}

void RetryBudget::recordFirstSubRequests(TimePoint now, uint64_t count)
{
    advance(now);
    m_buckets[static_cast<size_t>(m_position) % kBuckets].first += count;
    m_first += count;
}

bool RetryBudget::tryConsumeBudget(TimePoint now)
{
    advance(now);
    const double allowed = m_share * static_cast<double>(m_first) + m_slack;
    if (static_cast<double>(m_extra + 1) > allowed)
        return false;
    ++m_extra;
    ++m_buckets[static_cast<size_t>(m_position) % kBuckets].extra;
    HS_INVARIANT(ExtraWithinBudget, static_cast<double>(m_extra) <= allowed)
        << m_extra << " extra sub-requests in the window exceed the budget for " << m_first << " first sub-requests";
    return true;
}

} // namespace hickoryspur
