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
    CPPUNIT_TEST(signals_answerOfAnotherUpstream_areIgnored);
    CPPUNIT_TEST_SUITE_END();

    UpstreamAnswer answer(unsigned status, HeaderFields fields) const { return {status, std::move(fields), ""}; }

    std::optional<double> limit(HeaderFields fields, unsigned status = 200) const
    {
        const AnswerVerdict verdict = m_codec.traffic.read(answer(status, std::move(fields)));
        CPPUNIT_ASSERT(verdict.signals);
        return verdict.signals->requestsPerSecond;
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

    void signals_answerOfAnotherUpstream_areIgnored()
    {
        CPPUNIT_ASSERT(!m_codec.traffic.read(answer(421, {{"Server-Limit", "5"}})).signals);
    }

private:
    HostCodec m_codec = platform::makePlatformCodec();
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamSignalsFailureTest);
