#include "connection/UpstreamConnections.h"
#include "fakes/RunUntil.h"
#include "hickoryspur/process/ByteBudget.h"
#include "hickoryspur/process/Metrics.h"
#include "process/ConnectionGuard.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>
#include <vector>

using namespace hickoryspur;

/**
 * Guards against a wrong or duplicate result when an upstream resets, refuses, truncates or mixes up
 * answers, or when an answer arrives at the deadline. The upstreams are sockets of the test, which it
 * answers itself on the same thread.
 */
class UpstreamConnectionsFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamConnectionsFailureTest);
    CPPUNIT_TEST(connections_answerArrivesAtDeadline_exchangeEndsOnce);
    CPPUNIT_TEST(connections_answerToAnotherRequest_isDroppedAndNextAnswerUsed);
    CPPUNIT_TEST(connections_bytesAfterAnswer_connectionIsNotReused);
    CPPUNIT_TEST(connections_answerTruncated_exchangeFails);
    CPPUNIT_TEST(connections_newConnectionReset_requestNotSent);
    CPPUNIT_TEST(connections_connectionRefused_requestNotSent);
    CPPUNIT_TEST(connections_entryToWhichNoCallersAreSent_keepsNoneAfterAnswer);
    CPPUNIT_TEST(connections_warmedWhileRefused_attemptsBackOff);
    CPPUNIT_TEST(connections_answeredBeforeRequestIsWritten_connectionIsNotReused);
    CPPUNIT_TEST(connections_answeredAfterRequestIsWritten_connectionIsReused);
    CPPUNIT_TEST(connections_endWhileAsManyRequestsWaitAsAreAllowed_waitingOnesAreSent);
    CPPUNIT_TEST(connections_cancelledWhileWaiting_requestNotSent);
    CPPUNIT_TEST(connections_upstreamPausedWhileWaiting_requestNotSent);
    CPPUNIT_TEST(connections_urgentRequestArrivesLast_goesBeforeLessUrgentOnes);
    CPPUNIT_TEST(connections_deadlineOfOneBehindAnUrgentOne_endsInTime);
    CPPUNIT_TEST(connections_postedRequests_countForRoom);
    CPPUNIT_TEST(connections_upstreamEndsBeforeRequestIsTaken_requestNotSent);
    CPPUNIT_TEST(connections_addressChangesWhileWaiting_requestEndsAtItsDeadline);
    CPPUNIT_TEST(connections_cancelIfNotSentWhileRunning_exchangeCompletes);
    CPPUNIT_TEST(connections_headWithoutEnd_exchangeFailsAndNextIsServed);
    CPPUNIT_TEST(connections_bodyWithoutEnd_exchangeFailsAndNextIsServed);
    CPPUNIT_TEST(connections_chunksWithoutEnd_exchangeFailsAndNextIsServed);
    CPPUNIT_TEST(connections_chunkExtensionWithoutEnd_exchangeFailsAndNextIsServed);
    CPPUNIT_TEST(connections_impossibleLengthAndBodyInOneRead_exchangeFailsAndNextIsServed);
    CPPUNIT_TEST(connections_fieldAfterLastChunkTooLong_exchangeFailsAndNextIsServed);
    CPPUNIT_TEST(connections_statedLengthBeyondTheLimit_nothingIsReservedForIt);
    CPPUNIT_TEST(connections_manyAnswersWithoutEnd_largestAreGivenUpAndOthersServed);
    CPPUNIT_TEST(connections_fieldsAfterLastChunk_areNotTakenForTheHead);
    CPPUNIT_TEST(connections_answerByteByByte_endsAtDeadline);
    CPPUNIT_TEST(connections_manyShards_exchangeTakesAtMostThreeTurnsOfTheLoop);
    CPPUNIT_TEST(connections_headCutAndClosed_exchangeFails);
    CPPUNIT_TEST(connections_answerWithoutLengthClosed_isWhole);
    CPPUNIT_TEST(connections_answerWithoutLengthReset_exchangeFails);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    struct Upstream
    {
        explicit Upstream(boost::asio::io_context &context)
            : acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
            , socket(context)
        {
        }
        tcp::acceptor acceptor;
        tcp::socket socket;
    };

    /** The limit of this process's connections while it lives. */
    class LimitForTest
    {
    public:
        explicit LimitForTest(size_t bytes)
            : m_before(connectionBytes().limit())
        {
            connectionBytes().setLimit(bytes);
        }
        ~LimitForTest() { connectionBytes().setLimit(m_before); }
        LimitForTest(const LimitForTest &) = delete;
        LimitForTest &operator=(const LimitForTest &) = delete;

    private:
        size_t m_before;
    };

    UpstreamTarget target(const Upstream &upstream, const std::string &id) const
    {
        return {UpstreamId(id), {"127.0.0.1", upstream.acceptor.local_endpoint().port()}, 2};
    }

    UpstreamConnections::Handle send(const UpstreamTarget &to, const std::string &id, UpstreamConnections::Done done,
                                     size_t bodyBytes = 0)
    {
        return m_connections.send(to, makeRequest(id, bodyBytes), std::move(done));
    }

    ExchangeRequest makeRequest(const std::string &id, size_t bodyBytes = 0) const
    {
        ExchangeRequest request;
        request.encode = [id, bodyBytes](TimePoint) {
            return "GET /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(bodyBytes, 'x');
        };
        request.requestId = id;
        request.deadline = monotonicNow() + 5s;
        request.mayStart = [this] { return m_mayStart; };
        return request;
    }

    void awaitRequest(Upstream &upstream)
    {
        runUntil(m_context, [&] {
            boost::system::error_code error;
            if (!upstream.socket.is_open()) {
                upstream.acceptor.non_blocking(true);
                upstream.acceptor.accept(upstream.socket, error);
            }
            return upstream.socket.is_open() && upstream.socket.available(error) > 0;
        });
        boost::asio::streambuf request;
        boost::asio::read_until(upstream.socket, request, "\r\n\r\n");
    }

    /** Reads the request from an open connection without running the loop. */
    static void awaitRequestOnly(Upstream &upstream)
    {
        boost::asio::streambuf request;
        boost::asio::read_until(upstream.socket, request, "\r\n\r\n");
    }

    static std::string answer(const std::string &id, const std::string &body = "body")
    {
        return "HTTP/1.1 200 OK\r\nRequest: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    static void reply(Upstream &upstream, const std::string &bytes)
    {
        boost::asio::write(upstream.socket, boost::asio::buffer(bytes));
        std::this_thread::sleep_for(5ms);
    }

    /**
     * Answers with the given start and then the same bytes over and over, until the exchange ends: it has to fail
     * after a bounded number of bytes, and the next one has to be served on another connection.
     */
    void assertEndlessAnswerIsGivenUp(const std::string &start, const std::string &repeated)
    {
        // More than an answer may hold, and than the buffers of both sockets.
        constexpr size_t kMaxBytes = 32UL * 1024 * 1024;
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        send(target(upstream, "u"), "r1", [&](ExchangeResult ended) { result = std::move(ended); });
        awaitRequest(upstream);
        reply(upstream, start);
        upstream.socket.non_blocking(true);
        size_t written = 0;
        runUntil(m_context, [&] {
            boost::system::error_code error;
            while (!error && !result && written < kMaxBytes) {
                written += upstream.socket.write_some(boost::asio::buffer(repeated), error);
                m_context.poll();
                m_context.restart();
            }
            return result.has_value() || written >= kMaxBytes;
        });
        CPPUNIT_ASSERT(result.has_value());
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::Failed);
        CPPUNIT_ASSERT(result->answer.body.empty());
        upstream.socket = tcp::socket(m_context);
        std::string body;
        send(target(upstream, "u"), "r2", [&](const ExchangeResult &ended) { body = ended.answer.body; });
        awaitRequest(upstream);
        reply(upstream, answer("r2", "fresh"));
        runUntil(m_context, [&] { return !body.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string("fresh"), body);
    }

public:
    void connections_headWithoutEnd_exchangeFailsAndNextIsServed()
    {
        assertEndlessAnswerIsGivenUp("HTTP/1.1 200 OK\r\nRequest: r1\r\n", "X-Filler: abcdefghijklmnopqrstuvwxyz\r\n");
    }

    void connections_bodyWithoutEnd_exchangeFailsAndNextIsServed()
    {
        assertEndlessAnswerIsGivenUp("HTTP/1.1 200 OK\r\nRequest: r1\r\n\r\n", std::string(65536, 'x'));
    }

    void connections_chunksWithoutEnd_exchangeFailsAndNextIsServed()
    {
        std::string chunks;
        for (int i = 0; i < 4096; ++i)
            chunks += "8\r\nabcdefgh\r\n";
        assertEndlessAnswerIsGivenUp("HTTP/1.1 200 OK\r\nRequest: r1\r\nTransfer-Encoding: chunked\r\n\r\n", chunks);
    }

    void connections_chunkExtensionWithoutEnd_exchangeFailsAndNextIsServed()
    {
        assertEndlessAnswerIsGivenUp("HTTP/1.1 200 OK\r\nRequest: r1\r\nTransfer-Encoding: chunked\r\n\r\n8;a=",
                                     std::string(65536, 'x'));
    }

    /** The next exchange with the upstream is answered. */
    void assertNextIsServed(Upstream &upstream, const std::string &upstreamId, const std::string &requestId)
    {
        std::optional<ExchangeResult> next;
        send(target(upstream, upstreamId), requestId, [&](ExchangeResult ended) { next = std::move(ended); });
        awaitRequest(upstream);
        reply(upstream, answer(requestId));
        runUntil(m_context, [&] { return next.has_value(); });
        CPPUNIT_ASSERT(next->outcome == AttemptOutcome::Answered);
    }

    /** Reads to the end of a connection that the other side has closed. */
    static std::string readRest(tcp::socket &socket)
    {
        std::string rest;
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::dynamic_buffer(rest), error);
        return rest;
    }

    // Where the rest of the body was due, the upstream read another caller's request, or freed memory.
    void connections_answeredBeforeRequestIsWritten_connectionIsNotReused()
    {
        // More than the buffers of both sockets hold.
        constexpr size_t kBodyBytes = 32UL * 1024 * 1024;
        const LimitForTest limit(2 * kBodyBytes);
        Upstream upstream(m_context);
        std::optional<ExchangeResult> early;
        send(
            target(upstream, "u"), "r1", [&](ExchangeResult ended) { early = std::move(ended); }, kBodyBytes);
        awaitRequest(upstream);
        reply(upstream, answer("r1"));
        runUntil(m_context, [&] { return early.has_value(); });
        CPPUNIT_ASSERT(early->outcome == AttemptOutcome::Answered);
        tcp::socket first = std::exchange(upstream.socket, tcp::socket(m_context));
        assertNextIsServed(upstream, "u", "r2");
        CPPUNIT_ASSERT(readRest(first).find_first_not_of('x') == std::string::npos);
    }

    // They waited to their deadline, though the upstream was sound.
    void connections_endWhileAsManyRequestsWaitAsAreAllowed_waitingOnesAreSent()
    {
        Upstream upstream(m_context);
        UpstreamTarget narrow = target(upstream, "u");
        narrow.connections = 1;
        std::optional<ExchangeResult> first;
        std::optional<ExchangeResult> second;
        send(narrow, "r1", [&](ExchangeResult ended) { first = std::move(ended); });
        awaitRequest(upstream);
        send(narrow, "r2", [&](ExchangeResult ended) { second = std::move(ended); });
        upstream.socket.close();
        runUntil(m_context, [&] { return first.has_value(); });
        awaitRequest(upstream);
        reply(upstream, answer("r2"));
        runUntil(m_context, [&] { return second.has_value(); });
        CPPUNIT_ASSERT(second->outcome == AttemptOutcome::Answered);
    }

    void connections_answeredAfterRequestIsWritten_connectionIsReused()
    {
        Upstream upstream(m_context);
        for (const std::string id : {"r1", "r2"}) {
            std::optional<ExchangeResult> result;
            send(target(upstream, "u"), id, [&](ExchangeResult ended) { result = std::move(ended); });
            awaitRequest(upstream);
            reply(upstream, answer(id));
            runUntil(m_context, [&] { return result.has_value(); });
            CPPUNIT_ASSERT(result->outcome == AttemptOutcome::Answered);
        }
    }

    /** The answer ends its exchange as failed, nothing is thrown, and the next exchange is served. */
    void assertAnswerFails(const std::string &bytes)
    {
        const int64_t exceptions = connectionExceptions();
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        send(target(upstream, "u"), "r1", [&](ExchangeResult ended) { result = std::move(ended); });
        awaitRequest(upstream);
        reply(upstream, bytes);
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::Failed);
        CPPUNIT_ASSERT_EQUAL(exceptions, connectionExceptions());
        upstream.socket.close();
        assertNextIsServed(upstream, "u", "r2");
    }

    // One such answer ended the entry, and with it the requests of all other callers.
    void connections_impossibleLengthAndBodyInOneRead_exchangeFailsAndNextIsServed()
    {
        assertAnswerFails("HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 900000000000\r\n\r\nbytes");
    }

    void connections_fieldAfterLastChunkTooLong_exchangeFailsAndNextIsServed()
    {
        assertAnswerFails(
            "HTTP/1.1 200 OK\r\nRequest: r1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Filler: "
            + std::string(70000, 'x') + "\r\n\r\n");
    }

    void connections_statedLengthBeyondTheLimit_nothingIsReservedForIt()
    {
        assertAnswerFails("HTTP/1.1 200 OK\r\nRequest: r1\r\nContent-Length: 2000000000\r\n\r\n"
                          + std::string(1000, 'x'));
    }

    // Operators of similar systems: answers without end used up the memory, and the process ended with all requests.
    void connections_manyAnswersWithoutEnd_largestAreGivenUpAndOthersServed()
    {
        constexpr size_t kUpstreams = 8;
        constexpr size_t kLimitBytes = 4UL * 1024 * 1024;
        const LimitForTest limit(kLimitBytes);
        std::vector<std::unique_ptr<Upstream>> endless;
        std::vector<std::optional<ExchangeResult>> results(kUpstreams);
        for (size_t i = 0; i < kUpstreams; ++i) {
            endless.push_back(std::make_unique<Upstream>(m_context));
            const std::string id = "r" + std::to_string(i);
            send(target(*endless[i], "u" + id), id,
                 [&results, i](ExchangeResult ended) { results[i] = std::move(ended); });
            awaitRequest(*endless[i]);
            reply(*endless[i], "HTTP/1.1 200 OK\r\nRequest: " + id + "\r\n\r\n");
            endless[i]->socket.non_blocking(true);
        }
        const std::string filler(64UL * 1024, 'x');
        runUntil(m_context, [&] {
            for (const std::unique_ptr<Upstream> &upstream : endless) {
                boost::system::error_code error;
                upstream->socket.write_some(boost::asio::buffer(filler), error);
                m_context.poll();
                m_context.restart();
                CPPUNIT_ASSERT(connectionBytes().heldBytes() <= kLimitBytes);
            }
            return std::all_of(results.begin(), results.end(), [](const auto &result) { return result.has_value(); });
        });
        Upstream sound(m_context);
        assertNextIsServed(sound, "sound", "next");
    }

    void connections_fieldsAfterLastChunk_areNotTakenForTheHead()
    {
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        send(target(upstream, "u"), "r1", [&](ExchangeResult ended) { result = std::move(ended); });
        awaitRequest(upstream);
        reply(upstream,
              "HTTP/1.1 200 OK\r\nRequest: r1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Late: 1\r\n\r\n");
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), result->answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string(), result->answer.field("X-Late"));
    }

    void connections_answerByteByByte_endsAtDeadline()
    {
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        send(target(upstream, "u"), "r", [&](ExchangeResult ended) { result = std::move(ended); });
        awaitRequest(upstream);
        for (const char byte : std::string("HTTP/1.1 2")) {
            reply(upstream, std::string(1, byte));
            m_context.poll();
            m_context.restart();
            m_connections.tick(monotonicNow());
        }
        CPPUNIT_ASSERT(!result);
        m_connections.tick(monotonicNow() + 6s);
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::NoResponse);
    }

    /** A look-up of many shards is late on a small host if each part takes several turns of the loop. */
    void connections_manyShards_exchangeTakesAtMostThreeTurnsOfTheLoop()
    {
        Upstream upstream(m_context);
        int ended = 0;
        send(target(upstream, "u"), "r1", [&](const ExchangeResult &) { ++ended; });
        awaitRequest(upstream);
        reply(upstream, answer("r1"));
        runUntil(m_context, [&] { return ended == 1; });
        send(target(upstream, "u"), "r2", [&](const ExchangeResult &) { ++ended; });
        size_t turns = m_context.poll();
        m_context.restart();
        awaitRequestOnly(upstream);
        reply(upstream, answer("r2"));
        turns += m_context.poll();
        m_context.restart();
        CPPUNIT_ASSERT_EQUAL(2, ended);
        CPPUNIT_ASSERT(turns <= 3);
    }

    /** Otherwise callers would get an empty or short answer that looks whole. */
    void connections_headCutAndClosed_exchangeFails()
    {
        for (const std::string head : {"H", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nRequest: r\r\n",
                                       "HTTP/1.1 200 OK\r\nRequest: r\r\nContent-Length: 4\r\n",
                                       "HTTP/1.1 200 OK\r\nRequest: r\r\nContent-Le"}) {
            Upstream upstream(m_context);
            std::optional<ExchangeResult> result;
            send(target(upstream, "u" + head), "r", [&](ExchangeResult ended) { result = std::move(ended); });
            awaitRequest(upstream);
            reply(upstream, head);
            upstream.socket.close();
            runUntil(m_context, [&] { return result.has_value(); });
            CPPUNIT_ASSERT_MESSAGE(head, result->outcome != AttemptOutcome::Answered);
        }
    }

    void connections_answerWithoutLengthClosed_isWhole()
    {
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        send(target(upstream, "u"), "r", [&](ExchangeResult ended) { result = std::move(ended); });
        awaitRequest(upstream);
        reply(upstream, "HTTP/1.1 200 OK\r\nRequest: r\r\n\r\nwhole");
        upstream.socket.close();
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), result->answer.body);
    }

    void connections_answerWithoutLengthReset_exchangeFails()
    {
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        send(target(upstream, "u"), "r", [&](ExchangeResult ended) { result = std::move(ended); });
        awaitRequest(upstream);
        reply(upstream, "HTTP/1.1 200 OK\r\nRequest: r\r\n\r\npart");
        m_context.poll();
        m_context.restart();
        upstream.socket.set_option(boost::asio::socket_base::linger(true, 0));
        upstream.socket.close();
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome != AttemptOutcome::Answered);
    }

    void connections_answerArrivesAtDeadline_exchangeEndsOnce()
    {
        Upstream first(m_context);
        Upstream second(m_context);
        int firstCompletions = 0;
        int secondCompletions = 0;
        // Both answers have arrived when the first done callback ticks past the second exchange's deadline.
        const auto tickPastDeadline = [this](int &completions) {
            return [this, &completions](const ExchangeResult &) {
                ++completions;
                m_connections.tick(monotonicNow() + 60s);
            };
        };
        send(target(first, "u1"), "r1", tickPastDeadline(firstCompletions));
        send(target(second, "u2"), "r2", tickPastDeadline(secondCompletions));
        awaitRequest(first);
        awaitRequest(second);
        reply(first, answer("r1"));
        reply(second, answer("r2"));
        runUntil(m_context, [&] { return firstCompletions + secondCompletions == 2; });
        m_context.poll();
        CPPUNIT_ASSERT_EQUAL(1, firstCompletions);
        CPPUNIT_ASSERT_EQUAL(1, secondCompletions);
    }

    void connections_answerToAnotherRequest_isDroppedAndNextAnswerUsed()
    {
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        send(target(upstream, "u"), "r", [&](ExchangeResult ended) { result = std::move(ended); });
        awaitRequest(upstream);
        reply(upstream, answer("earlier", "wrong") + answer("r", "right"));
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string("right"), result->answer.body);
    }

    void connections_bytesAfterAnswer_connectionIsNotReused()
    {
        Upstream upstream(m_context);
        int completions = 0;
        send(target(upstream, "u"), "r1", [&](const ExchangeResult &) { ++completions; });
        awaitRequest(upstream);
        reply(upstream, answer("r1") + answer("r1", "again"));
        runUntil(m_context, [&] { return completions == 1; });
        Upstream *sameAddress = &upstream;
        sameAddress->socket = tcp::socket(m_context);
        std::string body;
        send(target(upstream, "u"), "r2", [&](const ExchangeResult &ended) { body = ended.answer.body; });
        awaitRequest(upstream);
        reply(upstream, answer("r2", "fresh"));
        runUntil(m_context, [&] { return !body.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string("fresh"), body);
    }

    void connections_answerTruncated_exchangeFails()
    {
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        send(target(upstream, "u"), "r", [&](ExchangeResult ended) { result = std::move(ended); });
        awaitRequest(upstream);
        reply(upstream, "HTTP/1.1 200 OK\r\nRequest: r\r\nContent-Length: 100\r\n\r\npart");
        upstream.socket.close();
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::Failed);
    }

    void connections_entryToWhichNoCallersAreSent_keepsNoneAfterAnswer()
    {
        Upstream upstream(m_context);
        UpstreamTarget notKept = target(upstream, "u");
        notKept.keepsIdle = false;
        std::optional<ExchangeResult> result;
        send(notKept, "r", [&](ExchangeResult ended) { result = std::move(ended); });
        awaitRequest(upstream);
        reply(upstream, answer("r"));
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::Answered);
        boost::system::error_code error;
        std::array<char, 1> byte{};
        upstream.socket.non_blocking(true);
        runUntil(m_context, [&] {
            upstream.socket.read_some(boost::asio::buffer(byte), error);
            return error == boost::asio::error::eof;
        });
    }

    void connections_newConnectionReset_requestNotSent()
    {
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        send(target(upstream, "u"), "r", [&](ExchangeResult ended) { result = std::move(ended); });
        m_context.poll_one();
        upstream.acceptor.accept(upstream.socket);
        upstream.socket.set_option(boost::asio::socket_base::linger(true, 0));
        upstream.socket.close();
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::NotSent);
    }

    void connections_connectionRefused_requestNotSent()
    {
        Upstream upstream(m_context);
        const UpstreamTarget to = target(upstream, "u");
        upstream.acceptor.close();
        std::optional<ExchangeResult> result;
        send(to, "r", [&](ExchangeResult ended) { result = std::move(ended); });
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::NotSent);
    }

    void connections_warmedWhileRefused_attemptsBackOff()
    {
        Upstream upstream(m_context);
        const UpstreamTarget to = target(upstream, "u");
        upstream.acceptor.close();
        Counter &opened = Metrics::counter("hickoryspur_upstream_connections_opened_total");
        const int64_t before = opened.value();
        const TimePoint end = monotonicNow() + 400ms;
        while (monotonicNow() < end) {
            m_connections.warm(to);
            m_context.poll();
            m_context.restart();
            std::this_thread::sleep_for(1ms);
        }
        // With the least jitter, attempts start at once and after 50, 100 and 200 ms more.
        CPPUNIT_ASSERT(opened.value() > before);
        CPPUNIT_ASSERT(opened.value() - before <= 4);
    }

    void connections_cancelledWhileWaiting_requestNotSent()
    {
        Upstream upstream(m_context);
        UpstreamTarget to = target(upstream, "u");
        to.connections = 1;
        std::vector<std::string> completions;
        send(to, "r1", [&](const ExchangeResult &) { completions.emplace_back("r1"); });
        awaitRequest(upstream);
        const auto second = send(to, "r2", [&](const ExchangeResult &ended) {
            // A cancelled exchange must not count as a failure of the upstream.
            CPPUNIT_ASSERT(ended.outcome == AttemptOutcome::Cancelled);
            completions.emplace_back("r2");
        });
        m_context.poll();
        m_connections.cancelIfNotSent(second);
        reply(upstream, answer("r1"));
        runUntil(m_context, [&] { return completions.size() == 2; });
        m_context.poll();
        std::this_thread::sleep_for(5ms);
        CPPUNIT_ASSERT_EQUAL(size_t(0), upstream.socket.available());
    }

    // Guards against urgent requests that wait behind all less urgent ones, and against another order than that of
    // arrival among equal ones.
    void connections_urgentRequestArrivesLast_goesBeforeLessUrgentOnes()
    {
        Upstream upstream(m_context);
        UpstreamTarget to = target(upstream, "u");
        to.connections = 1;
        std::vector<std::string> order;
        const auto sendWith = [&](const std::string &id, int priority) {
            ExchangeRequest request = makeRequest(id);
            request.priority = priority;
            m_connections.send(to, std::move(request), [&order, id](const ExchangeResult &) { order.push_back(id); });
        };
        sendWith("running", 2);
        awaitRequest(upstream);
        for (const auto &[id, priority] : std::vector<std::pair<std::string, int>>{
                 {"search1", 1}, {"single", 2}, {"search2", 1}, {"lookup1", 0}, {"lookup2", 0}})
            sendWith(id, priority);
        m_context.poll();
        const std::vector<std::string> expected{"running", "lookup1", "lookup2", "search1", "search2", "single"};
        for (const std::string &id : expected) {
            if (id != "running")
                awaitRequest(upstream);
            reply(upstream, answer(id));
            runUntil(m_context, [&] { return !order.empty() && order.back() == id; });
        }
        CPPUNIT_ASSERT(order == expected);
    }

    // Guards against a request that is kept past its deadline because a more urgent one stands before it.
    void connections_deadlineOfOneBehindAnUrgentOne_endsInTime()
    {
        Upstream upstream(m_context);
        UpstreamTarget to = target(upstream, "u");
        to.connections = 1;
        send(to, "running", [](const ExchangeResult &) {});
        awaitRequest(upstream);
        send(to, "urgent", [](const ExchangeResult &) {});
        ExchangeRequest request = makeRequest("search");
        request.priority = 1;
        request.deadline = monotonicNow() + 1s;
        std::optional<AttemptOutcome> outcome;
        m_connections.send(to, std::move(request), [&](const ExchangeResult &ended) { outcome = ended.outcome; });
        m_context.poll();
        m_connections.tick(monotonicNow() + 1s);
        CPPUNIT_ASSERT(outcome == AttemptOutcome::NotSent);
    }

    // Guards against admitting more requests in one turn of the loop than have room, since their sub-requests are
    // only posted.
    void connections_postedRequests_countForRoom()
    {
        Upstream upstream(m_context);
        const UpstreamTarget to = target(upstream, "u");
        CPPUNIT_ASSERT(m_connections.hasRoomBesidesPosted(to.id));
        send(to, "r1", [](const ExchangeResult &) {});
        CPPUNIT_ASSERT(m_connections.hasRoomBesidesPosted(to.id));
        send(to, "r2", [](const ExchangeResult &) {});
        CPPUNIT_ASSERT(!m_connections.hasRoomBesidesPosted(to.id));
        m_context.poll();
        CPPUNIT_ASSERT(!m_connections.hasRoomBesidesPosted(to.id));
    }

    // Guards against requests that reach an upstream after it has asked for none, since they had waited for a
    // connection.
    void connections_upstreamPausedWhileWaiting_requestNotSent()
    {
        Upstream upstream(m_context);
        UpstreamTarget to = target(upstream, "u");
        to.connections = 1;
        std::map<std::string, AttemptOutcome> outcomes;
        send(to, "r1", [&](const ExchangeResult &ended) { outcomes["r1"] = ended.outcome; });
        awaitRequest(upstream);
        send(to, "r2", [&](const ExchangeResult &ended) { outcomes["r2"] = ended.outcome; });
        m_context.poll();
        m_mayStart = false;
        m_connections.withdrawUnusable();
        CPPUNIT_ASSERT(outcomes.at("r2") == AttemptOutcome::Withheld);
        reply(upstream, answer("r1"));
        runUntil(m_context, [&] { return outcomes.size() == 2; });
        CPPUNIT_ASSERT(outcomes.at("r1") == AttemptOutcome::Answered);
        m_context.poll();
        std::this_thread::sleep_for(5ms);
        CPPUNIT_ASSERT_EQUAL(size_t(0), upstream.socket.available());
    }

    // A request was posted to its connections in the turn of the loop in which its upstream's leaving arrived; it began
    // to wait only after those that waited had been withdrawn.
    void connections_upstreamEndsBeforeRequestIsTaken_requestNotSent()
    {
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        send(target(upstream, "u"), "r1", [&](ExchangeResult ended) { result = std::move(ended); });
        m_mayStart = false;
        m_connections.withdrawUnusable();
        m_connections.removeUpstream(UpstreamId("u"));
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::Withheld);
    }

    // A request that waited for an upstream at its old address had no deadline any more once the address changed.
    void connections_addressChangesWhileWaiting_requestEndsAtItsDeadline()
    {
        Upstream before(m_context);
        Upstream after(m_context);
        UpstreamTarget to = target(before, "u");
        to.connections = 1;
        std::map<std::string, AttemptOutcome> outcomes;
        send(to, "r1", [&](const ExchangeResult &ended) { outcomes["r1"] = ended.outcome; });
        awaitRequest(before);
        send(to, "r2", [&](const ExchangeResult &ended) { outcomes["r2"] = ended.outcome; });
        m_context.poll();
        send(target(after, "u"), "r3", [&](const ExchangeResult &ended) { outcomes["r3"] = ended.outcome; });
        awaitRequest(after);
        reply(after, answer("r3"));
        runUntil(m_context, [&] { return outcomes.contains("r3"); });
        m_connections.tick(monotonicNow() + 6s);
        CPPUNIT_ASSERT(outcomes.at("r1") == AttemptOutcome::NoResponse);
        CPPUNIT_ASSERT(outcomes.at("r2") == AttemptOutcome::NotSent);
        CPPUNIT_ASSERT(outcomes.at("r3") == AttemptOutcome::Answered);
    }

    void connections_cancelIfNotSentWhileRunning_exchangeCompletes()
    {
        Upstream upstream(m_context);
        std::optional<ExchangeResult> result;
        const auto handle = send(target(upstream, "u"), "r", [&](ExchangeResult ended) { result = std::move(ended); });
        awaitRequest(upstream);
        m_connections.cancelIfNotSent(handle);
        reply(upstream, answer("r"));
        runUntil(m_context, [&] { return result.has_value(); });
        CPPUNIT_ASSERT(result->outcome == AttemptOutcome::Answered);
    }

private:
    boost::asio::io_context m_context;
    /** Whether requests that have not been sent yet may still be. */
    bool m_mayStart = true;
    UpstreamConnections m_connections{
        m_context, [](const UpstreamAnswer &answer, const std::string &id) { return answer.field("Request") == id; },
        1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamConnectionsFailureTest);
