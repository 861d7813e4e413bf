// One TCP connection between two of our processes that carries peer messages, each behind its
// length. It belongs to one thread's io_context. Sending never blocks: a peer that does not read
// loses the connection, and whoever needs an answer asks again on the next one. Silence is for the
// owner to judge, by lastReceiveTime(): a connection may be forgotten by something between its ends.
#pragma once

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

    /** Starts reading on a connected socket. */
    void start();
    /** Connects first; what is sent meanwhile waits. */
    void connect(const HostAddress &address);
    void send(const PeerMessage &message);
    void close();
    bool isOpen() const { return m_state == State::Open; }
    bool isClosed() const { return m_state == State::Closed; }
    /** When the last message came, or the connection was begun. */
    TimePoint lastReceiveTime() const { return m_lastReceiveTime; }

private:
    enum class State { New, Connecting, Open, Closed };

    void readLength();
    void readBody(uint32_t length);
    void writeNext();

    boost::asio::ip::tcp::socket m_socket;
    Receive m_receive;
    Closed m_closed;
    State m_state = State::New;
    TimePoint m_lastReceiveTime;
    uint32_t m_length = 0;
    std::string m_body;
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
 * Keeps one outgoing connection to each of a set of hosts: dials again after a failure, and replaces
 * a connection on which nothing has been heard for too long. The peer must answer pings.
 */
class OutgoingLinks
{
public:
    /** A control host answers at least every ping, so this is several missed ones. */
    static constexpr Duration kReceiveTimeout = 1200ms;
    static constexpr Duration kRedialInterval = 150ms;
    /** The opening packet to a host that is down is lost, and is sent again only after a second. */
    static constexpr Duration kConnectTimeout = 250ms;

    struct Hooks
    {
        std::function<void(const NodeId &, PeerMessage)> receive;
        std::function<void(const NodeId &)> opened;
        std::function<void(const NodeId &)> lost;
    };

    OutgoingLinks(boost::asio::io_context &context, NodeId self, Hooks hooks);

    void setHosts(const std::vector<NodeId> &hosts);
    /** Dials, and closes what has gone silent; called several times a second. */
    void tick(TimePoint now);
    /** False where there is no open connection; the message is dropped then. */
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
