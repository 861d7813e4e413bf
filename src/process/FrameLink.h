// A TCP connection between two processes of the deployment that carries length-prefixed peer
// messages. It belongs to the io_context of one thread. Sending never blocks: if the peer does not
// read, the connection is closed, and senders that need an answer resend on the next connection. The
// owner detects a dead connection with lastReceiveTime(), because a device on the path may drop a
// connection without either end noticing.
#pragma once

#include "hickoryspur/process/ByteBudget.h"
#include "hickoryspur/process/PeerMessage.h"
#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hickoryspur {

class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
    using Receive = std::function<void(const std::shared_ptr<FrameLink> &, PeerMessage)>;
    using Closed = std::function<void(const std::shared_ptr<FrameLink> &)>;

    FrameLink(boost::asio::ip::tcp::socket socket, Receive receive, Closed closed);

    /** Starts reading from a connected socket. */
    void start();
    /** Connects and then starts; messages sent before that are queued. */
    void connect(const HostAddress &address);
    /** Queues a message, or drops it if the connection is closed. A queue of more than 16 MiB closes the connection. */
    void send(const PeerMessage &message);
    void close();
    bool isOpen() const { return m_state == State::Open; }
    bool isClosed() const { return m_state == State::Closed; }
    /** Whether the connection was ever open, so that the peer may have received messages. */
    bool wasOpen() const { return m_wasOpen; }
    /** Time of the last message or, before the first one, of the start of the connection. */
    TimePoint lastReceiveTime() const { return m_lastReceiveTime; }

private:
    enum class State { New, Connecting, Open, Closed };

    void readLength();
    void startBody();
    void readBody();
    void writeNext();

    boost::asio::ip::tcp::socket m_socket;
    Receive m_receive;
    Closed m_closed;
    State m_state = State::New;
    bool m_wasOpen = false;
    TimePoint m_lastReceiveTime;
    uint32_t m_length = 0;
    std::string m_body;
    ByteBudget::Share m_held;
    std::deque<std::string> m_queue;
    size_t m_queuedBytes = 0;
    bool m_writing = false;
};

/** Accepts connections from other processes of the deployment. */
class FrameListener
{
public:
    using Accepted = std::function<void(boost::asio::ip::tcp::socket)>;

    static Result<std::unique_ptr<FrameListener>> listen(boost::asio::io_context &context, const HostAddress &address,
                                                         Accepted accepted);

private:
    FrameListener(boost::asio::io_context &context, Accepted accepted);
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    Accepted m_accepted;
};

/**
 * Keeps one outgoing connection to each host of a set. It redials after a failure and replaces a
 * connection on which nothing was received for kReceiveTimeout. The peer must answer pings.
 */
class OutgoingLinks
{
public:
    /** Control hosts answer every ping, so this is several missed answers. */
    static constexpr Duration kReceiveTimeout = 1200ms;
    static constexpr Duration kRedialInterval = 150ms;
    /** A SYN to a host that is down is lost, and TCP retransmits it only after 1 s; dialling again is faster. */
    static constexpr Duration kConnectTimeout = 250ms;

    struct Hooks
    {
        std::function<void(const NodeId &, PeerMessage)> receive;
        /** Called when a host is dialled; messages sent in the hook are queued until the connection is open. */
        std::function<void(const NodeId &)> opened;
        /** Called after a connection was closed, by either side or by a failed connection attempt. */
        std::function<void(const NodeId &)> lost;
    };

    OutgoingLinks(boost::asio::io_context &context, NodeId self, Hooks hooks);

    void setHosts(const std::vector<NodeId> &hosts);
    /** Dials missing connections and closes dead ones; called several times a second. */
    void tick(TimePoint now);
    /** Returns false and drops the message if there is no connection to the host. */
    bool send(const NodeId &to, PeerMessageType type, std::string payload);
    void sendToAll(PeerMessageType type, const std::string &payload);
    const std::map<NodeId, std::shared_ptr<FrameLink>> &links() const { return m_links; }

private:
    void dial(TimePoint now, const NodeId &host);

    boost::asio::io_context &m_context;
    NodeId m_self;
    Hooks m_hooks;
    std::map<NodeId, std::shared_ptr<FrameLink>> m_links;
    std::map<NodeId, TimePoint> m_lastDial;
    std::map<NodeId, bool> m_reachable;
};

} // namespace hickoryspur
