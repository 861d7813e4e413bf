// One entry's pools of HTTP connections to the upstreams. It finds the pool of an upstream and of a
// running exchange, and drives all pools by the clock.
#pragma once

#include "connection/ConnectionPool.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace hickoryspur {

class UpstreamConnections
{
public:
    using Done = std::function<void(ExchangeResult)>;
    using BelongsTo = ConnectionPool::BelongsTo;
    using Connected = ConnectionPool::Connected;
    using Handle = ExchangeHandle;

    /** The seed of the reconnection jitter; entries with different seeds reconnect at different times. */
    UpstreamConnections(
        boost::asio::io_context &context, BelongsTo belongsTo, uint64_t seed,
        Connected connected = [](const UpstreamId &, bool) {});
    ~UpstreamConnections();
    UpstreamConnections(const UpstreamConnections &) = delete;
    UpstreamConnections &operator=(const UpstreamConnections &) = delete;

    /** Calls done exactly once, also after cancel(), and never from within send(). */
    Handle send(const UpstreamTarget &target, ExchangeRequest request, Done done);
    /** Ends an exchange as Cancelled. If its request has been sent, the connection is closed. */
    void cancel(Handle handle);
    /** Ends an exchange that still waits for a connection; returns false if its request has been sent, and continues.
     */
    bool cancelIfNotSent(Handle handle);
    /** Ends the waiting exchanges that may not start any more as Withheld; sent ones continue. */
    void withdrawUnusable();
    /** Opens a connection if there is none, unless the reconnection backoff forbids it. */
    void warm(const UpstreamTarget &target);
    /** Whether an exchange with a body of this size could start without waiting for another one to end. */
    bool hasRoom(const UpstreamId &id, size_t bodyBytes = 0) const;
    /** Like hasRoom(), but also counts what send() has taken in this turn of the loop and the pool does not know yet.
     */
    bool hasRoomBesidesPosted(const UpstreamId &id) const;
    /** Closes all idle connections; running exchanges continue. */
    void closeIdle();
    /** Closes the idle connections to an upstream that leaves or is gone; running exchanges continue. */
    void removeUpstream(const UpstreamId &id);
    /** Ends exchanges that are past their deadline and connection attempts that time out. */
    void tick(TimePoint now);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace hickoryspur
