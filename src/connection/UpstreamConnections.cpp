#include "connection/UpstreamConnections.h"

#include "hickoryspur/connection/ReconnectBackoff.h"
#include "hickoryspur/process/Metrics.h"
#include "process/HttpLimits.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <unordered_map>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kMaxAnswerBytes = 8ULL * 1024 * 1024;
constexpr unsigned kMaxHeaderBytes = 16U * 1024;
/** Connecting takes milliseconds; an upstream that takes longer is unreachable or overloaded. */
constexpr Duration kConnectTimeout = 400ms;
/**
 * A new connection carries no request for at least this long: an upstream at its connection limit accepts
 * the connection and then resets it, which shows within a round trip.
 */
constexpr Duration kMinConfirmTime = 2500us;
/** The wait as a multiple of the connect time, which is one round trip too; a reset arrives within it. */
constexpr double kConfirmRoundTrips = 1.3;
/** Assumed idle timeout of an upstream that sends no Keep-Alive field. */
constexpr Duration kDefaultIdleTimeout = 4s;
/** A connection is not used in this time before the upstream's idle timeout: the upstream may be closing it. */
constexpr Duration kIdleMargin = 900ms;
/** A request that must not be sent twice uses only a connection that has been idle for less than this. */
constexpr Duration kMaxFreshIdleTime = 1s;
/** Answers to other requests that are dropped in one exchange before the connection is closed. */
constexpr int kMaxMismatchedAnswers = 4;

using ResponseParser = http::response_parser<http::string_body>;

/** The idle timeout in seconds from a Keep-Alive field, as in "timeout=5". */
std::optional<Duration> parseKeepAliveTimeout(beast::string_view keepAlive)
{
    const size_t start = keepAlive.find("timeout=");
    if (start == beast::string_view::npos)
        return std::nullopt;
    const char *first = keepAlive.data() + start + sizeof("timeout=") - 1;
    int seconds = 0;
    const auto [end, error] = std::from_chars(first, keepAlive.data() + keepAlive.size(), seconds);
    static_cast<void>(end);
    return error == std::errc() ? std::optional<Duration>(std::chrono::seconds(seconds)) : std::nullopt;
}

UpstreamAnswer toAnswer(http::response<http::string_body> &&response)
{
    UpstreamAnswer answer;
    answer.status = response.result_int();
    for (const auto &field : response)
        answer.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    answer.body = std::move(response.body());
    return answer;
}

struct Exchange
{
    UpstreamConnections::Handle handle = 0;
    ExchangeRequest request;
    UpstreamConnections::Done done;
};

class Pool;

/** One connection. Pending handlers keep it alive, also after its pool has been destroyed. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::io_context &context, std::weak_ptr<Pool> pool)
        : m_socket(context)
        , m_confirmTimer(context)
        , m_pool(std::move(pool))
    {
    }

    void open(TimePoint now, const HostAddress &address);
    void run(Exchange exchange);
    void finish(ExchangeResult result, bool keep);
    void close();
    bool isIdle() const { return m_state == State::Idle; }
    bool isOpening() const { return m_state == State::Connecting || m_state == State::Confirming; }
    bool isClosed() const { return m_state == State::Closed; }
    bool isBusy() const { return m_exchange.has_value(); }
    UpstreamConnections::Handle handle() const { return m_exchange ? m_exchange->handle : 0; }
    TimePoint deadline() const { return m_exchange ? m_exchange->request.deadline : TimePoint::max(); }
    TimePoint stateSince() const { return m_stateSince; }
    /** Idle for so long that the upstream may be closing it. */
    bool isNearIdleTimeout(TimePoint now) const { return isIdle() && now - m_stateSince + kIdleMargin > m_idleTimeout; }

private:
    enum class State { New, Connecting, Confirming, Idle, Busy, Closed };

    void onConnected(error_code error);
    void onConfirmed();
    void watchForData();
    void read();
    void onRead(error_code error);

    tcp::socket m_socket;
    asio::steady_timer m_confirmTimer;
    std::weak_ptr<Pool> m_pool;
    State m_state = State::New;
    TimePoint m_stateSince;
    Duration m_idleTimeout = kDefaultIdleTimeout;
    bool m_isWatching = false;
    int m_mismatchedAnswers = 0;
    std::optional<Exchange> m_exchange;
    std::string m_requestBytes;
    /** A pending read uses it, also after its exchange has ended. */
    std::optional<ResponseParser> m_parser;
    beast::flat_buffer m_buffer{kMaxUnparsedBytes};
};

/** The connections to one upstream, and the exchanges that wait for one. */
class Pool : public std::enable_shared_from_this<Pool>
{
public:
    Pool(asio::io_context &context, const UpstreamTarget &target, UpstreamConnections::BelongsTo belongsTo,
         uint64_t seed)
        : m_context(context)
        , m_target(target)
        , m_belongsTo(std::move(belongsTo))
        , m_backoff(seed)
    {
    }

    void setLimit(uint32_t connections) { m_target.connections = std::max<uint32_t>(1, connections); }
    const HostAddress &address() const { return m_target.address; }
    void send(Exchange exchange);
    void open();
    /** Opens a connection if there is none and the backoff allows an attempt. */
    void warm();
    void recordConnected() { m_backoff.recordSuccess(); }
    void onConnectionIdle();
    void onConnectFailure(const std::string &reason);
    void cancel(UpstreamConnections::Handle handle);
    /** Returns false if the exchange does not wait for a connection. */
    bool cancelIfNotSent(UpstreamConnections::Handle handle);
    /** Ends all exchanges that wait for a connection. */
    void endWaiting(AttemptOutcome outcome, const std::string &reason);
    void tick(TimePoint now);
    void closeIdle();
    bool hasRoom() const;
    size_t size() const { return m_connections.size(); }
    bool belongsTo(const UpstreamAnswer &answer, const std::string &id) const { return m_belongsTo(answer, id); }

private:
    std::shared_ptr<Connection> findIdle(TimePoint now, bool fresh);
    void startWaiting();
    void dropClosed();

    asio::io_context &m_context;
    UpstreamTarget m_target;
    UpstreamConnections::BelongsTo m_belongsTo;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::deque<Exchange> m_waiting;
    ReconnectBackoff m_backoff;
};

void Connection::open(TimePoint now, const HostAddress &address)
{
    static Counter &opened = Metrics::counter("hickoryspur_upstream_connections_opened_total");
    opened.add();
    m_state = State::Connecting;
    m_stateSince = now;
    m_socket.async_connect(tcp::endpoint(asio::ip::make_address(address.address), address.port),
                           [self = shared_from_this()](error_code error) { self->onConnected(error); });
}

void Connection::onConnected(error_code error)
{
    if (m_state != State::Connecting)
        return;
    const std::shared_ptr<Pool> pool = m_pool.lock();
    if (error || !pool) {
        close();
        if (pool)
            pool->onConnectFailure("connect failed: " + error.message());
        return;
    }
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_state = State::Confirming;
    watchForData();
    const auto roundTrips = static_cast<int64_t>(kConfirmRoundTrips * (monotonicNow() - m_stateSince).count());
    m_confirmTimer.expires_after(std::max(kMinConfirmTime, Duration(roundTrips)));
    m_confirmTimer.async_wait([self = shared_from_this()](error_code) { self->onConfirmed(); });
}

void Connection::onConfirmed()
{
    if (m_state != State::Confirming)
        return;
    m_state = State::Idle;
    m_stateSince = monotonicNow();
    if (const std::shared_ptr<Pool> pool = m_pool.lock()) {
        pool->recordConnected();
        pool->onConnectionIdle();
    }
}

void Connection::watchForData()
{
    if (m_isWatching)
        return;
    m_isWatching = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->m_isWatching = false;
        if (self->m_state == State::Confirming) {
            self->close();
            if (const std::shared_ptr<Pool> pool = self->m_pool.lock())
                pool->onConnectFailure("the upstream closed the new connection before a request was sent");
            return;
        }
        // Bytes on an idle connection belong to no request; an error means that the upstream closed it.
        if (self->m_state == State::Idle || (error && self->m_state != State::Busy))
            self->close();
    });
}

void Connection::run(Exchange exchange)
{
    m_exchange = std::move(exchange);
    m_state = State::Busy;
    m_mismatchedAnswers = 0;
    m_requestBytes = m_exchange->request.encode(monotonicNow());
    asio::async_write(m_socket, asio::buffer(m_requestBytes), [self = shared_from_this()](error_code error, size_t) {
        if (!error && self->m_exchange)
            self->read();
        else if (self->m_exchange)
            self->finish({AttemptOutcome::Failed, {}, "write failed: " + error.message()}, false);
    });
}

void Connection::read()
{
    m_parser.emplace();
    m_parser->body_limit(kMaxAnswerBytes);
    m_parser->header_limit(kMaxHeaderBytes);
    http::async_read(m_socket, m_buffer, *m_parser,
                     [self = shared_from_this()](error_code error, size_t) { self->onRead(error); });
}

void Connection::onRead(error_code error)
{
    static Counter &mismatches = Metrics::counter("hickoryspur_upstream_reply_mismatch_total");
    if (!m_exchange)
        return;
    if (error)
        return finish({AttemptOutcome::Failed, {}, "read failed: " + error.message()}, false);
    const bool keep = m_parser->get().keep_alive() && !m_parser->get().need_eof();
    if (const std::optional<Duration> idle = parseKeepAliveTimeout(m_parser->get()[http::field::keep_alive]))
        m_idleTimeout = *idle;
    UpstreamAnswer answer = toAnswer(m_parser->release());
    const std::shared_ptr<Pool> pool = m_pool.lock();
    if (pool && !pool->belongsTo(answer, m_exchange->request.requestId)) {
        mismatches.add();
        if (keep && ++m_mismatchedAnswers <= kMaxMismatchedAnswers)
            return read();
        return finish({AttemptOutcome::Failed, {}, "the answer belongs to another request"}, false);
    }
    // Bytes after the answer belong to no request, so the connection is not reused.
    finish({AttemptOutcome::Answered, std::move(answer), ""}, keep && m_buffer.size() == 0);
}

void Connection::finish(ExchangeResult result, bool keep)
{
    const UpstreamConnections::Done done = std::move(m_exchange->done);
    m_exchange.reset();
    if (keep && m_state == State::Busy) {
        m_state = State::Idle;
        m_stateSince = monotonicNow();
        watchForData();
    } else {
        close();
    }
    done(std::move(result));
    if (const std::shared_ptr<Pool> pool = m_pool.lock())
        pool->onConnectionIdle();
}

void Connection::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    error_code ignored;
    m_socket.close(ignored);
}

std::shared_ptr<Connection> Pool::findIdle(TimePoint now, bool fresh)
{
    // The most recently used connection is the least likely to have been closed, and unused ones can expire.
    std::shared_ptr<Connection> latest;
    for (const std::shared_ptr<Connection> &connection : m_connections) {
        if (!connection->isIdle() || connection->isNearIdleTimeout(now)
            || (fresh && now - connection->stateSince() > kMaxFreshIdleTime))
            continue;
        if (!latest || connection->stateSince() > latest->stateSince())
            latest = connection;
    }
    return latest;
}

void Pool::dropClosed()
{
    std::erase_if(m_connections, [](const auto &connection) { return connection->isClosed(); });
}

bool Pool::hasRoom() const
{
    const auto usable = std::count_if(m_connections.begin(), m_connections.end(), [](const auto &connection) {
        return connection->isBusy() || connection->isOpening();
    });
    return static_cast<size_t>(usable) + m_waiting.size() < m_target.connections;
}

void Pool::send(Exchange exchange)
{
    const TimePoint now = monotonicNow();
    const bool fresh = exchange.request.fresh;
    if (const std::shared_ptr<Connection> connection = findIdle(now, fresh)) {
        connection->run(std::move(exchange));
        return;
    }
    if (fresh)
        closeIdle();
    m_waiting.push_back(std::move(exchange));
    const auto opening = std::count_if(m_connections.begin(), m_connections.end(),
                                       [](const auto &connection) { return connection->isOpening(); });
    if (static_cast<size_t>(opening) < m_waiting.size())
        open();
}

void Pool::open()
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
        m_connections.erase(stale);
    }
    m_connections.push_back(std::make_shared<Connection>(m_context, weak_from_this()));
    m_connections.back()->open(monotonicNow(), m_target.address);
}

void Pool::warm()
{
    if (m_connections.empty() && m_backoff.mayConnect(monotonicNow()))
        open();
}

void Pool::onConnectionIdle()
{
    dropClosed();
    startWaiting();
}

void Pool::startWaiting()
{
    while (!m_waiting.empty()) {
        const std::shared_ptr<Connection> connection = findIdle(monotonicNow(), m_waiting.front().request.fresh);
        if (!connection)
            break;
        Exchange exchange = std::move(m_waiting.front());
        m_waiting.pop_front();
        connection->run(std::move(exchange));
    }
    if (!m_waiting.empty() && hasRoom())
        open();
}

void Pool::onConnectFailure(const std::string &reason)
{
    m_backoff.recordFailure(monotonicNow());
    dropClosed();
    const bool othersOpen = std::any_of(m_connections.begin(), m_connections.end(),
                                        [](const auto &connection) { return !connection->isClosed(); });
    if (othersOpen || m_waiting.empty())
        return;
    endWaiting(AttemptOutcome::NotSent, reason);
}

void Pool::endWaiting(AttemptOutcome outcome, const std::string &reason)
{
    std::deque<Exchange> waiting = std::move(m_waiting);
    m_waiting.clear();
    for (Exchange &exchange : waiting)
        exchange.done({outcome, {}, reason});
}

bool Pool::cancelIfNotSent(UpstreamConnections::Handle handle)
{
    const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(),
                                      [handle](const Exchange &exchange) { return exchange.handle == handle; });
    if (waiting == m_waiting.end())
        return false;
    const UpstreamConnections::Done done = std::move(waiting->done);
    m_waiting.erase(waiting);
    done({AttemptOutcome::Cancelled, {}, "cancelled before the request was sent"});
    return true;
}

void Pool::cancel(UpstreamConnections::Handle handle)
{
    if (cancelIfNotSent(handle))
        return;
    const auto running = std::find_if(m_connections.begin(), m_connections.end(),
                                      [handle](const auto &connection) { return connection->handle() == handle; });
    if (running == m_connections.end())
        return;
    const std::shared_ptr<Connection> connection = *running;
    connection->finish({AttemptOutcome::Cancelled, {}, "cancelled"}, false);
}

void Pool::tick(TimePoint now)
{
    dropClosed();
    const std::vector<std::shared_ptr<Connection>> connections = m_connections;
    for (const std::shared_ptr<Connection> &connection : connections) {
        if (connection->isOpening() && now - connection->stateSince() > kConnectTimeout) {
            connection->close();
            onConnectFailure("connect timed out");
        } else if (connection->isBusy() && now >= connection->deadline()) {
            connection->finish({AttemptOutcome::NoResponse, {}, "no answer before the deadline"}, false);
        }
    }
    while (!m_waiting.empty() && now >= m_waiting.front().request.deadline) {
        const Exchange exchange = std::move(m_waiting.front());
        m_waiting.pop_front();
        exchange.done({AttemptOutcome::NotSent, {}, "no connection before the deadline"});
    }
}

void Pool::closeIdle()
{
    for (const std::shared_ptr<Connection> &connection : m_connections)
        if (connection->isIdle())
            connection->close();
    dropClosed();
}

} // namespace

struct UpstreamConnections::State
{
    asio::io_context &context;
    BelongsTo belongsTo;
    std::unordered_map<UpstreamId, std::shared_ptr<Pool>> pools;
    std::unordered_map<Handle, std::weak_ptr<Pool>> running;
    Handle nextHandle = 1;
    std::mt19937_64 random;

    std::shared_ptr<Pool> pool(const UpstreamTarget &target);
    /** Null if the exchange has ended. */
    std::shared_ptr<Pool> poolOf(Handle handle) const;
};

std::shared_ptr<Pool> UpstreamConnections::State::pool(const UpstreamTarget &target)
{
    std::shared_ptr<Pool> &pool = pools[target.id];
    if (!pool || pool->address().text() != target.address.text())
        pool = std::make_shared<Pool>(context, target, belongsTo, random());
    pool->setLimit(target.connections);
    return pool;
}

std::shared_ptr<Pool> UpstreamConnections::State::poolOf(Handle handle) const
{
    const auto found = running.find(handle);
    return found == running.end() ? nullptr : found->second.lock();
}

UpstreamConnections::UpstreamConnections(asio::io_context &context, BelongsTo belongsTo, uint64_t seed)
    : m_state(new State{context, std::move(belongsTo), {}, {}, 1, std::mt19937_64(seed)})
{
}

UpstreamConnections::~UpstreamConnections() = default;

UpstreamConnections::Handle UpstreamConnections::send(const UpstreamTarget &target, ExchangeRequest request, Done done)
{
    const Handle handle = m_state->nextHandle++;
    const std::shared_ptr<Pool> pool = m_state->pool(target);
    m_state->running[handle] = pool;
    State *state = m_state.get();
    // Posted, so that an immediate failure does not call done from within send().
    asio::post(state->context, [state, pool, handle, request = std::move(request), done = std::move(done)]() mutable {
        // The exchange holds its pool, which checks the answer even after the upstream has been removed.
        pool->send({handle, std::move(request), [state, pool, handle, done = std::move(done)](ExchangeResult result) {
                        state->running.erase(handle);
                        done(std::move(result));
                    }});
    });
    return handle;
}

void UpstreamConnections::cancel(Handle handle)
{
    if (const std::shared_ptr<Pool> pool = m_state->poolOf(handle))
        pool->cancel(handle);
}

void UpstreamConnections::cancelIfNotSent(Handle handle)
{
    if (const std::shared_ptr<Pool> pool = m_state->poolOf(handle))
        pool->cancelIfNotSent(handle);
}

void UpstreamConnections::withdrawWaiting(const UpstreamId &id)
{
    const auto found = m_state->pools.find(id);
    if (found == m_state->pools.end())
        return;
    const std::shared_ptr<Pool> pool = found->second;
    pool->endWaiting(AttemptOutcome::Withheld, "the upstream takes no requests now");
}

void UpstreamConnections::warm(const UpstreamTarget &target)
{
    m_state->pool(target)->warm();
}

bool UpstreamConnections::hasRoom(const UpstreamTarget &target) const
{
    const auto found = m_state->pools.find(target.id);
    return found == m_state->pools.end() || found->second->hasRoom();
}

void UpstreamConnections::removeUpstream(const UpstreamId &id)
{
    const auto found = m_state->pools.find(id);
    if (found == m_state->pools.end())
        return;
    const std::shared_ptr<Pool> pool = found->second;
    pool->closeIdle();
    if (pool->size() == 0)
        m_state->pools.erase(found);
}

void UpstreamConnections::tick(TimePoint now)
{
    std::vector<std::shared_ptr<Pool>> pools;
    for (const auto &[id, pool] : m_state->pools)
        pools.push_back(pool);
    for (const std::shared_ptr<Pool> &pool : pools)
        pool->tick(now);
}

} // namespace hickoryspur
