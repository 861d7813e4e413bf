#include "hickoryspur/connection/ReconnectBackoff.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace hickoryspur;

/** Replays entries that look every 50 ms whether they may open their first connection to an upstream. */
class ReconnectBackoffFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReconnectBackoffFailureTest);
    CPPUNIT_TEST(backoff_nothingFailed_mayTryAtOnce);
    CPPUNIT_TEST(backoff_upstreamDark_triesFarLessThanEachTick);
    CPPUNIT_TEST(backoff_upstreamBack_isFoundWithinTheLongestPause);
    CPPUNIT_TEST(backoff_reachedAgain_startsAnew);
    CPPUNIT_TEST(backoff_manyEntries_doNotComeTogether);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration kTick = 50ms;

    /** When an entry tries while every try fails. */
    static std::vector<Duration> triesWhileDark(uint64_t seed, Duration dark)
    {
        ReconnectBackoff backoff(seed);
        std::vector<Duration> tries;
        const TimePoint start{Duration(1s)};
        for (Duration at{}; at < dark; at += kTick) {
            if (!backoff.mayTry(start + at))
                continue;
            tries.push_back(at);
            backoff.failed(start + at);
        }
        return tries;
    }

public:
    void backoff_nothingFailed_mayTryAtOnce() { CPPUNIT_ASSERT(ReconnectBackoff(1).mayTry(TimePoint())); }

    void backoff_upstreamDark_triesFarLessThanEachTick()
    {
        const size_t eachTick = 10s / kTick;
        CPPUNIT_ASSERT(10 * triesWhileDark(1, 10s).size() <= eachTick);
    }

    void backoff_upstreamBack_isFoundWithinTheLongestPause()
    {
        for (uint64_t seed = 1; seed <= 50; ++seed) {
            const std::vector<Duration> tries = triesWhileDark(seed, 60s);
            for (size_t i = 1; i < tries.size(); ++i)
                CPPUNIT_ASSERT(tries[i] - tries[i - 1] <= ReconnectBackoff::kLongestPause + kTick);
        }
    }

    void backoff_reachedAgain_startsAnew()
    {
        ReconnectBackoff backoff(3);
        TimePoint now{Duration(1s)};
        for (int i = 0; i < 20; ++i)
            backoff.failed(now);
        CPPUNIT_ASSERT(!backoff.mayTry(now + ReconnectBackoff::kFirstPause));
        backoff.reached();
        CPPUNIT_ASSERT(backoff.mayTry(now));
        backoff.failed(now);
        CPPUNIT_ASSERT(backoff.mayTry(now + ReconnectBackoff::kFirstPause));
    }

    void backoff_manyEntries_doNotComeTogether()
    {
        constexpr uint64_t kEntries = 56;
        std::map<Duration, size_t> together;
        for (uint64_t seed = 1; seed <= kEntries; ++seed)
            for (const Duration at : triesWhileDark(seed, 20s))
                if (at > 5s)
                    ++together[at];
        const auto most = std::max_element(together.begin(), together.end(), [](const auto &left, const auto &right) {
            return left.second < right.second;
        });
        CPPUNIT_ASSERT(most->second <= kEntries / 4);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReconnectBackoffFailureTest);
