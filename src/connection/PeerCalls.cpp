#include "connection/PeerCalls.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MessageCodec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <vector>

namespace hickoryspur {

namespace {

/** A call that has not been replied to for so long is followed by a ping. */
constexpr Duration kPingAfterCall = 100ms;
/** Entries ping the connections that they have opened; one without any message for so long is dead. */
constexpr Duration kServedTimeout = 5s;

using Link = std::shared_ptr<FrameLink>;

struct RunningCall
{
    std::string peer;
    Link link;
    PeerCalls::CallHooks hooks;
};

/** The connection to an entry that is called. */
struct Peer
{
    Link link;
    TimePoint dialledAt;
    TimePoint lastCallAt;
    /** When the first call was sent since the entry was last heard; unset if none was. */
    std::optional<TimePoint> calledSince;
    /** When the last ping was sent that has not been answered; unset if none waits for an answer. */
    std::optional<TimePoint> waitsSince;
    /** The last connection ended before it was open. */
    bool unreachable = false;
};

/** What this entry does for others over one accepted connection: how to cancel each call, by its id. */
struct Served
{
    Link link;
    std::map<uint64_t, std::function<void()>> cancels;
};

} // namespace

struct PeerCalls::State : std::enable_shared_from_this<State>
{
    State(boost::asio::io_context &ioContext, NodeId nodeId, Serve serveCall)
        : context(ioContext)
        , self(std::move(nodeId))
        , serve(std::move(serveCall))
    {
    }

    boost::asio::io_context &context;
    NodeId self;
    Serve serve;
    std::unique_ptr<FrameListener> listener;
    std::map<std::string, Peer> peers;
    std::map<CallId, RunningCall> running;
    std::map<FrameLink *, Served> served;
    CallId nextId = 1;

    void send(const Link &link, PeerMessageType type, std::string payload) const;
    Peer &dial(TimePoint now, const HostAddress &address);
    void onReply(const std::string &peer, const PeerMessage &message);
    void onLinkClosed(const std::string &peer, const Link &link);
    void endCalls(const Link &link);
    void accept(boost::asio::ip::tcp::socket socket);
    void onCall(const Link &link, const PeerMessage &message);
    void onServedLinkClosed(const Link &link);
    void startServing(const Link &link, PeerCall call);
    void check(TimePoint now, Peer &peer) const;
    void closeUnused(TimePoint now);
    void closeSilentServed(TimePoint now) const;
};

void PeerCalls::State::send(const Link &link, PeerMessageType type, std::string payload) const
{
    PeerMessage message;
    message.type = static_cast<uint8_t>(type);
    message.from = self;
    message.payload = std::move(payload);
    link->send(message);
}

Peer &PeerCalls::State::dial(TimePoint now, const HostAddress &address)
{
    const std::string name = address.text();
    Peer &peer = peers[name];
    if (peer.link && !peer.link->isClosed())
        return peer;
    const std::weak_ptr<State> weak = weak_from_this();
    peer.link = std::make_shared<FrameLink>(
        boost::asio::ip::tcp::socket(context),
        [weak, name](const Link &, const PeerMessage &message) {
            if (const std::shared_ptr<State> state = weak.lock())
                state->onReply(name, message);
        },
        [weak, name](const Link &link) {
            if (const std::shared_ptr<State> state = weak.lock())
                state->onLinkClosed(name, link);
        });
    peer.dialledAt = now;
    peer.waitsSince.reset();
    peer.calledSince.reset();
    peer.link->connect(address);
    return peer;
}

void PeerCalls::State::onReply(const std::string &peer, const PeerMessage &message)
{
    const auto peerFound = peers.find(peer);
    if (peerFound == peers.end())
        return;
    Peer &from = peerFound->second;
    from.waitsSince.reset();
    from.calledSince.reset();
    if (from.unreachable)
        HS_LOG(INFO, LogEvent::PeerBack) << "peer=" << peer;
    from.unreachable = false;
    if (message.kind() != PeerMessageType::CallReply)
        return;
    std::optional<PeerCall> reply = unpack<PeerCall>(message.payload);
    if (!reply) {
        HS_LOG(WARNING, LogEvent::MessageUndecodable) << "a reply from " << peer << " cannot be decoded; dropped";
        return;
    }
    const auto found = running.find(reply->id);
    // A reply to a call that was cancelled meanwhile.
    if (found == running.end())
        return;
    const CallHooks hooks = found->second.hooks;
    if (reply->last)
        running.erase(found);
    hooks.reply(std::move(reply->payload), reply->last);
}

void PeerCalls::State::onLinkClosed(const std::string &peer, const Link &link)
{
    const auto found = peers.find(peer);
    if (found != peers.end() && found->second.link == link) {
        Peer &from = found->second;
        if (!from.unreachable)
            HS_LOG(WARNING, LogEvent::PeerSilent) << "peer=" << peer;
        from.unreachable = true;
        from.waitsSince.reset();
    }
    endCalls(link);
}

void PeerCalls::State::endCalls(const Link &link)
{
    std::vector<CallHooks> lost;
    for (auto next = running.begin(); next != running.end();) {
        const auto current = next++;
        if (current->second.link != link)
            continue;
        lost.push_back(std::move(current->second.hooks));
        running.erase(current);
    }
    for (const CallHooks &hooks : lost)
        hooks.lost(link->wasOpen());
}

void PeerCalls::State::accept(boost::asio::ip::tcp::socket socket)
{
    const std::weak_ptr<State> weak = weak_from_this();
    auto link = std::make_shared<FrameLink>(
        std::move(socket),
        [weak](const Link &from, const PeerMessage &message) {
            if (const std::shared_ptr<State> state = weak.lock())
                state->onCall(from, message);
        },
        [weak](const Link &from) {
            if (const std::shared_ptr<State> state = weak.lock())
                state->onServedLinkClosed(from);
        });
    served[link.get()].link = link;
    link->start();
}

void PeerCalls::State::onCall(const Link &link, const PeerMessage &message)
{
    if (message.kind() == PeerMessageType::Ping)
        return send(link, PeerMessageType::Pong, "");
    std::optional<PeerCall> call = unpack<PeerCall>(message.payload);
    if (!call) {
        HS_LOG(WARNING, LogEvent::MessageUndecodable)
            << "a call from " << message.from << " cannot be decoded; dropped";
        return;
    }
    if (message.kind() == PeerMessageType::Call)
        return startServing(link, std::move(*call));
    if (message.kind() != PeerMessageType::CallCancel)
        return;
    std::map<uint64_t, std::function<void()>> &cancels = served[link.get()].cancels;
    const auto found = cancels.find(call->id);
    if (found == cancels.end())
        return;
    const std::function<void()> cancel = std::move(found->second);
    cancels.erase(found);
    cancel();
}

void PeerCalls::State::startServing(const Link &link, PeerCall call)
{
    const std::weak_ptr<State> weak = weak_from_this();
    const uint64_t id = call.id;
    // Replaced below unless the call has ended by then.
    served[link.get()].cancels[id] = [] {};
    std::function<void()> cancel = serve(std::move(call.payload), [weak, link, id](std::string payload, bool last) {
        const std::shared_ptr<State> state = weak.lock();
        if (!state)
            return;
        const auto from = state->served.find(link.get());
        if (from == state->served.end() || !from->second.cancels.contains(id))
            return;
        if (last)
            from->second.cancels.erase(id);
        state->send(link, PeerMessageType::CallReply, pack(PeerCall{id, std::move(payload), last}));
    });
    const auto from = served.find(link.get());
    if (from != served.end() && from->second.cancels.contains(id))
        from->second.cancels[id] = std::move(cancel);
}

void PeerCalls::State::onServedLinkClosed(const Link &link)
{
    const auto found = served.find(link.get());
    if (found == served.end())
        return;
    const std::map<uint64_t, std::function<void()>> cancels = std::move(found->second.cancels);
    served.erase(found);
    for (const auto &[id, cancel] : cancels)
        cancel();
}

void PeerCalls::State::check(TimePoint now, Peer &peer) const
{
    if (!peer.link || peer.link->isClosed())
        return;
    if (!peer.link->isOpen()) {
        if (now - peer.dialledAt > kConnectTimeout)
            peer.link->close();
        return;
    }
    if (peer.waitsSince) {
        if (now - *peer.waitsSince > kCloseAfter)
            peer.link->close();
        return;
    }
    const bool isQuiet = now - peer.link->lastReceiveTime() > kPingInterval;
    const bool awaitsReply = peer.calledSince && now - *peer.calledSince > kPingAfterCall;
    if (!isQuiet && !awaitsReply)
        return;
    peer.waitsSince = now;
    send(peer.link, PeerMessageType::Ping, "");
}

void PeerCalls::State::closeUnused(TimePoint now)
{
    std::vector<Link> unused;
    for (auto next = peers.begin(); next != peers.end();) {
        const auto current = next++;
        if (now - current->second.lastCallAt <= kIdleTimeout)
            continue;
        unused.push_back(current->second.link);
        peers.erase(current);
    }
    for (const Link &link : unused)
        if (link)
            link->close();
}

void PeerCalls::State::closeSilentServed(TimePoint now) const
{
    for (const auto &[key, from] : served)
        if (now - from.link->lastReceiveTime() > kServedTimeout)
            from.link->close();
}

PeerCalls::PeerCalls(boost::asio::io_context &context, NodeId self, Serve serve)
    : m_state(std::make_shared<State>(context, std::move(self), std::move(serve)))
{
}

PeerCalls::~PeerCalls() = default;

Result<void> PeerCalls::listen(const HostAddress &address)
{
    auto listener =
        FrameListener::listen(m_state->context, address, [state = m_state.get()](boost::asio::ip::tcp::socket socket) {
            state->accept(std::move(socket));
        });
    if (!listener)
        return tl::unexpected(listener.error());
    m_state->listener = std::move(*listener);
    return {};
}

bool PeerCalls::isUsable(TimePoint now, const HostAddress &peer) const
{
    const auto found = m_state->peers.find(peer.text());
    if (found == m_state->peers.end())
        return true;
    const Peer &state = found->second;
    if (state.unreachable && now - state.dialledAt < kRedialDelay)
        return false;
    return !state.waitsSince || now - *state.waitsSince < kSuspectAfter;
}

PeerCalls::CallId PeerCalls::call(TimePoint now, const HostAddress &peer, std::string payload, CallHooks hooks)
{
    Peer &to = m_state->dial(now, peer);
    to.lastCallAt = now;
    if (!to.calledSince)
        to.calledSince = now;
    const CallId id = m_state->nextId++;
    m_state->running[id] = {peer.text(), to.link, std::move(hooks)};
    m_state->send(to.link, PeerMessageType::Call, pack(PeerCall{id, std::move(payload), false}));
    return id;
}

void PeerCalls::cancel(CallId id)
{
    const auto found = m_state->running.find(id);
    if (found == m_state->running.end())
        return;
    const Link link = found->second.link;
    m_state->running.erase(found);
    m_state->send(link, PeerMessageType::CallCancel, pack(PeerCall{id, "", true}));
}

size_t PeerCalls::connections() const
{
    return static_cast<size_t>(std::count_if(m_state->peers.begin(), m_state->peers.end(), [](const auto &item) {
        return item.second.link && !item.second.link->isClosed();
    }));
}

void PeerCalls::tick(TimePoint now)
{
    m_state->closeUnused(now);
    for (auto &[name, peer] : m_state->peers)
        m_state->check(now, peer);
    m_state->closeSilentServed(now);
}

} // namespace hickoryspur
