#include "hickoryspur/connection/ReconnectBackoff.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/** Beyond this many doublings the pause is the longest one anyway. */
constexpr uint32_t kMostDoublings = 10;
/** The least part of the pause that is kept. */
constexpr double kLeastPart = 0.5;

} // namespace

void ReconnectBackoff::failed(TimePoint now)
{
    const Duration pause = std::min(kLongestPause, kFirstPause * (1 << std::min(m_failures, kMostDoublings)));
    ++m_failures;
    std::uniform_real_distribution<double> part(kLeastPart, 1);
    m_next = now + Duration(static_cast<int64_t>(part(m_random) * static_cast<double>(pause.count())));
}

} // namespace hickoryspur
