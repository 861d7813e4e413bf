#include "process/FrameLink.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MessageCodec.h"
#include "process/ConnectionGuard.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstring>
#include <set>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/** Queue limit of a connection; one whose peer reads too slowly to stay below it is closed. */
constexpr size_t kMaxQueuedBytes = 16ULL * 1024 * 1024;
/** Memory for a message is taken in steps of this size, in bytes. */
constexpr size_t kMaxReadStep = 64UL * 1024;

std::string frame(const PeerMessage &message)
{
    const std::string body = pack(message);
    const auto length = static_cast<uint32_t>(body.size());
    std::string result(sizeof(length), '\0');
    std::memcpy(result.data(), &length, sizeof(length));
    return result + body;
}

} // namespace

FrameLink::FrameLink(tcp::socket socket, Receive receive, Closed closed)
    : m_socket(std::move(socket))
    , m_receive(std::move(receive))
    , m_closed(std::move(closed))
    , m_lastReceiveTime(monotonicNow())
{
}

void FrameLink::start()
{
    m_state = State::Open;
    m_wasOpen = true;
    m_lastReceiveTime = monotonicNow();
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    readLength();
    writeNext();
}

void FrameLink::connect(const HostAddress &address)
{
    m_state = State::Connecting;
    m_socket.async_connect(tcp::endpoint(asio::ip::make_address(address.address), address.port),
                           [self = shared_from_this()](error_code error) {
                               if (self->m_state != State::Connecting)
                                   return;
                               if (error)
                                   self->close();
                               else
                                   self->start();
                           });
}

void FrameLink::send(const PeerMessage &message)
{
    if (m_state == State::Closed)
        return;
    m_queue.push_back(frame(message));
    m_queuedBytes += m_queue.back().size();
    if (m_queuedBytes > kMaxQueuedBytes)
        close();
    else
        writeNext();
}

void FrameLink::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    error_code ignored;
    m_socket.close(ignored);
    m_receive = nullptr;
    m_held = {};
    // Posted rather than called: the owner may be iterating over its connections, and the callback may
    // change that container.
    asio::post(m_socket.get_executor(), [self = shared_from_this(), closed = std::move(m_closed)] {
        if (closed)
            closed(self);
    });
    m_closed = nullptr;
}

void FrameLink::readLength()
{
    asio::async_read(m_socket, asio::buffer(&m_length, sizeof(m_length)),
                     [self = shared_from_this()](error_code error, size_t) {
                         if (error || self->m_length > kMaxMessageBytes)
                             self->close();
                         else if (self->m_state == State::Open)
                             self->startBody();
                     });
}

void FrameLink::startBody()
{
    m_held = ByteBudget::Share(connectionBytes(), "peer", [weak = weak_from_this()] {
        if (const std::shared_ptr<FrameLink> self = weak.lock())
            asio::post(self->m_socket.get_executor(), [self] { self->close(); });
    });
    readBody();
}

void FrameLink::readBody()
{
    // Memory follows the bytes that arrive and not the stated length, which anyone who connects may choose.
    const size_t have = m_body.size();
    const size_t step = std::min(m_length - have, kMaxReadStep);
    m_body.resize(have + step);
    if (!m_held.resize(m_body.capacity()))
        return close();
    asio::async_read(
        m_socket, asio::buffer(m_body.data() + have, step), [self = shared_from_this()](error_code error, size_t) {
            if (error || self->m_state != State::Open)
                return self->close();
            if (self->m_body.size() < self->m_length)
                return self->readBody();
            std::optional<PeerMessage> message = unpack<PeerMessage>(self->m_body);
            if (!message) {
                HS_LOG(WARNING, LogEvent::MessageUndecodable)
                    << "cannot decode " << self->m_body.size() << " bytes from a peer; closing the connection";
                return self->close();
            }
            // Until the next frame the link needs no memory, and is not the one to close when others do.
            self->m_body = {};
            self->m_held = {};
            self->m_lastReceiveTime = monotonicNow();
            const Receive receive = self->m_receive;
            if (!runGuarded("peer", [&] { receive(self, std::move(*message)); }))
                self->close();
            if (self->m_state == State::Open)
                self->readLength();
        });
}

void FrameLink::writeNext()
{
    if (m_writing || m_queue.empty() || m_state != State::Open)
        return;
    m_writing = true;
    // All queued messages go out in one write.
    auto batch = std::make_shared<std::string>();
    while (!m_queue.empty()) {
        *batch += m_queue.front();
        m_queue.pop_front();
    }
    asio::async_write(m_socket, asio::buffer(*batch), [self = shared_from_this(), batch](error_code error, size_t) {
        self->m_writing = false;
        self->m_queuedBytes -= std::min(self->m_queuedBytes, batch->size());
        if (error)
            self->close();
        else
            self->writeNext();
    });
}

FrameListener::FrameListener(asio::io_context &context, Accepted accepted)
    : m_acceptor(context)
    , m_retryTimer(context)
    , m_accepted(std::move(accepted))
{
}

Result<std::unique_ptr<FrameListener>> FrameListener::listen(asio::io_context &context, const HostAddress &address,
                                                             Accepted accepted)
{
    std::unique_ptr<FrameListener> listener(new FrameListener(context, std::move(accepted)));
    const tcp::endpoint endpoint(asio::ip::make_address(address.address), address.port);
    tcp::acceptor &acceptor = listener->m_acceptor;
    error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return failure(ResultCode::AddressInUse, address.text() + ": " + error.message());
    listener->accept();
    return listener;
}

void FrameListener::accept()
{
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            m_accepted(std::move(socket));
            return accept();
        }
        reportAcceptFailure("peer", error.message());
        m_retryTimer.expires_after(kAcceptRetryDelay);
        m_retryTimer.async_wait([this](error_code) { accept(); });
    });
}

OutgoingLinks::OutgoingLinks(asio::io_context &context, NodeId self, Hooks hooks)
    : m_context(context)
    , m_self(std::move(self))
    , m_hooks(std::move(hooks))
{
}

void OutgoingLinks::setHosts(const std::vector<NodeId> &hosts)
{
    const std::set<NodeId> targets(hosts.begin(), hosts.end());
    for (auto next = m_links.begin(); next != m_links.end();) {
        const auto current = next++;
        if (targets.contains(current->first))
            continue;
        const std::shared_ptr<FrameLink> link = current->second;
        m_links.erase(current);
        if (link)
            link->close();
    }
    for (const NodeId &host : targets)
        if (host != m_self)
            m_links.try_emplace(host);
}

void OutgoingLinks::dial(TimePoint now, const NodeId &host)
{
    const Result<HostAddress> address = parseHostAddress(host.value());
    if (!address || now - m_lastDial[host] < kRedialInterval)
        return;
    m_lastDial[host] = now;
    auto receive = [this, host](const std::shared_ptr<FrameLink> &, PeerMessage message) {
        if (!m_reachable[host]) {
            m_reachable[host] = true;
            HS_LOG(INFO, LogEvent::PeerBack) << "peer=" << host;
        }
        m_hooks.receive(host, std::move(message));
    };
    auto closed = [this, host](const std::shared_ptr<FrameLink> &) {
        if (m_reachable[host]) {
            m_reachable[host] = false;
            HS_LOG(WARNING, LogEvent::PeerSilent) << "peer=" << host;
        }
        if (m_hooks.lost)
            m_hooks.lost(host);
    };
    auto link = std::make_shared<FrameLink>(tcp::socket(m_context), std::move(receive), std::move(closed));
    m_links[host] = link;
    link->connect(*address);
    if (m_hooks.opened)
        m_hooks.opened(host);
}

void OutgoingLinks::tick(TimePoint now)
{
    std::vector<NodeId> toDial;
    for (const auto &[host, link] : m_links) {
        const Duration timeout = link && link->isOpen() ? kReceiveTimeout : kConnectTimeout;
        if (link && !link->isClosed() && now - link->lastReceiveTime() > timeout)
            link->close();
        if (!link || link->isClosed())
            toDial.push_back(host);
    }
    for (const NodeId &host : toDial)
        dial(now, host);
}

bool OutgoingLinks::send(const NodeId &to, PeerMessageType type, std::string payload)
{
    const auto found = m_links.find(to);
    if (found == m_links.end() || !found->second || found->second->isClosed())
        return false;
    PeerMessage message;
    message.type = static_cast<uint8_t>(type);
    message.from = m_self;
    message.payload = std::move(payload);
    found->second->send(message);
    return true;
}

void OutgoingLinks::sendToAll(PeerMessageType type, const std::string &payload)
{
    for (const auto &[host, link] : m_links)
        send(host, type, payload);
}

} // namespace hickoryspur
