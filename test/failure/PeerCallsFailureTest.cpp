#include "connection/PeerCalls.h"
#include "fakes/ReservedPort.h"
#include "fakes/RunUntil.h"

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace hickoryspur;

/**
 * Guards calls between entries against an entry that is not there, that ends, or that falls silent: each call ends
 * once, and it is told truly whether the other entry can have received it.
 */
class PeerCallsFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeerCallsFailureTest);
    CPPUNIT_TEST(call_answeredTwice_bothRepliesArrive);
    CPPUNIT_TEST(call_nobodyListens_isLostAndNotSent);
    CPPUNIT_TEST(call_entryEnds_isLostAndMayHaveBeenSent);
    CPPUNIT_TEST(call_entrySilent_isNotUsedAndThenLost);
    CPPUNIT_TEST(call_cancelled_isCancelledThereAndReplyIsDropped);
    CPPUNIT_TEST(call_callerEnds_isCancelledThere);
    CPPUNIT_TEST(connection_unused_isClosed);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    boost::asio::io_context m_context;
    std::optional<ReservedPort> m_port;
    PeerCalls::Respond m_respond;
    std::vector<std::string> m_served;
    size_t m_cancelled = 0;
    std::vector<std::string> m_replies;
    std::vector<bool> m_lost;

    HostAddress reserveAddress() { return m_port.emplace(m_context).address(); }

    std::unique_ptr<PeerCalls> makeServer(const HostAddress &address)
    {
        auto server = std::make_unique<PeerCalls>(m_context, NodeId("server"),
                                                  [this](const std::string &payload, PeerCalls::Respond respond) {
                                                      m_served.push_back(payload);
                                                      m_respond = std::move(respond);
                                                      return [this] { ++m_cancelled; };
                                                  });
        CPPUNIT_ASSERT(server->listen(address));
        return server;
    }

    std::unique_ptr<PeerCalls> makeClient()
    {
        return std::make_unique<PeerCalls>(m_context, NodeId("client"),
                                           [](const std::string &, const PeerCalls::Respond &) { return [] {}; });
    }

    PeerCalls::CallHooks hooks()
    {
        PeerCalls::CallHooks result;
        result.reply = [this](const std::string &payload, bool last) {
            m_replies.push_back(payload + (last ? "." : ""));
        };
        result.lost = [this](bool sent) { m_lost.push_back(sent); };
        return result;
    }

public:
    void call_answeredTwice_bothRepliesArrive()
    {
        const HostAddress address = reserveAddress();
        const auto server = makeServer(address);
        const auto client = makeClient();
        client->call(monotonicNow(), address, "question", hooks());
        runUntil(m_context, [&] { return !m_served.empty(); });
        m_respond("first", false);
        m_respond("second", true);
        m_respond("third", true);
        runUntil(m_context, [&] { return m_replies.size() == 2; });
        CPPUNIT_ASSERT((m_replies == std::vector<std::string>{"first", "second."}));
        CPPUNIT_ASSERT(m_lost.empty());
    }

    void call_nobodyListens_isLostAndNotSent()
    {
        const HostAddress address = reserveAddress();
        const auto client = makeClient();
        client->call(monotonicNow(), address, "question", hooks());
        runUntil(m_context, [&] { return !m_lost.empty(); });
        CPPUNIT_ASSERT(m_lost == std::vector<bool>{false});
        CPPUNIT_ASSERT(!client->isUsable(monotonicNow(), address));
        CPPUNIT_ASSERT(client->isUsable(monotonicNow() + PeerCalls::kRedialDelay, address));
    }

    void call_entryEnds_isLostAndMayHaveBeenSent()
    {
        const HostAddress address = reserveAddress();
        tcp::acceptor acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address(address.address), address.port));
        const auto client = makeClient();
        client->call(monotonicNow(), address, "question", hooks());
        tcp::socket socket(m_context);
        acceptor.accept(socket);
        runUntil(m_context, [&] { return socket.available() > 0; });
        socket.close();
        runUntil(m_context, [&] { return !m_lost.empty(); });
        CPPUNIT_ASSERT(m_lost == std::vector<bool>{true});
    }

    void call_entrySilent_isNotUsedAndThenLost()
    {
        const HostAddress address = reserveAddress();
        tcp::acceptor acceptor(m_context, tcp::endpoint(boost::asio::ip::make_address(address.address), address.port));
        const auto client = makeClient();
        const TimePoint start = monotonicNow();
        client->call(start, address, "question", hooks());
        tcp::socket socket(m_context);
        acceptor.accept(socket);
        runUntil(m_context, [&] { return socket.available() > 0; });
        CPPUNIT_ASSERT(client->isUsable(start, address));
        client->tick(start + 200ms);
        CPPUNIT_ASSERT(!client->isUsable(start + 200ms + PeerCalls::kSuspectAfter, address));
        client->tick(start + 201ms + PeerCalls::kCloseAfter);
        runUntil(m_context, [&] { return !m_lost.empty(); });
        CPPUNIT_ASSERT(m_lost == std::vector<bool>{true});
    }

    void call_cancelled_isCancelledThereAndReplyIsDropped()
    {
        const HostAddress address = reserveAddress();
        const auto server = makeServer(address);
        const auto client = makeClient();
        const PeerCalls::CallId id = client->call(monotonicNow(), address, "question", hooks());
        runUntil(m_context, [&] { return !m_served.empty(); });
        client->cancel(id);
        runUntil(m_context, [&] { return m_cancelled == 1; });
        m_respond("late", true);
        m_context.poll();
        CPPUNIT_ASSERT(m_replies.empty());
        CPPUNIT_ASSERT(m_lost.empty());
    }

    // Otherwise an entry keeps and pings a connection to every entry that it has ever called.
    void connection_unused_isClosed()
    {
        const HostAddress address = reserveAddress();
        const auto server = makeServer(address);
        const auto client = makeClient();
        client->call(monotonicNow(), address, "question", hooks());
        runUntil(m_context, [&] { return !m_served.empty(); });
        m_respond("answer", true);
        runUntil(m_context, [&] { return m_replies.size() == 1; });
        CPPUNIT_ASSERT_EQUAL(size_t(1), client->connections());
        client->tick(monotonicNow() + PeerCalls::kIdleTimeout + 1s);
        CPPUNIT_ASSERT_EQUAL(size_t(0), client->connections());
        client->call(monotonicNow(), address, "next", hooks());
        runUntil(m_context, [&] { return m_served.size() == 2; });
    }

    void call_callerEnds_isCancelledThere()
    {
        const HostAddress address = reserveAddress();
        const auto server = makeServer(address);
        tcp::socket socket(m_context);
        {
            const auto client = makeClient();
            client->call(monotonicNow(), address, "question", hooks());
            runUntil(m_context, [&] { return !m_served.empty(); });
            client->tick(monotonicNow() + 200ms);
            client->tick(monotonicNow() + 201ms + PeerCalls::kCloseAfter);
        }
        runUntil(m_context, [&] { return m_cancelled == 1; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCallsFailureTest);
