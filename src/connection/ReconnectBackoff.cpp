#include "hickoryspur/connection/ReconnectBackoff.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/** Keeps the shift below from overflowing; kMaxDelay is reached with fewer doublings. */
constexpr uint32_t kMaxDoublings = 10;
/** Lower bound of the random factor on the delay. */
constexpr double kMinJitterFactor = 0.5;

} // namespace

void ReconnectBackoff::recordFailure(TimePoint now)
{
    const Duration delay = std::min(kMaxDelay, kInitialDelay * (1 << std::min(m_failures, kMaxDoublings)));
    ++m_failures;
    std::uniform_real_distribution<double> jitter(kMinJitterFactor, 1);
    m_nextAttempt = now + Duration(static_cast<int64_t>(jitter(m_random) * static_cast<double>(delay.count())));
}

} // namespace hickoryspur
