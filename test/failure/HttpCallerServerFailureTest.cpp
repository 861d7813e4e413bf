// Guards against a request that ends the process which reads it, and against one that occupies a server for good. The
// callers are sockets of the test; each server runs on a thread of its own, as in the product.
#include "fakes/ServerThread.h"
#include "process/ConnectionGuard.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace hickoryspur;

class HttpCallerServerFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpCallerServerFailureTest);
    CPPUNIT_TEST(server_fieldAfterLastChunkTooLong_isRefusedAndNextIsServed);
    CPPUNIT_TEST(server_fieldTooLongForAWideHeaderLimit_isRefusedAndNextIsServed);
    CPPUNIT_TEST(server_emptyChunkedBodyInPieces_isServed);
    CPPUNIT_TEST(server_foldedLine_isRefusedAndBodyIsNoRequest);
    CPPUNIT_TEST(server_transferCodingOtherThanChunked_isRefusedAndBodyIsNoRequest);
    CPPUNIT_TEST(server_headRequest_isAnsweredWithoutABody);
    CPPUNIT_TEST(server_responseCannotBeSent_endsItsConnectionOnly);
    CPPUNIT_TEST(server_noDescriptorLeft_waitsBetweenTriesAndServesLater);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    static constexpr size_t kUnstorableBytes = 70000;

    /** A server that answers with a field that cannot be stored, if the target asks for it. */
    class Server : public ServerThread
    {
    public:
        explicit Server(const ServerLimits &limits)
            : ServerThread(limits, answer)
        {
        }

        /** The status line and all that follows it until the server closes; empty if it closed without an answer. */
        std::string exchange(const std::string &bytes) const
        {
            boost::asio::io_context context;
            tcp::socket socket(context);
            socket.connect(endpoint());
            boost::system::error_code error;
            boost::asio::write(socket, boost::asio::buffer(bytes), error);
            std::string answer;
            boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
            return answer;
        }

        std::string get(const std::string &target) const
        {
            return exchange("GET " + target + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        }

        /** The answers to both requests, which one connection carries. */
        std::string headThenGet(const std::string &target) const
        {
            return exchange("HEAD " + target + " HTTP/1.1\r\nHost: h\r\n\r\nGET " + target
                            + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        }

    private:
        static CallerResponse answer(const CallerRequest &request)
        {
            CallerResponse response;
            if (request.path == "/unstorable")
                response.fields.emplace_back("X-Long", std::string(kUnstorableBytes, 'x'));
            if (request.path == "/body")
                response.body = "body";
            return response;
        }
    };

    static ServerLimits limits(uint32_t headerBytes)
    {
        ServerLimits limits;
        limits.headerBytes = headerBytes;
        limits.idleTimeout = std::chrono::milliseconds(300);
        return limits;
    }

    static bool hasStatus(const std::string &answer, const std::string &status)
    {
        return answer.rfind("HTTP/1.1 " + status, 0) == 0;
    }

    static const std::string &unstorable()
    {
        static const std::string text(kUnstorableBytes, 'x');
        return text;
    }

public:
    // A heartbeat with such a field ended each control host that read it.
    void server_fieldAfterLastChunkTooLong_isRefusedAndNextIsServed()
    {
        const int64_t exceptions = connectionExceptions();
        const Server server(limits(16U * 1024));
        const std::string answer =
            server.exchange("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Filler: "
                            + unstorable() + "\r\n\r\n");
        CPPUNIT_ASSERT(hasStatus(answer, "413"));
        CPPUNIT_ASSERT(hasStatus(server.get("/"), "200"));
        CPPUNIT_ASSERT_EQUAL(exceptions, connectionExceptions());
    }

    void server_fieldTooLongForAWideHeaderLimit_isRefusedAndNextIsServed()
    {
        const int64_t exceptions = connectionExceptions();
        const Server server(limits(120U * 1024));
        const std::string answer =
            server.exchange("GET / HTTP/1.1\r\nHost: h\r\nX-Filler: " + unstorable() + "\r\n\r\n");
        CPPUNIT_ASSERT(hasStatus(answer, "413"));
        CPPUNIT_ASSERT(hasStatus(server.get("/"), "200"));
        CPPUNIT_ASSERT_EQUAL(exceptions, connectionExceptions());
    }

    // A caller whose last bytes came one by one ended the server's process.
    void server_emptyChunkedBodyInPieces_isServed()
    {
        const Server server(limits(16U * 1024));
        boost::asio::io_context clients;
        tcp::socket socket(clients, tcp::v4());
        socket.connect(server.endpoint());
        for (const char *piece :
             {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "\r", "\n"}) {
            boost::asio::write(socket, boost::asio::buffer(std::string(piece)));
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        std::string answer;
        boost::system::error_code error;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "\r\n", error);
        CPPUNIT_ASSERT(hasStatus(answer, "200"));
    }

    /** A request with these fields is refused, and the bytes of another request in its body are not served. */
    static void assertRefusedWhole(const std::string &fields)
    {
        const Server server(limits(16U * 1024));
        const std::string inBody = "GET /in-body HTTP/1.1\r\nHost: h\r\n\r\n";
        const std::string answer = server.exchange("POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + inBody);
        CPPUNIT_ASSERT_MESSAGE(answer, hasStatus(answer, "400"));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("HTTP/1.1 200") == std::string::npos);
    }

    // The length was joined to the field before it, and the body was served as the caller's next request.
    void server_foldedLine_isRefusedAndBodyIsNoRequest()
    {
        assertRefusedWhole("X-Field: 1\r\n Content-Length: 37\r\n");
    }

    // The request was taken for one without a body, and its body for the caller's next request.
    void server_transferCodingOtherThanChunked_isRefusedAndBodyIsNoRequest()
    {
        for (const char *coding : {"gzip", "chunked, gzip", "gzip, chunked", "identity", ""})
            assertRefusedWhole("Transfer-Encoding: " + std::string(coding) + "\r\n");
    }

    // The body was written, and its caller took it for the beginning of the next answer.
    void server_headRequest_isAnsweredWithoutABody()
    {
        const Server server(limits(16U * 1024));
        for (const std::string target : {"/body", "/empty"}) {
            const std::string answers = server.headThenGet(target);
            const size_t end = answers.find("\r\n\r\n");
            CPPUNIT_ASSERT(hasStatus(answers, "200") && end != std::string::npos);
            const std::string head = answers.substr(0, end + 2);
            CPPUNIT_ASSERT_EQUAL(target == "/body", head.find("Content-Length: 4\r\n") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(answers, hasStatus(answers.substr(end + 4), "200"));
        }
    }

    void server_responseCannotBeSent_endsItsConnectionOnly()
    {
        const int64_t exceptions = connectionExceptions();
        const Server server(limits(16U * 1024));
        CPPUNIT_ASSERT_EQUAL(std::string(), server.get("/unstorable"));
        CPPUNIT_ASSERT_EQUAL(exceptions + 1, connectionExceptions());
        CPPUNIT_ASSERT(hasStatus(server.get("/"), "200"));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        CPPUNIT_ASSERT_EQUAL(size_t{0}, server.openRequests());
    }

    // A server without descriptors tried again at once, and kept its thread busy instead of serving open connections.
    void server_noDescriptorLeft_waitsBetweenTriesAndServesLater()
    {
        const Server server(limits(16U * 1024));
        boost::asio::io_context clients;
        tcp::socket waiting(clients, tcp::v4());
        rlimit usual{};
        CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_NOFILE, &usual));
        const int lowestFree = ::dup(0);
        CPPUNIT_ASSERT(lowestFree >= 0);
        ::close(lowestFree);
        rlimit none = usual;
        none.rlim_cur = static_cast<rlim_t>(lowestFree);
        const int64_t failures = acceptFailures();
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &none));
        waiting.connect(server.endpoint());
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &usual));
        const int64_t tries = acceptFailures() - failures;
        CPPUNIT_ASSERT(tries > 0);
        CPPUNIT_ASSERT(tries <= 10);
        boost::asio::write(waiting, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
        std::string answer;
        boost::system::error_code error;
        boost::asio::read_until(waiting, boost::asio::dynamic_buffer(answer), "\r\n", error);
        CPPUNIT_ASSERT(hasStatus(answer, "200"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCallerServerFailureTest);
