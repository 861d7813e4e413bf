// One entry's connections to all upstreams, each carrying one request at a time. They are kept warm
// and reused; one whose answer is not exactly the expected one is closed. An answer that belongs to
// another request is dropped and the next one awaited.
#pragma once

#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/Time.h"
#include "hickoryspur/request/Dialect.h"
#include "hickoryspur/request/ReplicaBook.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hickoryspur {

struct UpstreamTarget
{
    UpstreamId id;
    HostAddress address;
    /** Connections that this entry may hold to it. */
    uint32_t connections = 1;
};

struct ExchangeRequest
{
    /** Writes the request when it is sent, which may be some time after it was asked for. */
    std::function<std::string(TimePoint)> encode;
    std::string requestId;
    /** The exchange ends as failed then. */
    TimePoint deadline;
    /** Sent on a connection that cannot have timed out at the upstream: it must not be sent twice. */
    bool fresh = false;
};

struct ExchangeResult
{
    /** Answered, Failed, Unsent or Abandoned; whether an answer is a good one is not judged here. */
    AttemptOutcome outcome = AttemptOutcome::Failed;
    UpstreamAnswer answer;
    /** Why there is no answer. */
    std::string reason;
};

class UpstreamConnections
{
public:
    using Done = std::function<void(ExchangeResult)>;
    using BelongsTo = std::function<bool(const UpstreamAnswer &, const std::string &)>;
    using Handle = uint64_t;

    /** The seed spreads the times at which several entries try again to reach an upstream. */
    UpstreamConnections(boost::asio::io_context &context, BelongsTo belongsTo, uint64_t seed);
    ~UpstreamConnections();
    UpstreamConnections(const UpstreamConnections &) = delete;
    UpstreamConnections &operator=(const UpstreamConnections &) = delete;

    /** done is called later, once, also after abandon(). */
    Handle send(const UpstreamTarget &target, ExchangeRequest request, Done done);
    /** Closes the connection of an exchange that still runs; nobody waits for it any more. */
    void cancel(Handle handle);
    /** Ends an exchange that still waits for a connection; one that has been sent runs on. */
    void cancelIfNotSent(Handle handle);
    /** Opens a first connection, so that the first request need not wait for it. */
    void warm(const UpstreamTarget &target);
    /** An exchange could start at once, on an idle connection or a new one. */
    bool hasRoom(const UpstreamTarget &target) const;
    /** Idle connections to an upstream that is gone are closed; running exchanges end by themselves. */
    void removeUpstream(const UpstreamId &id);
    /** Ends what is over its time, and closes connections that have been idle too long. */
    void tick(TimePoint now);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace hickoryspur
