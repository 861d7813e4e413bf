// Guards against callers and upstreams that read slowly or not at all: they must not occupy memory without bounds, nor
// for longer than a write may stand still, and one that goes on reading must get everything.
#include "connection/UpstreamConnections.h"
#include "fakes/EntryWorld.h"
#include "fakes/RunUntil.h"
#include "fakes/ServerThread.h"
#include "hickoryspur/process/ByteBudget.h"
#include "hickoryspur/process/Metrics.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/all.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

using namespace hickoryspur;

class SlowReaderFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlowReaderFailureTest);
    CPPUNIT_TEST(caller_stopsReading_isCountedAndCutOff);
    CPPUNIT_TEST(caller_readsSlowlyForLongerThanTheIdleTimeout_getsAll);
    CPPUNIT_TEST(upstream_stopsReading_requestIsCountedAndEndsUnanswered);
    CPPUNIT_TEST(upstream_readsSlowlyForLongerThanTheStallTime_getsAll);
    CPPUNIT_TEST(upstream_requestsBeyondTheMemory_areGivenUp);
    CPPUNIT_TEST(upstream_manyLargeRequests_staysBelowTheBound);
    CPPUNIT_TEST(request_noReplicaHasRoomForItsBody_isRefusedAsNotRun);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    static constexpr size_t kAnswerBytes = 8UL * 1024 * 1024;
    static constexpr size_t kRequestBytes = 8UL * 1024 * 1024;
    /** Kernels take this much more than they are told to, beside kMaxUnsentBytes. */
    static constexpr int kReceiveBytes = 64 * 1024;

    /** A server whose answers are large; a request takes kAnswerBytes, too. */
    class Server : public ServerThread
    {
    public:
        explicit Server(const ServerLimits &limits)
            : ServerThread(limits, answer)
        {
        }

        /** Sends a request on a connection whose kernel takes little of the answer. */
        void request(tcp::socket &socket) const
        {
            socket.open(tcp::v4());
            socket.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBytes));
            socket.connect(endpoint());
            const std::string body(kRequestBytes, 'x');
            boost::asio::write(socket,
                               boost::asio::buffer("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                                                   + std::to_string(body.size()) + "\r\n\r\n" + body));
        }

    private:
        static CallerResponse answer(const CallerRequest &)
        {
            CallerResponse response;
            response.body = std::string(kAnswerBytes, 'a');
            return response;
        }
    };

    struct Upstream
    {
        explicit Upstream(boost::asio::io_context &context)
            : acceptor(context, tcp::v4())
        {
            acceptor.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBytes));
            acceptor.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
            acceptor.listen();
            acceptor.non_blocking(true);
        }

        /** Takes new connections. */
        void accept()
        {
            for (;;) {
                boost::system::error_code error;
                tcp::socket socket(acceptor.get_executor());
                acceptor.accept(socket, error);
                if (error)
                    return;
                socket.non_blocking(true);
                sockets.push_back(std::move(socket));
            }
        }

        /** Reads at most so many bytes of one connection. */
        std::string read(size_t index, size_t bytes)
        {
            std::string part(bytes, '\0');
            boost::system::error_code error;
            part.resize(sockets.at(index).read_some(boost::asio::buffer(part), error));
            return part;
        }

        tcp::acceptor acceptor;
        std::vector<tcp::socket> sockets;
    };

    static ServerLimits limits(std::chrono::milliseconds idleTimeout, std::chrono::milliseconds stallTimeout)
    {
        ServerLimits limits;
        limits.bodyBytes = kRequestBytes;
        limits.idleTimeout = idleTimeout;
        limits.writeStallTimeout = stallTimeout;
        return limits;
    }

    template <typename Condition> static bool waitFor(Condition condition, Duration bound)
    {
        const TimePoint end = monotonicNow() + bound;
        while (!condition() && monotonicNow() < end)
            std::this_thread::sleep_for(1ms);
        return condition();
    }

    UpstreamTarget target(const Upstream &upstream, uint32_t connections) const
    {
        return {UpstreamId("u"), {"127.0.0.1", upstream.acceptor.local_endpoint().port()}, connections};
    }

    static ExchangeRequest makeRequest(const std::string &id, size_t bodyBytes)
    {
        ExchangeRequest request;
        request.encode = [id, bodyBytes](TimePoint) {
            return "POST /" + id + " HTTP/1.1\r\nHost: h\r\n\r\n" + std::string(bodyBytes, 'x');
        };
        request.requestId = id;
        request.bodyBytes = bodyBytes;
        request.deadline = monotonicNow() + 60s;
        return request;
    }

    static void reply(tcp::socket &socket, const std::string &id)
    {
        boost::asio::write(socket,
                           boost::asio::buffer("HTTP/1.1 200 OK\r\nRequest: " + id + "\r\nContent-Length: 1\r\n\r\nx"));
    }

public:
    void setUp() override
    {
        m_context = std::make_unique<boost::asio::io_context>();
        m_connections = std::make_unique<UpstreamConnections>(
            *m_context,
            [](const UpstreamAnswer &answer, const std::string &id) { return answer.field("Request") == id; }, 1);
    }

    // Not kept until the end of all tests: open connections count in the memory of the process.
    void tearDown() override
    {
        m_connections.reset();
        m_context.reset();
        connectionBytes().setLimit(ByteBudget::kDefaultLimitBytes);
    }

    // It kept its answer, and the bytes of its request, for the whole idle timeout.
    void caller_stopsReading_isCountedAndCutOff()
    {
        Counter &stalled = Metrics::counter("hickoryspur_caller_writes_stalled_total");
        const int64_t before = stalled.value();
        boost::asio::io_context clients;
        tcp::socket socket(clients);
        const Server server(limits(3s, 500ms));
        server.request(socket);
        CPPUNIT_ASSERT(waitFor([&] { return socket.available() > 0; }, 3s));
        CPPUNIT_ASSERT(connectionBytes().heldBytes() >= kAnswerBytes);
        CPPUNIT_ASSERT(connectionBytes().heldBytes() < kAnswerBytes + kRequestBytes);
        CPPUNIT_ASSERT(waitFor([&] { return stalled.value() > before; }, 2s));
        CPPUNIT_ASSERT(waitFor([] { return connectionBytes().heldBytes() == 0; }, 1s));
    }

    // Its answer was cut off at the idle timeout, though it was reading.
    void caller_readsSlowlyForLongerThanTheIdleTimeout_getsAll()
    {
        boost::asio::io_context clients;
        tcp::socket socket(clients);
        const Server server(limits(1s, 2s));
        server.request(socket);
        size_t received = 0;
        boost::system::error_code error;
        std::string part(64UL * 1024, '\0');
        while (!error) {
            received += socket.read_some(boost::asio::buffer(part), error);
            std::this_thread::sleep_for(20ms);
        }
        CPPUNIT_ASSERT(received > kAnswerBytes);
    }

    // It held the request's memory, uncounted, and its connection up to the request's deadline.
    void upstream_stopsReading_requestIsCountedAndEndsUnanswered()
    {
        Upstream upstream(*m_context);
        std::optional<AttemptOutcome> stuck;
        std::optional<AttemptOutcome> other;
        m_connections->send(target(upstream, 2), makeRequest("stuck", kRequestBytes),
                            [&](const ExchangeResult &ended) { stuck = ended.outcome; });
        runUntil(*m_context, [] { return connectionBytes().heldBytes() >= kRequestBytes; });
        m_connections->send(target(upstream, 2), makeRequest("other", 0),
                            [&](const ExchangeResult &ended) { other = ended.outcome; });
        runUntil(*m_context, [&] {
            upstream.accept();
            return upstream.sockets.size() == 2 && upstream.sockets[1].available() > 0;
        });
        reply(upstream.sockets[1], "other");
        runUntil(*m_context, [&] { return other.has_value(); });
        CPPUNIT_ASSERT(other == AttemptOutcome::Answered);
        m_connections->tick(monotonicNow() + kWriteStallTime - 2s);
        CPPUNIT_ASSERT(!stuck);
        m_connections->tick(monotonicNow() + kWriteStallTime);
        CPPUNIT_ASSERT(stuck == AttemptOutcome::NoResponse);
        runUntil(*m_context, [] { return connectionBytes().heldBytes() == 0; });
    }

    // Guards against a bound on the whole write, which ends requests that make progress.
    void upstream_readsSlowlyForLongerThanTheStallTime_getsAll()
    {
        Upstream upstream(*m_context);
        std::optional<AttemptOutcome> outcome;
        m_connections->send(target(upstream, 1), makeRequest("r", kRequestBytes),
                            [&](const ExchangeResult &ended) { outcome = ended.outcome; });
        size_t received = 0;
        const TimePoint end = monotonicNow() + kWriteStallTime + 500ms;
        runUntil(*m_context, [&] {
            upstream.accept();
            return !upstream.sockets.empty();
        });
        while (monotonicNow() < end || received < kRequestBytes) {
            // So little each time that the write is not whole within the stall time.
            received += upstream.read(0, monotonicNow() < end ? 16UL * 1024 : kRequestBytes).size();
            m_context->poll();
            m_context->restart();
            m_connections->tick(monotonicNow());
            std::this_thread::sleep_for(20ms);
            CPPUNIT_ASSERT(!outcome);
        }
        reply(upstream.sockets[0], "r");
        runUntil(*m_context, [&] { return outcome.has_value(); });
        CPPUNIT_ASSERT(outcome == AttemptOutcome::Answered);
    }

    // Requests that upstreams do not take could fill the memory of an entry.
    void upstream_requestsBeyondTheMemory_areGivenUp()
    {
        connectionBytes().setLimit(kRequestBytes + kRequestBytes / 2);
        std::vector<std::unique_ptr<Upstream>> upstreams;
        std::vector<UpstreamConnections::Handle> handles;
        bool isDone = false;
        size_t ended = 0;
        for (size_t i = 0; i < 3; ++i) {
            upstreams.push_back(std::make_unique<Upstream>(*m_context));
            UpstreamTarget to = target(*upstreams.back(), 1);
            to.id = UpstreamId("u" + std::to_string(i));
            handles.push_back(
                m_connections->send(to, makeRequest("r", kRequestBytes), [&](const ExchangeResult &result) {
                    if (isDone)
                        return;
                    CPPUNIT_ASSERT(result.outcome == AttemptOutcome::Failed);
                    ++ended;
                }));
        }
        runUntil(*m_context, [&] { return ended == 2; });
        CPPUNIT_ASSERT(connectionBytes().heldBytes() <= connectionBytes().limit());
        // An exchange that runs on would outlive its context, and later tests would be asked to give up its bytes.
        isDone = true;
        for (const UpstreamConnections::Handle handle : handles)
            m_connections->cancel(handle);
        runUntil(*m_context, [] { return connectionBytes().heldBytes() == 0; });
    }

    // The size of requests was bounded for each one only, and not for what an upstream holds of them.
    void upstream_manyLargeRequests_staysBelowTheBound()
    {
        constexpr uint32_t kConnections = 4;
        constexpr size_t kBodyBytes = 400UL * 1024;
        constexpr size_t kRequests = 6;
        Upstream upstream(*m_context);
        const UpstreamTarget to = target(upstream, kConnections);
        size_t answered = 0;
        for (size_t i = 0; i < kRequests; ++i)
            m_connections->send(to, makeRequest("r", kBodyBytes), [&](const ExchangeResult &ended) {
                CPPUNIT_ASSERT(ended.outcome == AttemptOutcome::Answered);
                ++answered;
            });
        std::vector<size_t> held(kConnections);
        const auto readAll = [&] {
            upstream.accept();
            size_t all = 0;
            for (size_t i = 0; i < upstream.sockets.size(); ++i)
                all += held[i] += upstream.read(i, kBodyBytes).size();
            return all;
        };
        while (answered < kRequests) {
            runUntil(*m_context, [&] {
                return readAll() >= 2 * kBodyBytes || (answered + 1 == kRequests && readAll() >= kBodyBytes);
            });
            // What more there were would come now.
            for (int i = 0; i < 20; ++i) {
                m_context->poll();
                m_context->restart();
                std::this_thread::sleep_for(1ms);
                CPPUNIT_ASSERT(readAll() <= kConnections * ConnectionPool::kHeldBytesPerConnection);
            }
            CPPUNIT_ASSERT(!m_connections->hasRoom(to.id, kBodyBytes) || answered + 1 == kRequests);
            const size_t first = static_cast<size_t>(
                std::find_if(held.begin(), held.end(), [](size_t bytes) { return bytes > kBodyBytes; }) - held.begin());
            held.at(first) = 0;
            const size_t before = answered;
            reply(upstream.sockets.at(first), "r");
            runUntil(*m_context, [&] { return answered > before; });
        }
    }

    // Guards against sending it all the same, and against an answer that does not tell that it has not run.
    void request_noReplicaHasRoomForItsBody_isRefusedAsNotRun()
    {
        constexpr size_t kBodyBytes = 400UL * 1024;
        entryworld::onFibers([](entryworld::World &world) {
            world.addUpstream("labels", "a", [](const CallerRequest &request) {
                boost::this_fiber::sleep_for(1s);
                return platform::makeAnswer(request, "sig-labels", "label");
            });
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a");
            entryworld::announce(world, *entry, false);
            RouteTable routes = entryworld::table(world);
            // Room for several connections of this entry, but not for two such bodies.
            routes.services.at(world.upstreams.front().service).connectionLimit = 32;
            entry->setRoutes(routes);
            std::vector<unsigned> statuses;
            for (const Duration timeout : {2000ms, 500ms}) {
                boost::fibers::fiber([&statuses, &entry, timeout] {
                    ForwardedRequest request = entryworld::request("/label/1");
                    request.body = std::string(kBodyBytes, 'x');
                    request.timeout = timeout;
                    statuses.push_back(entry->serve(request, entryworld::neverGone).status);
                }).detach();
                entryworld::tickFor({entry.get()}, 100ms);
            }
            entryworld::tickFor({entry.get()}, 1500ms);
            CPPUNIT_ASSERT(statuses == std::vector<unsigned>({503, 200}));
            CPPUNIT_ASSERT_EQUAL(size_t{1}, world.runs);
        });
    }

private:
    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<UpstreamConnections> m_connections;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowReaderFailureTest);
