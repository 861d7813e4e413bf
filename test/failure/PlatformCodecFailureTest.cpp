// Guards the header fields of a request to an upstream. If the codec copied a caller's Hickoryspur-Deadline-Ms or
// Hickoryspur-Target-Instance beside its own, for instance because the caller spells the name in another letter case,
// the upstream could read the wrong one. Fields that belong to the caller's connection must not reach the upstream's.
#include "PlatformCodec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cctype>

using namespace hickoryspur;

class PlatformCodecFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformCodecFailureTest);
    CPPUNIT_TEST(request_deadlineInAnyLetterCase_isReplacedByRemainingTime);
    CPPUNIT_TEST(request_callerSetsTargetInstance_isReplacedByChosenUpstream);
    CPPUNIT_TEST(request_hopByHopFields_areNotForwarded);
    CPPUNIT_TEST_SUITE_END();

    static CallerRequest request(std::vector<std::pair<std::string, std::string>> fields)
    {
        CallerRequest request;
        request.method = "GET";
        request.target = request.path = "/rolls/7";
        fields.emplace_back("Host", "lab.example");
        fields.emplace_back("Hickoryspur-Request-Id", "r1");
        request.fields = std::move(fields);
        for (const auto &[name, value] : request.fields) {
            std::string lower = name;
            std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
            request.headers[lower] = value;
        }
        return request;
    }

    /** The request as it is sent to the upstream, in lower case. */
    std::string encodedRequest(const CallerRequest &request, Duration left) const
    {
        const Result<ForwardedRequest> forwarded = m_codec.decodeRequest(request);
        CPPUNIT_ASSERT(forwarded.has_value());
        std::string bytes = m_codec.traffic.encode(*forwarded, UpstreamId("u-1"), left);
        std::transform(bytes.begin(), bytes.end(), bytes.begin(), [](unsigned char c) { return std::tolower(c); });
        return bytes;
    }

    static size_t count(const std::string &text, const std::string &word)
    {
        size_t found = 0;
        for (size_t at = text.find(word); at != std::string::npos; at = text.find(word, at + 1))
            ++found;
        return found;
    }

public:
    void request_deadlineInAnyLetterCase_isReplacedByRemainingTime()
    {
        for (const char *name : {"Hickoryspur-Deadline-Ms", "hickoryspur-deadline-ms", "HICKORYSPUR-DEADLINE-MS"}) {
            const std::string bytes = encodedRequest(request({{name, "1000"}}), 430ms);
            CPPUNIT_ASSERT_EQUAL(size_t(1), count(bytes, "hickoryspur-deadline-ms:"));
            CPPUNIT_ASSERT_EQUAL(size_t(1), count(bytes, "hickoryspur-deadline-ms: 430\r\n"));
        }
    }

    void request_callerSetsTargetInstance_isReplacedByChosenUpstream()
    {
        const std::string bytes = encodedRequest(request({{"Hickoryspur-Target-Instance", "other"}}), 100ms);
        CPPUNIT_ASSERT_EQUAL(size_t(1), count(bytes, "hickoryspur-target-instance:"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), count(bytes, "hickoryspur-target-instance: u-1\r\n"));
    }

    void request_hopByHopFields_areNotForwarded()
    {
        const std::string bytes =
            encodedRequest(request({{"Connection", "X-Hop, Keep-Alive"}, {"x-hop", "1"}, {"X-Kept", "2"}}), 100ms);
        CPPUNIT_ASSERT_EQUAL(size_t(0), count(bytes, "x-hop"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), count(bytes, "x-kept: 2\r\n"));
        CPPUNIT_ASSERT_EQUAL(size_t(1), count(bytes, "hickoryspur-request-id: r1\r\n"));
    }

private:
    HostCodec m_codec = platform::makePlatformCodec();
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformCodecFailureTest);
