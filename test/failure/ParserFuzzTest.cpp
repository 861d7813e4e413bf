// Seeded fuzzing of every parser that meets bytes from outside: valid samples are changed at random, and the parser has
// to accept or refuse the result without throwing. HICKORYSPUR_FUZZ_ROUNDS sets the number of changed samples for each
// parser, HICKORYSPUR_FUZZ_SEED the seed; scripts/fuzz runs it with sanitizers.
#include "PlatformCodec.h"
#include "fakes/AnswerPieces.h"
#include "hickoryspur/connection/Announcement.h"
#include "hickoryspur/process/GroupNode.h"
#include "hickoryspur/process/HostSettings.h"
#include "hickoryspur/process/LogStorage.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/process/PeerMessage.h"
#include "hickoryspur/process/SessionMessage.h"
#include "hickoryspur/process/UsageCounter.h"
#include "hickoryspur/request/Authenticator.h"
#include "hickoryspur/request/Delegation.h"
#include "hickoryspur/version/Document.h"

#include <boost/asio/buffer.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <random>
#include <sstream>

using namespace hickoryspur;

class ParserFuzzTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ParserFuzzTest);
    CPPUNIT_TEST(body_emptyAndChunkedInSinglePieces_isParsed);
    CPPUNIT_TEST(answers_changedAtRandom_areParsedOrRefused);
    CPPUNIT_TEST(requests_changedAtRandom_areParsedOrRefused);
    CPPUNIT_TEST(callerFields_changedAtRandom_areReadOrIgnored);
    CPPUNIT_TEST(answerFields_changedAtRandom_areReadOrIgnored);
    CPPUNIT_TEST(messages_changedAtRandom_areParsedOrRefused);
    CPPUNIT_TEST(logRecords_changedAtRandom_areParsedOrRefused);
    CPPUNIT_TEST(heartbeats_changedAtRandom_areParsedOrRefused);
    CPPUNIT_TEST(configurations_changedAtRandom_areParsedOrRefused);
    CPPUNIT_TEST(settingsAndDocuments_changedAtRandom_areParsedOrRefused);
    CPPUNIT_TEST_SUITE_END();

    static constexpr uint64_t kDefaultSeed = 20261205;
    static constexpr int kDefaultRounds = 3000;
    static constexpr size_t kMaxChanges = 4;

    using Parse = std::function<void(const std::string &)>;

    std::mt19937_64 m_random{seed()};

    size_t below(size_t limit)
    {
        return limit == 0 ? 0 : std::uniform_int_distribution<size_t>(0, limit - 1)(m_random);
    }

    static uint64_t seed()
    {
        const char *text = std::getenv("HICKORYSPUR_FUZZ_SEED");
        return text ? std::strtoull(text, nullptr, 10) : kDefaultSeed;
    }

    static int rounds()
    {
        const char *text = std::getenv("HICKORYSPUR_FUZZ_ROUNDS");
        return text ? std::atoi(text) : kDefaultRounds;
    }

    /** Numbers, separators and lengths at which parsers have had faults. */
    std::string oddText()
    {
        static const std::vector<std::string> texts = {"\r\n",
                                                       "\r\n\r\n",
                                                       "0\r\n",
                                                       "ffffffffffffffff",
                                                       "18446744073709551616",
                                                       "900000000000",
                                                       "-1",
                                                       "1e999",
                                                       "nan",
                                                       std::string(1, '\0'),
                                                       "\xff\xfe",
                                                       std::string(70000, 'x'),
                                                       std::string(300, '['),
                                                       ";a=",
                                                       "Content-Length: 5\r\n",
                                                       "Transfer-Encoding: chunked\r\n",
                                                       "\xdd\xff\xff\xff\xff"};
        return texts[below(texts.size())];
    }

    std::string changed(std::string bytes)
    {
        for (size_t change = 0; change <= below(kMaxChanges); ++change) {
            const size_t at = below(bytes.size() + 1);
            const size_t length = below(std::min<size_t>(bytes.size() - at, 40) + 1);
            switch (below(5)) {
            case 0:
                bytes.replace(at, length, oddText());
                break;
            case 1:
                bytes.insert(at, bytes.substr(below(bytes.size()), length));
                break;
            case 2:
                bytes.erase(at, length);
                break;
            case 3:
                bytes.resize(at);
                break;
            default:
                if (at < bytes.size())
                    bytes[at] = static_cast<char>(below(256));
            }
        }
        return bytes;
    }

    void fuzz(const std::vector<std::string> &samples, const Parse &parse)
    {
        const int64_t exceptions = connectionExceptions();
        for (const std::string &sample : samples)
            parse(sample);
        for (int round = 0; round < rounds(); ++round) {
            const std::string bytes = changed(samples[below(samples.size())]);
            try {
                parse(bytes);
            } catch (const std::exception &error) {
                CPPUNIT_FAIL("round " + std::to_string(round) + " threw: " + error.what());
            }
        }
        CPPUNIT_ASSERT_EQUAL(exceptions, connectionExceptions());
    }

    /** Gives the parser what it takes of the bytes and removes it from them. */
    template <typename Parser> static boost::system::error_code put(Parser &parser, std::string &unparsed)
    {
        boost::system::error_code error;
        while (!error && !parser.is_done() && !unparsed.empty())
            unparsed.erase(0, parser.put(boost::asio::buffer(unparsed), error));
        return error;
    }

    /** Feeds the bytes in pieces, as reads return them, and ends with the end of the connection. */
    template <typename Parser> void feed(const std::string &bytes)
    {
        Parser parser{ParserLimits()};
        parser.eager(true);
        std::string unparsed;
        boost::system::error_code error;
        for (size_t offset = 0; offset < bytes.size() && !parser.is_done();) {
            const size_t piece = 1 + below(bytes.size() - offset);
            unparsed += bytes.substr(offset, piece);
            offset += piece;
            error = put(parser, unparsed);
            if (error && error != boost::beast::http::error::need_more)
                return;
        }
        error = {};
        if (parser.got_some() && !parser.is_done())
            parser.put_eof(error);
        CPPUNIT_ASSERT(parser.get().body().size() <= ParserLimits().bodyBytes);
    }

    /** The same for an answer, with interim ones before it; one that is read has a status of a final answer. */
    void readAnswer(const std::string &bytes)
    {
        const auto answer = readInPieces(bytes, [this](size_t left) { return 1 + below(left); });
        if (!answer)
            return;
        CPPUNIT_ASSERT(isFinalStatus(answer->result_int()));
        CPPUNIT_ASSERT(answer->body().size() <= ParserLimits().bodyBytes);
    }

    static std::string fileText(const std::string &path)
    {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream text;
        text << file.rdbuf();
        CPPUNIT_ASSERT_MESSAGE(path, !text.str().empty());
        return text.str();
    }

public:
    // Guards against an assertion of the library that ended the process: it takes the last chunk's line for five bytes
    // or more, and with an empty body it has three.
    void body_emptyAndChunkedInSinglePieces_isParsed()
    {
        AnswerParser parser{ParserLimits()};
        parser.eager(true);
        std::string unparsed;
        for (const char byte : std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")) {
            unparsed += byte;
            put(parser, unparsed);
        }
        CPPUNIT_ASSERT(parser.is_done());
        CPPUNIT_ASSERT(parser.get().body().empty());
    }

    void answers_changedAtRandom_areParsedOrRefused()
    {
        fuzz({"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nhello",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n",
              "HTTP/1.1 503 No\r\nConnection: close\r\n\r\nto the end",
              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 -\r\n\r\n",
              "HTTP/1.1 200 OK\r\nX: y\r\n folded\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"},
             [this](const std::string &bytes) {
                 feed<AnswerParser>(bytes);
                 readAnswer(bytes);
             });
    }

    void requests_changedAtRandom_areParsedOrRefused()
    {
        fuzz({"GET /a/b?c=%20d HTTP/1.1\r\nHost: h\r\nHickoryspur-Request-Id: 1\r\n\r\n",
              "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
              "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n"},
             [this](const std::string &bytes) { feed<RequestParser>(bytes); });
    }

    void callerFields_changedAtRandom_areReadOrIgnored()
    {
        const HostCodec codec = platform::makePlatformCodec();
        const Authenticator authenticator(codec.traffic.customerField);
        RouteTable routes;
        routes.customers = CustomerTable({{{CustomerName("a"), {}}, {"k1"}}});
        fuzz({"1500", "[2001:db8::7]:8226", "close, X-Hop", "Bearer k1"}, [&](const std::string &value) {
            CallerRequest request;
            request.method = "GET";
            request.target = request.path = "/rolls/7";
            request.headers["hickoryspur-request-id"] = "r1";
            for (const char *name : {"host", "connection", "hickoryspur-deadline-ms", "authorization"}) {
                request.headers[name] = value;
                request.fields.emplace_back(name, value);
            }
            Result<ForwardedRequest> forwarded = codec.decodeRequest(std::move(request));
            CPPUNIT_ASSERT(forwarded.has_value());
            CPPUNIT_ASSERT(!forwarded->timeout || *forwarded->timeout >= Duration::zero());
            const bool refused = authenticator.authenticate(routes, Route(), *forwarded).has_value();
            CPPUNIT_ASSERT(refused || forwarded->customer == CustomerName("a"));
            static_cast<void>(codec.traffic.encode(*forwarded, UpstreamId("u-1"), 430ms));
        });
    }

    void answerFields_changedAtRandom_areReadOrIgnored()
    {
        const RequestCodec codec = platform::makePlatformCodec().traffic;
        fuzz({"0.5", "1", "25"}, [&](const std::string &value) {
            for (const unsigned status : {200U, 421U, 503U}) {
                UpstreamAnswer answer;
                answer.status = status;
                for (const char *name :
                     {"hickoryspur-request-id", "hickoryspur-not-executed", "hickoryspur-server-seal",
                      "hickoryspur-part-seals", "server-limit", "server-leaving", "retry-after"})
                    answer.fields.emplace_back(name, value);
                answer.body = value;
                static_cast<void>(codec.belongsTo(answer, "r1"));
                static_cast<void>(codec.read(answer));
                static_cast<void>(codec.passThrough(answer));
            }
        });
    }

    void messages_changedAtRandom_areParsedOrRefused()
    {
        DelegatedRequest order;
        order.request.method = "GET";
        order.shards = {ServiceName("s1"), ServiceName("s2")};
        DelegatedReply reply;
        reply.answer.push_back({200, {{"a", "b"}}, "body"});
        PeerMessage message;
        message.payload = pack(order);
        fuzz({pack(order), pack(reply), pack(message), pack(LogMessage()), pack(EntryStatus()), pack(EntryUpdate()),
              pack(UsageReport{NodeId("e"), Incarnation(1), {{1, CustomerName("c"), 2}}})},
             [](const std::string &bytes) {
                 static_cast<void>(unpack<PeerMessage>(bytes));
                 static_cast<void>(unpack<DelegatedRequest>(bytes));
                 static_cast<void>(unpack<DelegatedReply>(bytes));
                 static_cast<void>(unpack<LogMessage>(bytes));
                 static_cast<void>(unpack<EntryStatus>(bytes));
                 static_cast<void>(unpack<EntryUpdate>(bytes));
                 static_cast<void>(unpack<UsageReport>(bytes));
             });
    }

    void logRecords_changedAtRandom_areParsedOrRefused()
    {
        Checkpoint checkpoint;
        checkpoint.state = "state";
        fuzz({pack(LogEntry{LogIndex(1), Term(1), 0, "command"}), pack(checkpoint), pack(HardState()),
              pack(ControlState().serialize())},
             [](const std::string &bytes) {
                 static_cast<void>(unpack<LogEntry>(bytes));
                 static_cast<void>(unpack<Checkpoint>(bytes));
                 static_cast<void>(unpack<HardState>(bytes));
                 static_cast<void>(unpack<Command>(bytes));
                 static_cast<void>(ControlState::deserialize(bytes));
             });
    }

    void heartbeats_changedAtRandom_areParsedOrRefused()
    {
        const HostCodec codec = platform::makePlatformCodec();
        ControlApi api;
        api.announce = [](const Announcement &) -> Result<void> { return {}; };
        api.remove = [](const UpstreamId &, uint64_t) -> Result<void> { return {}; };
        api.leader = [] { return std::optional<HostAddress>(); };
        fuzz({R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v","max-concurrency":2,"state":"ready",)"
              R"("warmup-left-ms":0,"sequence":4,"born":7})"},
             [&](const std::string &bytes) {
                 CallerRequest request;
                 request.method = "POST";
                 request.body = bytes;
                 for (const char *call : {"heartbeat", "deregister"}) {
                     request.target = request.path = std::string("/instances/i-1/") + call;
                     CPPUNIT_ASSERT(codec.control(request, api).status >= 200);
                 }
                 static_cast<void>(parseAnnouncement(bytes));
             });
    }

    void configurations_changedAtRandom_areParsedOrRefused()
    {
        const HostCodec codec = platform::makePlatformCodec();
        fuzz(
            {fileText("examples/hosts/configuration.json"),
             R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"a","api-keys":["k1","k2"],"priority":1}]})"},
            [&](const std::string &bytes) { static_cast<void>(codec.parseRoutes(bytes)); });
    }

    void settingsAndDocuments_changedAtRandom_areParsedOrRefused()
    {
        fuzz({fileText("examples/zatoka/document.yaml"), fileText("examples/zatoka/settings.yaml"),
              "name: h\nrole: entry\ncaller-address: \"127.0.0.1:1\"\nreadiness-address: \"127.0.0.1:2\"\n"
              "data-centre: a\ninternal-address: \"127.0.0.1:3\"\nseeds: [\"127.0.0.1:4\"]\ngrace: \"6s\"\n"},
             [](const std::string &bytes) {
                 static_cast<void>(parseDocument(bytes, "fuzz"));
                 static_cast<void>(parseSettings(bytes, "fuzz"));
                 static_cast<void>(parseHostSettings(bytes, "fuzz"));
             });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParserFuzzTest);
