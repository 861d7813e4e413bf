// Guards against header fields in which an upstream speaks of itself and that cannot be read: they must not
// become an undefined or unbounded value, and must not count as another upstream's.
#include "PlatformCodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class UpstreamSignalsFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamSignalsFailureTest);
    CPPUNIT_TEST(limit_inAnyAnswer_isRead);
    CPPUNIT_TEST(limit_unreadable_isIgnored);
    CPPUNIT_TEST(limit_extreme_isBounded);
    CPPUNIT_TEST(limit_namedTwice_theLowestCounts);
    CPPUNIT_TEST(pause_ofARefusal_isRead);
    CPPUNIT_TEST(pause_unreadable_isIgnored);
    CPPUNIT_TEST(pause_huge_isBounded);
    CPPUNIT_TEST(leaving_onlyOne_isRead);
    CPPUNIT_TEST(signals_answerOfAnotherUpstream_areIgnored);
    CPPUNIT_TEST_SUITE_END();

    UpstreamAnswer answer(unsigned status, HeaderFields fields) const { return {status, std::move(fields), ""}; }

    UpstreamSignals signals(HeaderFields fields, unsigned status) const
    {
        const AnswerVerdict verdict = m_codec.traffic.read(answer(status, std::move(fields)));
        CPPUNIT_ASSERT(verdict.signals);
        return *verdict.signals;
    }

    std::optional<double> limit(HeaderFields fields, unsigned status = 200) const
    {
        return signals(std::move(fields), status).requestsPerSecond;
    }

    std::optional<Duration> pause(HeaderFields fields, unsigned status = 503) const
    {
        return signals(std::move(fields), status).pause;
    }

public:
    void limit_inAnyAnswer_isRead()
    {
        CPPUNIT_ASSERT_EQUAL(15.6, limit({{"Server-Limit", "15.6"}}).value_or(0));
        CPPUNIT_ASSERT_EQUAL(20.0, limit({{"server-limit", "20"}}, 500).value_or(0));
        CPPUNIT_ASSERT(!limit({{"X-Server-Limit", "20"}}));
    }

    void limit_unreadable_isIgnored()
    {
        for (const char *value : {"", "-1", "nan", "-nan", "inf", "1e999", "ten", "5 per s", "0x10", "5,5"})
            CPPUNIT_ASSERT_MESSAGE(value, !limit({{"Server-Limit", value}}));
    }

    void limit_extreme_isBounded()
    {
        CPPUNIT_ASSERT(limit({{"Server-Limit", "0"}}).value_or(0) > 0);
        CPPUNIT_ASSERT(limit({{"Server-Limit", "1e-300"}}).value_or(0) > 1e-3);
        CPPUNIT_ASSERT(limit({{"Server-Limit", "1e300"}}).value_or(1e301) < 1e9);
    }

    void limit_namedTwice_theLowestCounts()
    {
        CPPUNIT_ASSERT_EQUAL(5.0, limit({{"Server-Limit", "9"}, {"Server-Limit", "5"}}).value_or(0));
        CPPUNIT_ASSERT_EQUAL(5.0, limit({{"Server-Limit", "5"}, {"Server-Limit", "junk"}}).value_or(0));
    }

    void pause_ofARefusal_isRead()
    {
        CPPUNIT_ASSERT(pause({{"Retry-After", "1.5"}}) == Duration(1500ms));
        CPPUNIT_ASSERT(pause({{"retry-after", "2"}, {"Retry-After", "3"}}) == Duration(3s));
        // Only a refusal for lack of capacity asks for a pause.
        CPPUNIT_ASSERT(!pause({{"Retry-After", "2"}}, 200));
        CPPUNIT_ASSERT(!pause({{"Retry-After", "2"}}, 429));
    }

    void pause_unreadable_isIgnored()
    {
        for (const char *value : {"", "0", "-3", "nan", "inf", "Fri, 04 Dec 2026 10:00:00 GMT", "2s"})
            CPPUNIT_ASSERT_MESSAGE(value, !pause({{"Retry-After", value}}));
    }

    void pause_huge_isBounded()
    {
        const std::optional<Duration> huge = pause({{"Retry-After", "1e200"}});
        CPPUNIT_ASSERT(huge && *huge > 1h - 1s && *huge < 24h);
    }

    void leaving_onlyOne_isRead()
    {
        CPPUNIT_ASSERT(signals({{"Server-Leaving", "1"}}, 200).leaving);
        CPPUNIT_ASSERT(signals({{"server-leaving", "1"}}, 503).leaving);
        for (const char *value : {"0", "", "true", "11", "-1", "nan"})
            CPPUNIT_ASSERT_MESSAGE(value, !signals({{"Server-Leaving", value}}, 200).leaving);
    }

    void signals_answerOfAnotherUpstream_areIgnored()
    {
        CPPUNIT_ASSERT(!m_codec.traffic.read(answer(421, {{"Server-Leaving", "1"}})).signals);
        CPPUNIT_ASSERT(!m_codec.traffic.read(answer(421, {{"Server-Limit", "5"}})).signals);
    }

private:
    HostCodec m_codec = platform::makePlatformCodec();
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamSignalsFailureTest);
