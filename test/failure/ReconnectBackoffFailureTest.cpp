#include "hickoryspur/connection/ReconnectBackoff.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace hickoryspur;

/**
 * Guards against entries that overload an upstream with connection attempts while it is unreachable or
 * resets connections. Each simulated entry checks every 50 ms whether it may open its first connection.
 */
class ReconnectBackoffFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReconnectBackoffFailureTest);
    CPPUNIT_TEST(backoff_noFailure_mayConnectAtOnce);
    CPPUNIT_TEST(backoff_upstreamUnreachable_attemptsAtMostATenthOfTicks);
    CPPUNIT_TEST(backoff_upstreamReachableAgain_isRetriedWithinMaxDelay);
    CPPUNIT_TEST(backoff_connected_restartsAtInitialDelay);
    CPPUNIT_TEST(backoff_manyEntries_attemptsAreSpreadOut);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration kTick = 50ms;

    /** Times at which an entry attempts to connect when every attempt fails. */
    static std::vector<Duration> attemptsWhileUnreachable(uint64_t seed, Duration duration)
    {
        ReconnectBackoff backoff(seed);
        std::vector<Duration> attempts;
        const TimePoint start{Duration(1s)};
        for (Duration at{}; at < duration; at += kTick) {
            if (!backoff.mayConnect(start + at))
                continue;
            attempts.push_back(at);
            backoff.recordFailure(start + at);
        }
        return attempts;
    }

public:
    void backoff_noFailure_mayConnectAtOnce() { CPPUNIT_ASSERT(ReconnectBackoff(1).mayConnect(TimePoint())); }

    void backoff_upstreamUnreachable_attemptsAtMostATenthOfTicks()
    {
        const size_t eachTick = 10s / kTick;
        CPPUNIT_ASSERT(10 * attemptsWhileUnreachable(1, 10s).size() <= eachTick);
    }

    void backoff_upstreamReachableAgain_isRetriedWithinMaxDelay()
    {
        for (uint64_t seed = 1; seed <= 50; ++seed) {
            const std::vector<Duration> attempts = attemptsWhileUnreachable(seed, 60s);
            for (size_t i = 1; i < attempts.size(); ++i)
                CPPUNIT_ASSERT(attempts[i] - attempts[i - 1] <= ReconnectBackoff::kMaxDelay + kTick);
        }
    }

    void backoff_connected_restartsAtInitialDelay()
    {
        ReconnectBackoff backoff(3);
        TimePoint now{Duration(1s)};
        for (int i = 0; i < 20; ++i)
            backoff.recordFailure(now);
        CPPUNIT_ASSERT(!backoff.mayConnect(now + ReconnectBackoff::kInitialDelay));
        backoff.recordSuccess();
        CPPUNIT_ASSERT(backoff.mayConnect(now));
        backoff.recordFailure(now);
        CPPUNIT_ASSERT(backoff.mayConnect(now + ReconnectBackoff::kInitialDelay));
    }

    void backoff_manyEntries_attemptsAreSpreadOut()
    {
        constexpr uint64_t kEntries = 56;
        std::map<Duration, size_t> attemptsAt;
        for (uint64_t seed = 1; seed <= kEntries; ++seed)
            for (const Duration at : attemptsWhileUnreachable(seed, 20s))
                if (at > 5s)
                    ++attemptsAt[at];
        const auto most =
            std::max_element(attemptsAt.begin(), attemptsAt.end(),
                             [](const auto &left, const auto &right) { return left.second < right.second; });
        CPPUNIT_ASSERT(most->second <= kEntries / 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReconnectBackoffFailureTest);
