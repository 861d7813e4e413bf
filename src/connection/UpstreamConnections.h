// One entry's pools of HTTP connections to the upstreams. A connection carries one request at a time and
// is reused. It is closed when its answer is incomplete or is followed by unexpected bytes. An answer
// that belongs to another request is dropped, and the next answer on the connection is awaited.
#pragma once

#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/Time.h"
#include "hickoryspur/request/ReplicaTracker.h"
#include "hickoryspur/request/RequestCodec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hickoryspur {

struct UpstreamTarget
{
    UpstreamId id;
    HostAddress address;
    /** Maximum number of connections that this entry opens to the upstream. */
    uint32_t connections = 1;
};

struct ExchangeRequest
{
    /** Encodes the request at the time of sending, which may be later than send() if it waits for a connection. */
    std::function<std::string(TimePoint)> encode;
    std::string requestId;
    /** An exchange without an answer ends then: NoResponse if it was sent, NotSent otherwise. */
    TimePoint deadline;
    /**
     * Set for a request that must not be sent twice: it uses only a new or recently used connection, which
     * the upstream cannot have closed for idleness.
     */
    bool fresh = false;
};

struct ExchangeResult
{
    /** Answered, Failed, NotSent, Withheld, NoResponse or Cancelled; Answered says nothing about the answer's status.
     */
    AttemptOutcome outcome = AttemptOutcome::Failed;
    UpstreamAnswer answer;
    /** Why there is no answer; empty if there is one. */
    std::string reason;
};

class UpstreamConnections
{
public:
    using Done = std::function<void(ExchangeResult)>;
    /** Whether the answer is the one to the request with this id. */
    using BelongsTo = std::function<bool(const UpstreamAnswer &, const std::string &)>;
    using Handle = uint64_t;

    /** The seed of the reconnection jitter; entries with different seeds reconnect at different times. */
    UpstreamConnections(boost::asio::io_context &context, BelongsTo belongsTo, uint64_t seed);
    ~UpstreamConnections();
    UpstreamConnections(const UpstreamConnections &) = delete;
    UpstreamConnections &operator=(const UpstreamConnections &) = delete;

    /** Calls done exactly once, also after cancel(), and never from within send(). */
    Handle send(const UpstreamTarget &target, ExchangeRequest request, Done done);
    /** Ends an exchange as Cancelled. If its request has been sent, the connection is closed. */
    void cancel(Handle handle);
    /** Ends an exchange that still waits for a connection; one whose request has been sent continues. */
    void cancelIfNotSent(Handle handle);
    /** Ends the exchanges that wait for a connection to this upstream as Withheld; sent ones continue. */
    void withdrawWaiting(const UpstreamId &id);
    /** Opens a connection if there is none, unless the reconnection backoff forbids it. */
    void warm(const UpstreamTarget &target);
    /** Whether an exchange could start without waiting for another one to end. */
    bool hasRoom(const UpstreamTarget &target) const;
    /** Closes the idle connections to an upstream that is gone; running exchanges continue. */
    void removeUpstream(const UpstreamId &id);
    /** Ends exchanges that are past their deadline and connection attempts that time out. */
    void tick(TimePoint now);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace hickoryspur
