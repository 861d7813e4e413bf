// Exponential backoff with jitter for connecting to an upstream that could not be reached. It guards
// against many entries that each try to open a first connection to an upstream which is unreachable, or
// which resets connections because it has too many: without the backoff the attempts alone keep the
// upstream busy, and without the jitter the entries retry at the same time. It does not delay requests,
// which go to other replicas.
#pragma once

#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <random>

namespace hickoryspur {

class ReconnectBackoff
{
public:
    static constexpr Duration kInitialDelay = 100ms;
    /** Upper bound of the time until an upstream that is reachable again is detected without a request for it. */
    static constexpr Duration kMaxDelay = 2s;

    explicit ReconnectBackoff(uint64_t seed)
        : m_random(seed)
    {
    }

    void recordFailure(TimePoint now);
    void recordSuccess() { m_failures = 0; }
    bool mayConnect(TimePoint now) const { return m_failures == 0 || now >= m_nextAttempt; }

private:
    uint32_t m_failures = 0;
    TimePoint m_nextAttempt;
    std::mt19937_64 m_random;
};

} // namespace hickoryspur
