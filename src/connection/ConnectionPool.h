// The connections to one upstream, and the exchanges that wait for one.
#pragma once

#include "connection/ConnectionReport.h"
#include "connection/UpstreamConnection.h"
#include "hickoryspur/connection/ReconnectBackoff.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace hickoryspur {

/** The connections to one upstream, and the exchanges that wait for one. */
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    /**
     * Upper bound, for each connection that this entry may open, on the body bytes of requests that are written or
     * being written and not yet answered; the connections of a pool share the sum. It equals the default limit of a
     * request body, so requests within that limit do not wait for it. A body larger than the sum is sent only while no
     * other counted body is held. Entries divide the upstream's connections, so their bounds add up to one for the
     * upstream.
     */
    static constexpr size_t kHeldBytesPerConnection = 256UL * 1024;
    /** Bodies up to this size are not counted, as in ByteBudget: the number of connections bounds them. */
    static constexpr size_t kUncountedBodyBytes = ByteBudget::kUncountedBytes;

    /** Whether the answer is the one to the request with this id. */
    using BelongsTo = std::function<bool(const UpstreamAnswer &, const std::string &)>;

    /** Called when a connection to the upstream has been opened, or could not be opened. */
    using Connected = std::function<void(const UpstreamId &, bool opened)>;

    ConnectionPool(boost::asio::io_context &context, const UpstreamTarget &target, BelongsTo belongsTo,
                   Connected connected, uint64_t seed)
        : m_context(context)
        , m_target(target)
        , m_belongsTo(std::move(belongsTo))
        , m_connected(std::move(connected))
        , m_backoff(seed)
    {
    }

    /** Sets how many connections there may be, and whether idle ones are kept. */
    void setLimits(const UpstreamTarget &target);
    const HostAddress &address() const { return m_target.address; }
    void send(Exchange exchange);
    /** Opens a connection if there is none and the backoff allows an attempt. */
    void warm();
    /** A connection was opened, or could not be; an upstream at its limit opens it and closes it again. */
    void reportConnected(bool opened) const { m_connected(m_target.id, opened); }
    void recordConnected() { m_backoff.recordSuccess(); }
    void onConnectionIdle();
    void onConnectFailure(const std::string &reason);
    void cancel(ExchangeHandle handle);
    /** Returns false if the exchange does not wait for a connection. */
    bool cancelIfNotSent(ExchangeHandle handle);
    /** Ends the waiting exchanges that may not start any more as Withheld. */
    void withdrawUnusable();
    void tick(TimePoint now);
    void closeIdle();
    bool hasRoom() const;
    /** Whether the upstream may be sent a body of this size besides what it holds; see kHeldBytesPerConnection. */
    bool hasRoomFor(size_t bodyBytes) const;
    /** Like hasRoom(), but also counts the exchanges that are about to be sent here; see expect(). */
    bool hasRoomBesidesExpected() const;
    /** An exchange has been posted for send(). */
    void expect() { ++m_expected; }
    bool hasWaiting() const { return !m_waiting.empty(); }
    size_t size() const { return m_connections.size(); }
    /** Sets whether the pool is dropped once nothing uses it; until then it goes on with what it has begun. */
    void setRetired(bool retired) { m_retired = retired; }
    /** Retired, without connections and without exchanges that wait for one. */
    bool hasEnded() const { return m_retired && m_connections.empty() && m_waiting.empty(); }
    bool belongsTo(const UpstreamAnswer &answer, const std::string &id) const { return m_belongsTo(answer, id); }

private:
    /** Opens a connection if the limit allows; the event says what for. */
    void open(ConnectionEvent purpose);
    std::shared_ptr<UpstreamConnection> findIdle(TimePoint now, bool fresh);
    /** Ends all exchanges that wait for a connection. */
    void endWaiting(AttemptOutcome outcome, const std::string &reason);
    void startWaiting();
    /** Ends the waiting exchanges whose deadline has passed. */
    void endOverdue(TimePoint now);
    void addWaiting(Exchange exchange);
    /** Busy and opening connections, and the exchanges that wait for one. */
    size_t load() const;
    /** Counted body bytes of the running requests. */
    size_t heldBytes() const;
    /** Whether a request with this body may not be sent yet, though there may be a connection. */
    bool mustWaitForBytes(size_t bodyBytes) const;
    /** The waiting exchanges that may be sent once there is a connection. */
    std::vector<ExchangeHandle> sendable() const;
    /** Opens a connection, within the limit, if more requests wait than connections are being opened. */
    void openForWaiting();
    void dropClosed();

    boost::asio::io_context &m_context;
    UpstreamTarget m_target;
    BelongsTo m_belongsTo;
    Connected m_connected;
    std::vector<std::shared_ptr<UpstreamConnection>> m_connections;
    /** By priority, then in order of arrival. */
    std::deque<Exchange> m_waiting;
    /** Exchanges that are posted for send() and have not arrived. */
    size_t m_expected = 0;
    ReconnectBackoff m_backoff;
    bool m_retired = false;
};

} // namespace hickoryspur
