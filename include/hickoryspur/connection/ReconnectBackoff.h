// When to try again to reach an upstream that could not be reached: after a pause that doubles with
// each failure in a row, less a random part so that many entries do not come together. It answers
// the load pattern of many entries that each want a first connection to an upstream which is dark,
// or which resets connections because it has too many: without pauses the attempts alone keep it
// busy. Requests are not held back by it; they have other replicas to go to.
#pragma once

#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <random>

namespace hickoryspur {

class ReconnectBackoff
{
public:
    static constexpr Duration kInitialDelay = 100ms;
    /** An upstream that is back is found within this time even if no request asks for it. */
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
