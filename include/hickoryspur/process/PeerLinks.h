// Connections to the other nodes over nng: one listening pull socket, and one push socket for each
// peer. Pings distinguish a dead connection from an idle one: when a peer's pongs stop, its pipe is closed
// and nng dials a new connection. Sending never blocks. If the connection is down or its buffer is
// full, the message is dropped; senders that need an answer resend.
#pragma once

#include "hickoryspur/process/PeerMessage.h"
#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/Time.h"

#include <functional>
#include <memory>

namespace hickoryspur {

class PeerLinks
{
public:
    using Receive = std::function<void(PeerMessage)>;

    static constexpr Duration kPingInterval = 250ms;
    /** A peer without a pong for this long is considered unreachable. */
    static constexpr Duration kPongTimeout = 1s;

    /** @param receive Called on an nng thread; must only queue the message. */
    static Result<std::unique_ptr<PeerLinks>> open(const Settings &settings, Receive receive);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /**
     * Thread-safe. A message to the node itself is delivered directly.
     * @param thread Index of the receiving traffic thread, for Forward and Reply.
     */
    void send(const NodeId &to, PeerMessageType type, const std::string &payload, uint32_t thread = 0);
    /** Sends pings and replaces connections without pongs. Only the control thread calls this, on every tick. */
    void tick(TimePoint now);
    /** True for this node itself, and for a peer whose last pong is at most kPongTimeout old. */
    bool isAlive(const NodeId &peer) const;
    /** Number of bytes passed to nng so far; excludes messages of the node to itself. */
    uint64_t sentBytes() const;

private:
    struct State;
    explicit PeerLinks(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hickoryspur
