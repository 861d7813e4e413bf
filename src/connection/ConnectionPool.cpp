#include "connection/ConnectionPool.h"

#include "connection/ConnectionReport.h"
#include "hickoryspur/process/Metrics.h"

#include <algorithm>
#include <iterator>

namespace hickoryspur {

namespace {

/** Connecting takes milliseconds; an upstream that takes longer is unreachable or overloaded. */
constexpr Duration kConnectTimeout = 400ms;
/** A request that must not be sent twice uses only a connection that has been idle for less than this. */
constexpr Duration kMaxFreshIdleTime = 1s;

bool isCounted(size_t bodyBytes)
{
    return bodyBytes > ConnectionPool::kUncountedBodyBytes;
}

void withhold(const Exchange &exchange)
{
    static Counter &withheld = Metrics::counter("hickoryspur_sub_requests_withheld_total");
    withheld.add();
    exchange.done({AttemptOutcome::Withheld, {}, "the upstream may not be used any more"});
}

} // namespace

void ConnectionPool::setLimits(const UpstreamTarget &target)
{
    m_target.connections = std::max<uint32_t>(1, target.connections);
    m_target.keepsIdle = target.keepsIdle;
}

std::shared_ptr<UpstreamConnection> ConnectionPool::findIdle(TimePoint now, bool fresh)
{
    // The most recently used connection is the least likely to have been closed, and unused ones can expire.
    std::shared_ptr<UpstreamConnection> latest;
    for (const std::shared_ptr<UpstreamConnection> &connection : m_connections) {
        if (!connection->isIdle() || connection->isNearIdleTimeout(now)
            || (fresh && now - connection->stateSince() > kMaxFreshIdleTime))
            continue;
        if (!latest || connection->stateSince() > latest->stateSince())
            latest = connection;
    }
    return latest;
}

void ConnectionPool::dropClosed()
{
    std::erase_if(m_connections, [](const auto &connection) { return connection->isClosed(); });
}

size_t ConnectionPool::load() const
{
    const auto usable = std::count_if(m_connections.begin(), m_connections.end(), [](const auto &connection) {
        return connection->isBusy() || connection->isOpening();
    });
    return static_cast<size_t>(usable) + m_waiting.size();
}

bool ConnectionPool::hasRoom() const
{
    return load() < m_target.connections;
}

size_t ConnectionPool::heldBytes() const
{
    size_t bytes = 0;
    for (const std::shared_ptr<UpstreamConnection> &connection : m_connections)
        bytes += isCounted(connection->heldBytes()) ? connection->heldBytes() : 0;
    return bytes;
}

bool ConnectionPool::hasRoomFor(size_t bodyBytes) const
{
    if (!isCounted(bodyBytes))
        return true;
    const size_t held = heldBytes();
    return held == 0 || held + bodyBytes <= m_target.connections * kHeldBytesPerConnection;
}

bool ConnectionPool::mustWaitForBytes(size_t bodyBytes) const
{
    // A new counted request does not go ahead of counted ones that already wait.
    return isCounted(bodyBytes)
        && (!hasRoomFor(bodyBytes) || std::any_of(m_waiting.begin(), m_waiting.end(), [](const Exchange &exchange) {
               return isCounted(exchange.request.bodyBytes);
           }));
}

std::vector<ExchangeHandle> ConnectionPool::sendable() const
{
    std::vector<ExchangeHandle> result;
    bool isBlocked = false;
    for (const Exchange &exchange : m_waiting) {
        // A counted request does not pass an earlier counted one without room, which could otherwise wait forever.
        // Uncounted ones may pass.
        isBlocked = isBlocked || !hasRoomFor(exchange.request.bodyBytes);
        if (!isBlocked || !isCounted(exchange.request.bodyBytes))
            result.push_back(exchange.handle);
    }
    return result;
}

bool ConnectionPool::hasRoomBesidesExpected() const
{
    return load() + m_expected < m_target.connections;
}

void ConnectionPool::addWaiting(Exchange exchange)
{
    const auto place =
        std::upper_bound(m_waiting.begin(), m_waiting.end(), exchange, [](const Exchange &left, const Exchange &right) {
            return left.request.priority < right.request.priority;
        });
    m_waiting.insert(place, std::move(exchange));
}

void ConnectionPool::send(Exchange exchange)
{
    static Counter &waits = Metrics::counter("hickoryspur_upstream_held_bytes_waits_total");
    --m_expected;
    if (!exchange.request.mayStart())
        return withhold(exchange);
    const TimePoint now = monotonicNow();
    const bool fresh = exchange.request.fresh;
    const bool waitsForBytes = mustWaitForBytes(exchange.request.bodyBytes);
    if (!hasRoomFor(exchange.request.bodyBytes))
        waits.add();
    if (const std::shared_ptr<UpstreamConnection> connection = waitsForBytes ? nullptr : findIdle(now, fresh)) {
        countConnectionEvent(ConnectionEvent::Reused);
        connection->run(std::move(exchange));
        return;
    }
    if (fresh && !waitsForBytes)
        closeIdle();
    addWaiting(std::move(exchange));
    openForWaiting();
}

void ConnectionPool::openForWaiting()
{
    const auto opening = std::count_if(m_connections.begin(), m_connections.end(),
                                       [](const auto &connection) { return connection->isOpening(); });
    if (static_cast<size_t>(opening) < sendable().size())
        open(ConnectionEvent::OpenedForRequest);
}

void ConnectionPool::open(ConnectionEvent purpose)
{
    dropClosed();
    if (m_connections.size() >= m_target.connections) {
        // Replaces an idle connection that is too close to its idle timeout to be used.
        const TimePoint now = monotonicNow();
        const auto stale = std::find_if(m_connections.begin(), m_connections.end(),
                                        [now](const auto &connection) { return connection->isNearIdleTimeout(now); });
        if (stale == m_connections.end())
            return;
        (*stale)->close();
        countConnectionEvent(ConnectionEvent::ClosedHere);
        m_connections.erase(stale);
    }
    countConnectionEvent(purpose);
    m_connections.push_back(std::make_shared<UpstreamConnection>(m_context, weak_from_this()));
    m_connections.back()->open(monotonicNow(), m_target.address);
}

void ConnectionPool::warm()
{
    if (m_connections.empty() && m_backoff.mayConnect(monotonicNow()))
        open(ConnectionEvent::OpenedInAdvance);
}

void ConnectionPool::onConnectionIdle()
{
    dropClosed();
    startWaiting();
    if (!m_target.keepsIdle && m_waiting.empty())
        closeIdle();
}

void ConnectionPool::startWaiting()
{
    withdrawUnusable();
    for (std::vector<ExchangeHandle> next = sendable(); !next.empty(); next = sendable()) {
        const auto first = std::find_if(m_waiting.begin(), m_waiting.end(),
                                        [&next](const Exchange &exchange) { return exchange.handle == next.front(); });
        const std::shared_ptr<UpstreamConnection> connection = findIdle(monotonicNow(), first->request.fresh);
        if (!connection)
            break;
        Exchange exchange = std::move(*first);
        m_waiting.erase(first);
        connection->run(std::move(exchange));
    }
    // An upstream that has just refused a connection is at its limit.
    if (m_backoff.mayConnect(monotonicNow()))
        openForWaiting();
}

void ConnectionPool::onConnectFailure(const std::string &reason)
{
    m_backoff.recordFailure(monotonicNow());
    dropClosed();
    const bool othersOpen = std::any_of(m_connections.begin(), m_connections.end(),
                                        [](const auto &connection) { return !connection->isClosed(); });
    if (othersOpen || m_waiting.empty())
        return;
    endWaiting(AttemptOutcome::NotSent, reason);
}

void ConnectionPool::endWaiting(AttemptOutcome outcome, const std::string &reason)
{
    std::deque<Exchange> waiting = std::move(m_waiting);
    m_waiting.clear();
    for (Exchange &exchange : waiting)
        exchange.done({outcome, {}, reason});
}

void ConnectionPool::withdrawUnusable()
{
    const auto usable = std::stable_partition(m_waiting.begin(), m_waiting.end(),
                                              [](const Exchange &exchange) { return !exchange.request.mayStart(); });
    const std::vector<Exchange> withdrawn(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(usable));
    m_waiting.erase(m_waiting.begin(), usable);
    for (const Exchange &exchange : withdrawn)
        withhold(exchange);
}

bool ConnectionPool::cancelIfNotSent(ExchangeHandle handle)
{
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [handle](const Exchange &exchange) { return exchange.handle == handle; });
    if (waiting == m_waiting.end())
        return false;
    const auto done = std::move(waiting->done);
    m_waiting.erase(waiting);
    done({AttemptOutcome::Cancelled, {}, "cancelled before the request was sent"});
    return true;
}

void ConnectionPool::cancel(ExchangeHandle handle)
{
    if (cancelIfNotSent(handle))
        return;
    const auto running = std::find_if(m_connections.begin(), m_connections.end(),
                                      [handle](const auto &connection) { return connection->handle() == handle; });
    if (running == m_connections.end())
        return;
    const std::shared_ptr<UpstreamConnection> connection = *running;
    connection->finish({AttemptOutcome::Cancelled, {}, "cancelled"}, false);
}

void ConnectionPool::tick(TimePoint now)
{
    static Counter &stalled = Metrics::counter("hickoryspur_upstream_writes_stalled_total");
    dropClosed();
    const std::vector<std::shared_ptr<UpstreamConnection>> connections = m_connections;
    for (const std::shared_ptr<UpstreamConnection> &connection : connections) {
        if (connection->isOpening() && now - connection->stateSince() > kConnectTimeout) {
            connection->close();
            countConnectionEvent(ConnectionEvent::ConnectFailed);
            reportConnected(false);
            onConnectFailure("connect timed out");
        } else if (connection->isBusy() && now >= connection->deadline()) {
            connection->finish({AttemptOutcome::NoResponse, {}, "no answer before the deadline"}, false);
        } else if (connection->isWriteStalled(now)) {
            stalled.add();
            connection->finish({AttemptOutcome::NoResponse, {}, "the upstream does not read the request"}, false);
        }
    }
    endOverdue(now);
}

void ConnectionPool::endOverdue(TimePoint now)
{
    // An exchange behind a more urgent one may have an earlier deadline than that.
    const auto waits = [now](const Exchange &exchange) { return now < exchange.request.deadline; };
    const auto overdue = std::stable_partition(m_waiting.begin(), m_waiting.end(), waits);
    const std::vector<Exchange> ended(std::make_move_iterator(overdue), std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(overdue, m_waiting.end());
    for (const Exchange &exchange : ended)
        exchange.done({AttemptOutcome::NotSent, {}, "no connection before the deadline"});
}

void ConnectionPool::closeIdle()
{
    for (const std::shared_ptr<UpstreamConnection> &connection : m_connections) {
        if (!connection->isIdle())
            continue;
        connection->close();
        countConnectionEvent(ConnectionEvent::ClosedHere);
    }
    dropClosed();
}

} // namespace hickoryspur
