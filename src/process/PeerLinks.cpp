#include "hickoryspur/process/PeerLinks.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/process/Metrics.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <map>

namespace hickoryspur {

namespace {

constexpr int kSendBufferMessages = 1024;
constexpr nng_duration kMinRedialMs = 50;
constexpr nng_duration kMaxRedialMs = 500;

std::string urlOf(const HostAddress &address)
{
    const bool v6 = address.address.find(':') != std::string::npos;
    return "tcp://" + (v6 ? '[' + address.address + ']' : address.address) + ':' + std::to_string(address.port);
}

struct Link
{
    nng_socket socket{};
    std::atomic<uint32_t> pipe{0};
    std::atomic<int64_t> lastPongMicros{0};
    TimePoint nextPing;
    bool unreachable = false;
};

void onPipe(nng_pipe pipe, nng_pipe_ev event, void *argument)
{
    auto *link = static_cast<Link *>(argument);
    link->pipe.store(event == NNG_PIPE_EV_ADD_POST ? static_cast<uint32_t>(nng_pipe_id(pipe)) : 0);
}

} // namespace

struct PeerLinks::State
{
    NodeId self;
    Receive receive;
    nng_socket inbound{};
    nng_aio *aio = nullptr;
    std::map<NodeId, std::unique_ptr<Link>> links;
    std::atomic<uint64_t> sentBytes{0};

    void onMessage();
    void handle(const std::string &bytes);
    void recordPong(const NodeId &peer);
    void checkReachable(const NodeId &peer, Link &link, TimePoint now);
};

PeerLinks::PeerLinks(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

PeerLinks::~PeerLinks()
{
    nng_aio_stop(m_state->aio);
    nng_close(m_state->inbound);
    for (auto &[peer, link] : m_state->links)
        nng_close(link->socket);
    nng_aio_free(m_state->aio);
}

Result<std::unique_ptr<PeerLinks>> PeerLinks::open(const Settings &settings, Receive receive)
{
    auto state = std::make_unique<State>();
    State *raw = state.get();
    state->self = settings.node;
    state->receive = std::move(receive);
    nng_aio_alloc(
        &state->aio, [](void *argument) { static_cast<State *>(argument)->onMessage(); }, raw);
    nng_pull0_open(&state->inbound);
    nng_socket_set_size(state->inbound, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    const std::string url = urlOf(settings.self().peerAddress);
    const int status = nng_listen(state->inbound, url.c_str(), nullptr, 0);
    if (status != 0)
        return failure(ResultCode::AddressInUse, url + ": " + nng_strerror(status));
    for (const NodeSettings &node : settings.nodes) {
        if (node.name == settings.node)
            continue;
        auto link = std::make_unique<Link>();
        nng_push0_open(&link->socket);
        nng_socket_set_int(link->socket, NNG_OPT_SENDBUF, kSendBufferMessages);
        nng_socket_set_ms(link->socket, NNG_OPT_RECONNMINT, kMinRedialMs);
        nng_socket_set_ms(link->socket, NNG_OPT_RECONNMAXT, kMaxRedialMs);
        nng_pipe_notify(link->socket, NNG_PIPE_EV_ADD_POST, onPipe, link.get());
        nng_pipe_notify(link->socket, NNG_PIPE_EV_REM_POST, onPipe, link.get());
        nng_dial(link->socket, urlOf(node.peerAddress).c_str(), nullptr, NNG_FLAG_NONBLOCK);
        link->lastPongMicros.store(monotonicNow().time_since_epoch().count());
        state->links.emplace(node.name, std::move(link));
    }
    nng_recv_aio(state->inbound, state->aio);
    return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(state)));
}

void PeerLinks::State::onMessage()
{
    if (nng_aio_result(aio) != 0) {
        if (nng_aio_result(aio) != NNG_ECLOSED && nng_aio_result(aio) != NNG_ECANCELED)
            nng_recv_aio(inbound, aio);
        return;
    }
    nng_msg *message = nng_aio_get_msg(aio);
    const std::string bytes(static_cast<const char *>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    handle(bytes);
    nng_recv_aio(inbound, aio);
}

void PeerLinks::State::handle(const std::string &bytes)
{
    static Counter &undecodable = Metrics::counter("hickoryspur_peer_messages_undecodable_total");
    std::optional<PeerMessage> message = unpack<PeerMessage>(bytes);
    if (!message) {
        undecodable.add();
        HS_LOG(WARNING, LogEvent::MessageUndecodable)
            << "dropped a message of " << bytes.size() << " bytes that cannot be decoded";
        return;
    }
    if (message->kind() == PeerMessageType::Pong)
        recordPong(message->from);
    else
        receive(std::move(*message));
}

void PeerLinks::State::recordPong(const NodeId &peer)
{
    const auto found = links.find(peer);
    if (found != links.end())
        found->second->lastPongMicros.store(monotonicNow().time_since_epoch().count());
}

void PeerLinks::send(const NodeId &to, PeerMessageType type, const std::string &payload, uint32_t thread)
{
    PeerMessage message;
    message.type = static_cast<uint8_t>(type);
    message.from = m_state->self;
    message.thread = thread;
    message.payload = payload;
    if (to == m_state->self) {
        m_state->receive(std::move(message));
        return;
    }
    const auto found = m_state->links.find(to);
    if (found == m_state->links.end())
        return;
    const std::string bytes = pack(message);
    static Counter &dropped = Metrics::counter("hickoryspur_peer_messages_dropped_total");
    if (nng_send(found->second->socket, const_cast<char *>(bytes.data()), bytes.size(), NNG_FLAG_NONBLOCK) != 0)
        dropped.add();
    else
        m_state->sentBytes.fetch_add(bytes.size(), std::memory_order_relaxed);
}

void PeerLinks::tick(TimePoint now)
{
    for (auto &[peer, link] : m_state->links) {
        if (now < link->nextPing)
            continue;
        link->nextPing = now + kPingInterval;
        send(peer, PeerMessageType::Ping, "");
        m_state->checkReachable(peer, *link, now);
    }
}

void PeerLinks::State::checkReachable(const NodeId &peer, Link &link, TimePoint now)
{
    const TimePoint last{Duration(link.lastPongMicros.load())};
    const bool unreachable = now - last > kPongTimeout;
    if (unreachable && !link.unreachable)
        HS_LOG(WARNING, LogEvent::PeerSilent) << "no pong from " << peer << " for 1 s; reconnecting";
    if (!unreachable && link.unreachable)
        HS_LOG(INFO, LogEvent::PeerBack) << peer << " answers again";
    link.unreachable = unreachable;
    const uint32_t pipe = link.pipe.load();
    // A connection that a device on the path has dropped can stay open here forever; a new one may work.
    if (unreachable && pipe != 0) {
        nng_pipe stale;
        stale.id = pipe;
        nng_pipe_close(stale);
    }
}

bool PeerLinks::isAlive(const NodeId &peer) const
{
    if (peer == m_state->self)
        return true;
    const auto found = m_state->links.find(peer);
    if (found == m_state->links.end())
        return false;
    return monotonicNow() - TimePoint(Duration(found->second->lastPongMicros.load())) <= kPongTimeout;
}

uint64_t PeerLinks::sentBytes() const
{
    return m_state->sentBytes.load(std::memory_order_relaxed);
}

} // namespace hickoryspur
