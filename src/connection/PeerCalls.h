// Calls between entries: an entry sends a call to another one, which replies once or several times. Both
// directions use connections of their own, which are opened when the first call needs one and then kept.
//
// A connection may go silent without either end noticing, so an open one is pinged, and one without an
// answer gets no more calls until it has been heard again, and is closed a little later. A call ends as lost
// with its connection; it is then known whether the other entry can have received it.
#pragma once

#include "hickoryspur/process/PeerMessage.h"
#include "process/FrameLink.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace hickoryspur {

/** A call, or one of the replies to it. */
struct PeerCall
{
    /** Unique among the calls of the entry that sends them. */
    uint64_t id = 0;
    std::string payload;
    /** In a reply: no other one follows. */
    bool last = false;
    MSGPACK_DEFINE(id, payload, last)
};

class PeerCalls
{
public:
    /** An idle connection is pinged at this interval. */
    static constexpr Duration kPingInterval = 1s;
    /** A connection that has not answered a ping for so long gets no more calls. */
    static constexpr Duration kSuspectAfter = 300ms;
    /** It is closed after this time, and its calls are lost. */
    static constexpr Duration kCloseAfter = 1200ms;
    static constexpr Duration kConnectTimeout = 250ms;
    /** A connection without a call for so long is closed: the entry may have left, or no longer be preferred. */
    static constexpr Duration kIdleTimeout = 20s;
    /** An entry that could not be reached is not called again for so long. */
    static constexpr Duration kRedialDelay = 500ms;

    using CallId = uint64_t;
    struct CallHooks
    {
        std::function<void(std::string payload, bool last)> reply;
        /** The call has ended without its last reply; `sent` tells whether the other entry may have received it. */
        std::function<void(bool sent)> lost;
    };
    using Respond = std::function<void(std::string payload, bool last)>;
    /** Serves a call; returns what is to be done when it is cancelled, or when its connection ends. */
    using Serve = std::function<std::function<void()>(std::string payload, Respond respond)>;

    PeerCalls(boost::asio::io_context &context, NodeId self, Serve serve);
    ~PeerCalls();
    PeerCalls(const PeerCalls &) = delete;
    PeerCalls &operator=(const PeerCalls &) = delete;

    /** Accepts calls of other entries. */
    Result<void> listen(const HostAddress &address);
    /** Whether a call to the entry is likely to arrive. */
    bool isUsable(TimePoint now, const HostAddress &peer) const;
    /** Sends a call. Exactly one last reply or loss follows unless it is cancelled, never from within call(). */
    CallId call(TimePoint now, const HostAddress &peer, std::string payload, CallHooks hooks);
    /** Forgets a call and tells the other entry to stop working on it. */
    void cancel(CallId id);
    /** Connections to other entries, open or opening. */
    size_t connections() const;
    /** Pings silent connections, and closes dead and unused ones; called several times a second. */
    void tick(TimePoint now);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace hickoryspur
