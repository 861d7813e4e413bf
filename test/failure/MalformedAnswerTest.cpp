// Guards against malformed answers of upstreams that are passed on: a caller would take them for the result of its
// request. The upstreams are sockets that send the bytes of the test.
#include "fakes/EntryWorld.h"
#include "fakes/MalformedAnswers.h"
#include "fakes/RawUpstream.h"

#include <algorithm>
#include <atomic>

using namespace hickoryspur;
using namespace hickoryspur::entryworld;

class MalformedAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MalformedAnswerTest);
    CPPUNIT_TEST(status_invalid_isNotPassedOn);
    CPPUNIT_TEST(interimAnswer_withoutAFinalOne_isNotPassedOn);
    CPPUNIT_TEST(interimAnswer_beforeTheFinalOne_isDropped);
    CPPUNIT_TEST(interimAnswers_withoutEnd_failTheExchange);
    CPPUNIT_TEST(line_folded_isNotPassedOn);
    CPPUNIT_TEST(transferCoding_otherThanChunked_isNotPassedOn);
    CPPUNIT_TEST(startLine_malformed_isNotPassedOn);
    CPPUNIT_TEST(field_invalidNameOrValue_isNotPassedOn);
    CPPUNIT_TEST(length_invalidOrNotReached_isNotPassedOn);
    CPPUNIT_TEST(answer_valid_isPassedOn);
    CPPUNIT_TEST(headRequest_answerWithoutBody_isPassedOn);
    CPPUNIT_TEST(headRequest_answerWithBody_isNotReadAsTheNextAnswer);
    CPPUNIT_TEST_SUITE_END();

    struct Play
    {
        CallerAnswer answer;
        /** How often an upstream got the request. */
        size_t requests = 0;
    };

    static ForwardedRequest headRequest(const std::string &path)
    {
        ForwardedRequest result = request(path);
        result.method = "HEAD";
        return result;
    }

    static bool hasSignature(const CallerAnswer &answer)
    {
        return std::any_of(answer.fields.begin(), answer.fields.end(),
                           [](const auto &field) { return field.first == "Hickoryspur-Server-Seal"; });
    }

    /** What a caller of the path gets from two upstreams, the first of which to be asked answers with these bytes. */
    static Play play(const std::string &path, const std::string &bytes, bool closes = true)
    {
        return play(request(path), bytes, closes);
    }

    static Play play(const ForwardedRequest &request, const std::string &bytes, bool closes)
    {
        std::atomic<size_t> requests{0};
        const auto reply = [&] {
            return ++requests == 1 ? RawUpstream::Reply{bytes, closes} : RawUpstream::Reply{answers::valid(), false};
        };
        const RawUpstream first(reply);
        const RawUpstream second(reply);
        Play result;
        onFibers([&](World &world) {
            world.addUpstream("notices", "a", first.port());
            world.addUpstream("notices", "a", second.port());
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a");
            announce(world, *entry, false);
            entry->setRoutes(table(world));
            result.answer = entry->serve(request, neverGone);
        });
        result.requests = requests;
        return result;
    }

    /** A request that runs once at most: it is not sent again, and its caller is not told that it has not run. */
    static void assertFailsNotice(const std::string &name, const std::string &bytes)
    {
        const Play notice = play("/notice/1", bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 502U, notice.answer.status);
        CPPUNIT_ASSERT_MESSAGE(name, !hasSignature(notice.answer));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, size_t(1), notice.requests);
    }

    /** An idempotent request is sent again. */
    static void assertRepeatsLabel(const std::string &name, const std::string &bytes)
    {
        const Play label = play("/label/1", bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200U, label.answer.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, answers::kBody, label.answer.body);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, size_t(2), label.requests);
    }

    /** A merged answer holds the records of valid parts only. */
    static void assertNotMerged(const std::string &name, const std::string &bytes)
    {
        const Play query = play("/query/1", bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 200U, query.answer.status);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, size_t(0), query.answer.body.size() % kRecordBytes);
        for (size_t at = 0; at < query.answer.body.size(); at += kRecordBytes)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, answers::kBody, query.answer.body.substr(at, kRecordBytes));
    }

    static void assertNotPassedOn(const std::vector<answers::NamedBytes> &group)
    {
        for (const answers::NamedBytes &malformed : group) {
            assertFailsNotice(malformed.name, malformed.bytes);
            assertFailsNotice(malformed.name + ", stating that it has not run",
                              answers::statingNotRun(malformed.bytes));
            assertRepeatsLabel(malformed.name, malformed.bytes);
            assertNotMerged(malformed.name, malformed.bytes);
        }
    }

    static void assertPassedOn(const std::vector<answers::NamedBytes> &group)
    {
        for (const answers::NamedBytes &valid : group) {
            const Play notice = play("/notice/1", valid.bytes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(valid.name, 200U, notice.answer.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(valid.name, answers::kBody, notice.answer.body);
            CPPUNIT_ASSERT_MESSAGE(valid.name, hasSignature(notice.answer));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(valid.name, size_t(1), notice.requests);
        }
    }

public:
    void status_invalid_isNotPassedOn() { assertNotPassedOn(answers::invalidStatuses()); }

    // A 100 went to the caller as the final answer.
    void interimAnswer_withoutAFinalOne_isNotPassedOn()
    {
        assertNotPassedOn(answers::interimOnly());
        assertNotPassedOn(answers::malformedAfterInterim());
    }

    // The final answer was lost, and a request that may be repeated ran twice.
    void interimAnswer_beforeTheFinalOne_isDropped() { assertPassedOn(answers::validAfterInterim()); }

    // More of them than the head of an answer may have bytes, on a connection that stays open.
    void interimAnswers_withoutEnd_failTheExchange()
    {
        std::string bytes;
        while (bytes.size() < 64UL * 1024)
            bytes += "HTTP/1.1 102 Processing\r\n\r\n";
        const TimePoint start = monotonicNow();
        const Play notice = play("/notice/1", bytes, false);
        CPPUNIT_ASSERT_EQUAL(502U, notice.answer.status);
        CPPUNIT_ASSERT(monotonicNow() - start < 1s);
    }

    // It was joined to the field before it, which then held the name and the value of another one.
    void line_folded_isNotPassedOn() { assertNotPassedOn(answers::foldedLines()); }

    // The lines of the chunks were in the body, or coded bytes were passed on as if they were plain.
    void transferCoding_otherThanChunked_isNotPassedOn() { assertNotPassedOn(answers::unknownCodings()); }

    void startLine_malformed_isNotPassedOn() { assertNotPassedOn(answers::malformedStartLines()); }

    void field_invalidNameOrValue_isNotPassedOn() { assertNotPassedOn(answers::malformedFields()); }

    void length_invalidOrNotReached_isNotPassedOn() { assertNotPassedOn(answers::invalidLengths()); }

    void answer_valid_isPassedOn() { assertPassedOn(answers::validAnswers()); }

    // The body was awaited until the deadline, as the head states its length.
    void headRequest_answerWithoutBody_isPassedOn()
    {
        for (const std::string &fields : {answers::kLength, answers::kChunked, std::string()}) {
            const TimePoint start = monotonicNow();
            const Play label = play(headRequest("/label/1"), answers::withFields(fields, ""), false);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fields, 200U, label.answer.status);
            CPPUNIT_ASSERT_MESSAGE(fields, hasSignature(label.answer));
            CPPUNIT_ASSERT_MESSAGE(fields, label.answer.body.empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(fields, size_t(1), label.requests);
            CPPUNIT_ASSERT_MESSAGE(fields, monotonicNow() - start < 1s);
        }
        const Play query = play(headRequest("/query/1"), answers::withFields(answers::kLength, ""), false);
        CPPUNIT_ASSERT_EQUAL(200U, query.answer.status);
        CPPUNIT_ASSERT(query.answer.body.empty());
    }

    void headRequest_answerWithBody_isNotReadAsTheNextAnswer()
    {
        const RawUpstream upstream(RawUpstream::Reply{answers::valid(), false});
        onFibers([&](World &world) {
            world.addUpstream("notices", "a", upstream.port());
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a");
            announce(world, *entry, false);
            entry->setRoutes(table(world));
            const CallerAnswer head = entry->serve(headRequest("/label/1"), neverGone);
            CPPUNIT_ASSERT_EQUAL(200U, head.status);
            CPPUNIT_ASSERT_EQUAL(std::string(), head.body);
            const CallerAnswer next = entry->serve(request("/notice/1"), neverGone);
            CPPUNIT_ASSERT_EQUAL(200U, next.status);
            CPPUNIT_ASSERT_EQUAL(answers::kBody, next.body);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedAnswerTest);
