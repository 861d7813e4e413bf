// Guards numbers in requests: a text that only begins like a number, or that no comparison can place ("nan"), must be
// refused with its field's name. Read as 0, an operator's change would replace the first document by mistake.
#include "app/RequestParameters.h"
#include "process/Numbers.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class RequestParametersFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestParametersFailureTest);
    CPPUNIT_TEST(wholeNumber_notWhollyANumber_isRefused);
    CPPUNIT_TEST(wholeNumber_missing_givesTheFallback);
    CPPUNIT_TEST(share_notBetweenZeroAndOne_isRefused);
    CPPUNIT_TEST(field_onlyBeginsLikeANumber_isNoNumber);
    CPPUNIT_TEST_SUITE_END();

public:
    void wholeNumber_notWhollyANumber_isRefused()
    {
        for (const char *text : {"abc", "7x", "-1", "1.5", "99999999999999999999", " 7"}) {
            const Result<int64_t> number = parseWholeNumber(text, "expected-number", 0, INT64_MAX);
            CPPUNIT_ASSERT_MESSAGE(text, !number);
            CPPUNIT_ASSERT_EQUAL(ResultCode::MalformedRequest, number.error().code);
            CPPUNIT_ASSERT(number.error().message.find("expected-number") != std::string::npos);
        }
    }

    void wholeNumber_missing_givesTheFallback()
    {
        CPPUNIT_ASSERT_EQUAL(int64_t(3), parseWholeNumber("", "shard", 3, 10).value());
    }

    void share_notBetweenZeroAndOne_isRefused()
    {
        for (const char *text : {"nan", "inf", "-0.1", "1.01", "0.5x"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseShare(text, "hickoryspur-least-coverage"));
        CPPUNIT_ASSERT_EQUAL(0.5, parseShare("0.5", "hickoryspur-least-coverage").value());
    }

    // A reply for shard "3x" counted as one for shard 3, and one for shard 2^32 + 3 too.
    void field_onlyBeginsLikeANumber_isNoNumber()
    {
        for (const char *text : {"3x", "", "-3", "4294967299", " 3"})
            CPPUNIT_ASSERT_MESSAGE(text, !parseWhole<uint32_t>(text));
        CPPUNIT_ASSERT_EQUAL(3U, parseWhole<uint32_t>("3").value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestParametersFailureTest);
