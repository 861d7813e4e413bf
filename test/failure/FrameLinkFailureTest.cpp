// Guards a process against what connects to its internal port and is not one of its peers.
#include "fakes/RunUntil.h"
#include "hickoryspur/process/ByteBudget.h"
#include "process/ConnectionGuard.h"
#include "process/FrameLink.h"

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

using namespace hickoryspur;

class FrameLinkFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FrameLinkFailureTest);
    CPPUNIT_TEST(link_longFrameStatedAndNothingSent_reservesOneStep);
    CPPUNIT_TEST(link_longFrame_isReceivedWhole);
    CPPUNIT_TEST(link_longFrameReceived_holdsNoMemoryUntilTheNext);
    CPPUNIT_TEST(link_receiverThrows_onlyTheLinkEnds);
    CPPUNIT_TEST_SUITE_END();

    using tcp = boost::asio::ip::tcp;

    static constexpr uint32_t kStatedBytes = 60U * 1024 * 1024;
    static constexpr size_t kMaxReservedBytes = 1024UL * 1024;

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};

    std::shared_ptr<FrameLink> accept(tcp::socket &peer, FrameLink::Receive receive, bool &closed)
    {
        peer.connect(m_acceptor.local_endpoint());
        auto link = std::make_shared<FrameLink>(m_acceptor.accept(), std::move(receive),
                                                [&closed](const std::shared_ptr<FrameLink> &) { closed = true; });
        link->start();
        return link;
    }

public:
    void link_longFrameStatedAndNothingSent_reservesOneStep()
    {
        bool closed = false;
        tcp::socket peer(m_context);
        const size_t before = connectionBytes().heldBytes();
        const auto link = accept(
            peer, [](const auto &, const PeerMessage &) {}, closed);
        boost::asio::write(peer, boost::asio::buffer(&kStatedBytes, sizeof(kStatedBytes)));
        runUntil(m_context, [&] { return connectionBytes().heldBytes() > before; });
        CPPUNIT_ASSERT(connectionBytes().heldBytes() - before < kMaxReservedBytes);
        link->close();
        runUntil(m_context, [&] { return closed; });
        CPPUNIT_ASSERT_EQUAL(before, connectionBytes().heldBytes());
    }

    void link_longFrame_isReceivedWhole()
    {
        const std::string payload(3UL * 1024 * 1024, 'x');
        bool closed = false;
        std::string received;
        tcp::socket peer(m_context);
        const auto link = accept(
            peer, [&](const auto &, const PeerMessage &message) { received = message.payload; }, closed);
        bool senderClosed = false;
        const auto sender = std::make_shared<FrameLink>(
            std::move(peer), [](const auto &, const PeerMessage &) {}, [&](const auto &) { senderClosed = true; });
        sender->start();
        PeerMessage message;
        message.payload = payload;
        sender->send(message);
        runUntil(m_context, [&] { return !received.empty(); });
        CPPUNIT_ASSERT(received == payload);
        link->close();
        runUntil(m_context, [&] { return closed && senderClosed; });
    }

    // Guards a peer's idle link: counted as the largest holder, it was closed when another connection needed the
    // memory.
    void link_longFrameReceived_holdsNoMemoryUntilTheNext()
    {
        const size_t before = connectionBytes().heldBytes();
        bool closed = false;
        bool received = false;
        tcp::socket peer(m_context);
        const auto link = accept(
            peer, [&](const auto &, const PeerMessage &) { received = true; }, closed);
        bool senderClosed = false;
        const auto sender = std::make_shared<FrameLink>(
            std::move(peer), [](const auto &, const PeerMessage &) {}, [&](const auto &) { senderClosed = true; });
        sender->start();
        PeerMessage message;
        message.payload = std::string(3UL * 1024 * 1024, 'x');
        sender->send(message);
        runUntil(m_context, [&] { return received; });
        CPPUNIT_ASSERT_EQUAL(before, connectionBytes().heldBytes());
        link->close();
        runUntil(m_context, [&] { return closed && senderClosed; });
    }

    void link_receiverThrows_onlyTheLinkEnds()
    {
        const int64_t exceptions = connectionExceptions();
        bool closed = false;
        tcp::socket peer(m_context);
        const auto link = accept(
            peer, [](const auto &, const PeerMessage &) { throw std::length_error("too long"); }, closed);
        bool senderClosed = false;
        const auto sender = std::make_shared<FrameLink>(
            std::move(peer), [](const auto &, const PeerMessage &) {}, [&](const auto &) { senderClosed = true; });
        sender->start();
        sender->send(PeerMessage());
        runUntil(m_context, [&] { return closed && senderClosed; });
        CPPUNIT_ASSERT_EQUAL(exceptions + 1, connectionExceptions());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameLinkFailureTest);
