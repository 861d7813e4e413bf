// Carries messages to the other nodes over nng: one listening pull socket, and for each peer one
// push socket. Pings tell a silent connection from a quiet one: when a peer's answers stop, its pipe
// is closed and a new connection is dialled. Sending never blocks; a full or missing connection
// drops the message, and whoever needs an answer asks again.
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
    /** A peer whose answers have been missing this long is silent. */
    static constexpr Duration kPongTimeout = 1s;

    /** receive is called on a thread of nng's and must only hand the message on. */
    static Result<std::unique_ptr<PeerLinks>> open(const Settings &settings, Receive receive);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /** May be called from any thread; the node's own name loops back. */
    void send(const NodeId &to, PeerMessageType type, const std::string &payload, uint32_t thread = 0);
    /** Sends pings and replaces silent connections; called often by the control thread alone. */
    void tick(TimePoint now);
    /** False while the peer's answers are missing. */
    bool isAlive(const NodeId &peer) const;
    uint64_t sentBytes() const;

private:
    struct State;
    explicit PeerLinks(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hickoryspur
