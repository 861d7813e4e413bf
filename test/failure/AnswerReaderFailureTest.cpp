// Guards against bytes that are no answer and are taken for one, wherever an answer is read: in pieces of any size, by
// calls to services, by command-line tools and on the channel to upstreams that `serve` uses.
#include "connection/HttpUpstreamChannel.h"
#include "fakes/AnswerPieces.h"
#include "fakes/FiberThread.h"
#include "fakes/MalformedAnswers.h"
#include "fakes/RawUpstream.h"
#include "fakes/RunUntil.h"
#include "hickoryspur/connection/Announcement.h"
#include "request/HttpCallerClient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <utility>

using namespace hickoryspur;

class AnswerReaderFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerReaderFailureTest);
    CPPUNIT_TEST(answers_malformedInPiecesOfAnySize_areRefused);
    CPPUNIT_TEST(answers_validInPiecesOfAnySize_areRead);
    CPPUNIT_TEST(call_answerMalformed_failsAndIsNotNotRun);
    CPPUNIT_TEST(client_answerMalformed_failsAndNextIsServed);
    CPPUNIT_TEST(client_bytesAfterAnswer_areNotTheNextAnswer);
    CPPUNIT_TEST(tool_answerMalformed_fails);
    CPPUNIT_TEST(channel_answerMalformed_outcomeIsUnknown);
    CPPUNIT_TEST(channel_answerValid_isRead);
    CPPUNIT_TEST(readers_answerValid_isRead);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::chrono::milliseconds kTimeout{2000};

    static std::optional<AnswerReader::Message> read(const std::string &bytes, size_t pieceBytes)
    {
        return readInPieces(bytes, [pieceBytes](size_t) { return pieceBytes; });
    }

    static CallerRequest request()
    {
        CallerRequest request;
        request.method = "POST";
        request.target = request.path = "/";
        return request;
    }

    static HostAddress addressOf(const RawUpstream &upstream) { return {"127.0.0.1", upstream.port()}; }

    /** What the channel makes of this answer to its request, which the answer names. */
    static ChannelResult channelResult(std::string bytes)
    {
        const size_t fieldsAt = bytes.find(answers::kSignature);
        if (fieldsAt != std::string::npos)
            bytes.insert(fieldsAt, "Hickoryspur-Request-Id: r1\r\nHickoryspur-Outcome: shed\r\n");
        const RawUpstream upstream(RawUpstream::Reply{bytes});
        boost::asio::io_context context(1);
        Announcement announcement;
        announcement.address = "127.0.0.1";
        announcement.port = upstream.port();
        const std::unique_ptr<UpstreamChannel> channel = httpChannelFactory(context)(announcement);
        ChannelRequest sent;
        sent.requestId = "r1";
        sent.deadline = monotonicNow() + 2s;
        std::optional<ChannelResult> result;
        channel->send(sent, [&](ChannelResult ended) { result = std::move(ended); });
        runUntil(context, [&] { return result.has_value(); });
        return *result;
    }

public:
    void answers_malformedInPiecesOfAnySize_areRefused()
    {
        for (const answers::NamedBytes &malformed : answers::allMalformed())
            for (size_t pieceBytes = 1; pieceBytes <= malformed.bytes.size(); ++pieceBytes)
                CPPUNIT_ASSERT_MESSAGE(malformed.name, !read(malformed.bytes, pieceBytes));
    }

    void answers_validInPiecesOfAnySize_areRead()
    {
        for (const answers::NamedBytes &valid : answers::allValid())
            for (size_t pieceBytes = 1; pieceBytes <= valid.bytes.size(); ++pieceBytes) {
                const auto answer = read(valid.bytes, pieceBytes);
                CPPUNIT_ASSERT_MESSAGE(valid.name, answer.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(valid.name, 200U, answer->result_int());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(valid.name, answers::kBody, answer->body());
            }
    }

    // A service that has executed the call counts it twice if it is told again under another number.
    void call_answerMalformed_failsAndIsNotNotRun()
    {
        for (const answers::NamedBytes &malformed : answers::allMalformed())
            onFiberThread([&](const auto &context) {
                const RawUpstream service(RawUpstream::Reply{malformed.bytes});
                HttpCallerClient client(*context, addressOf(service));
                const auto answer = client.exchangeOnce(request(), CallLimits(), [] { return true; });
                CPPUNIT_ASSERT_MESSAGE(malformed.name, !answer);
                CPPUNIT_ASSERT_MESSAGE(malformed.name, !answer.error().notRun);
            });
    }

    void client_answerMalformed_failsAndNextIsServed()
    {
        for (const answers::NamedBytes &malformed : answers::allMalformed())
            onFiberThread([&](const auto &context) {
                bool isFirst = true;
                const RawUpstream host([&] {
                    return RawUpstream::Reply{std::exchange(isFirst, false) ? malformed.bytes : answers::valid()};
                });
                HttpCallerClient client(*context, addressOf(host));
                CPPUNIT_ASSERT_MESSAGE(malformed.name, !client.exchange(request(), kTimeout));
                const auto next = client.exchange(request(), kTimeout);
                CPPUNIT_ASSERT_MESSAGE(malformed.name, next.has_value());
                CPPUNIT_ASSERT_EQUAL_MESSAGE(malformed.name, answers::kBody, next->body);
            });
    }

    // A second copy of the answer was taken for that to the next request on the connection.
    void client_bytesAfterAnswer_areNotTheNextAnswer()
    {
        onFiberThread([](const auto &context) {
            bool isFirst = true;
            const RawUpstream host([&] {
                const bool copies = std::exchange(isFirst, false);
                return RawUpstream::Reply{copies ? answers::valid() + answers::valid() : answers::withStatus("404"),
                                          false};
            });
            HttpCallerClient client(*context, addressOf(host));
            CPPUNIT_ASSERT_EQUAL(200U, client.exchange(request(), kTimeout)->status);
            CPPUNIT_ASSERT_EQUAL(404U, client.exchange(request(), kTimeout)->status);
            CPPUNIT_ASSERT_EQUAL(404U, client.exchange(request(), kTimeout)->status);
            CPPUNIT_ASSERT_EQUAL(size_t(3), host.requests());
        });
    }

    void tool_answerMalformed_fails()
    {
        for (const answers::NamedBytes &malformed : answers::allMalformed()) {
            const RawUpstream host(RawUpstream::Reply{malformed.bytes});
            CPPUNIT_ASSERT_MESSAGE(malformed.name, !httpExchange(addressOf(host), request(), kTimeout));
        }
    }

    // The outcome in the fields of such an answer was believed: after "shed", a request that may have run counts as not
    // run.
    void channel_answerMalformed_outcomeIsUnknown()
    {
        for (const answers::NamedBytes &malformed : answers::allMalformed())
            CPPUNIT_ASSERT_MESSAGE(malformed.name, channelResult(malformed.bytes).outcome == SubOutcome::Unknown);
    }

    void channel_answerValid_isRead()
    {
        const std::string refusal = answers::withStatus("503");
        CPPUNIT_ASSERT(channelResult(refusal).outcome == SubOutcome::Shed);
        CPPUNIT_ASSERT(channelResult("HTTP/1.1 100 Continue\r\n\r\n" + refusal).outcome == SubOutcome::Shed);
    }

    void readers_answerValid_isRead()
    {
        for (const answers::NamedBytes &valid : answers::allValid())
            onFiberThread([&](const auto &context) {
                const RawUpstream host(RawUpstream::Reply{valid.bytes});
                HttpCallerClient client(*context, addressOf(host));
                for (const auto &answer :
                     {client.exchangeOnce(request(), CallLimits(), [] { return true; }),
                      client.exchange(request(), kTimeout), httpExchange(addressOf(host), request(), kTimeout)}) {
                    CPPUNIT_ASSERT_MESSAGE(valid.name, answer.has_value());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(valid.name, 200U, answer->status);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(valid.name, answers::kBody, answer->body);
                }
            });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerReaderFailureTest);
