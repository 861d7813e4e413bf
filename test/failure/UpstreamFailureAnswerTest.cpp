// Guards what a caller is told when an upstream has failed: a status that promises "not run" although the request has
// run makes the caller repeat what may run once, and a success that the upstream has not signed is not the upstream's.
#include "fakes/EntryWorld.h"

#include <algorithm>

using namespace hickoryspur;
using namespace hickoryspur::entryworld;

class UpstreamFailureAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamFailureAnswerTest);
    CPPUNIT_TEST(notIdempotent_failedWithAStatusThatPromisesNotRun_promisesNothing);
    CPPUNIT_TEST(notIdempotent_statedNotRun_isRefusedAsNotRun);
    CPPUNIT_TEST(notIdempotent_failedWithAnotherStatus_isPassedOnUnchanged);
    CPPUNIT_TEST(success_withoutSignature_isNotPassedOn);
    CPPUNIT_TEST(success_withAnEncoding_isNotPassedOn);
    CPPUNIT_TEST(failure_withoutSignature_isNotPassedOn);
    CPPUNIT_TEST(idempotent_failedWithAStatusThatPromisesNotRun_promisesNothing);
    CPPUNIT_TEST(relayed_refusalOfAnUpstream_promisesNothing);
    CPPUNIT_TEST(relayed_unsignedSuccess_isNotPassedOn);
    CPPUNIT_TEST_SUITE_END();

    static CallerResponse signedAnswer(const CallerRequest &request, unsigned status)
    {
        CallerResponse response = platform::makeAnswer(request, "sig", "the body");
        response.status = status;
        return response;
    }

    /** What a caller of the path gets when the only upstream answers as the handler says. */
    static CallerAnswer answerOf(const std::string &path, const CallerHandler &handler)
    {
        CallerAnswer answer;
        onFibers([&](World &world) {
            world.addUpstream("notices", "a", handler);
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a");
            announce(world, *entry, false);
            entry->setRoutes(table(world));
            answer = entry->serve(request(path), neverGone);
            CPPUNIT_ASSERT(world.runs > 0);
        });
        return answer;
    }

    static CallerAnswer answerOf(const std::string &path, unsigned status)
    {
        return answerOf(path, [status](const CallerRequest &request) { return signedAnswer(request, status); });
    }

    static bool hasField(const CallerAnswer &answer, const std::string &name)
    {
        return std::any_of(answer.fields.begin(), answer.fields.end(),
                           [&](const auto &field) { return field.first == name; });
    }

public:
    // A 503 of an upstream that had run the request went out as "not run", and callers sent it again.
    void notIdempotent_failedWithAStatusThatPromisesNotRun_promisesNothing()
    {
        for (const unsigned status : {408U, 429U, 503U}) {
            const CallerAnswer answer = answerOf("/notice/1", status);
            CPPUNIT_ASSERT_EQUAL(502U, answer.status);
            CPPUNIT_ASSERT(!hasField(answer, "Hickoryspur-Server-Seal"));
        }
    }

    void notIdempotent_statedNotRun_isRefusedAsNotRun()
    {
        const CallerAnswer answer = answerOf("/notice/1", [](const CallerRequest &request) {
            CallerResponse response = signedAnswer(request, 503);
            response.headers["Hickoryspur-Not-Executed"] = "1";
            return response;
        });
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
    }

    void notIdempotent_failedWithAnotherStatus_isPassedOnUnchanged()
    {
        for (const unsigned status : {500U, 504U, 404U, 302U}) {
            const CallerAnswer answer = answerOf("/notice/1", status);
            CPPUNIT_ASSERT_EQUAL(status, answer.status);
            CPPUNIT_ASSERT(hasField(answer, "Hickoryspur-Server-Seal"));
            CPPUNIT_ASSERT_EQUAL(std::string("the body"), answer.body);
        }
    }

    void success_withoutSignature_isNotPassedOn()
    {
        const CallerAnswer answer = answerOf("/notice/1", [](const CallerRequest &) {
            CallerResponse response;
            response.body = "<html>a page of another program</html>";
            return response;
        });
        CPPUNIT_ASSERT_EQUAL(502U, answer.status);
    }

    void success_withAnEncoding_isNotPassedOn()
    {
        const CallerAnswer answer = answerOf("/notice/1", [](const CallerRequest &request) {
            CallerResponse response = signedAnswer(request, 200);
            response.headers["Content-Encoding"] = "gzip";
            return response;
        });
        CPPUNIT_ASSERT_EQUAL(502U, answer.status);
        CPPUNIT_ASSERT(!hasField(answer, "Hickoryspur-Server-Seal"));
    }

    void failure_withoutSignature_isNotPassedOn()
    {
        const CallerAnswer answer = answerOf("/notice/1", [](const CallerRequest &) {
            CallerResponse response;
            response.status = 404;
            return response;
        });
        CPPUNIT_ASSERT_EQUAL(502U, answer.status);
    }

    void idempotent_failedWithAStatusThatPromisesNotRun_promisesNothing()
    {
        CPPUNIT_ASSERT_EQUAL(502U, answerOf("/label/1", 503).status);
    }

    // An entry of an earlier version that serves a request for this one still passes such answers on.
    void relayed_refusalOfAnUpstream_promisesNothing()
    {
        const RequestCodec codec = platform::makePlatformCodec().traffic;
        CallerAnswer refusal;
        refusal.status = 503;
        CPPUNIT_ASSERT(codec.mayRelay(refusal));
        refusal.fields = {{"Hickoryspur-Server-Seal", "sig"}};
        CPPUNIT_ASSERT(!codec.mayRelay(refusal));
    }

    void relayed_unsignedSuccess_isNotPassedOn()
    {
        const RequestCodec codec = platform::makePlatformCodec().traffic;
        CallerAnswer success;
        CPPUNIT_ASSERT(!codec.mayRelay(success));
        success.fields = {{"hickoryspur-part-seals", "a, b"}};
        CPPUNIT_ASSERT(codec.mayRelay(success));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamFailureAnswerTest);
