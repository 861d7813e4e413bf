#include "connection/UpstreamConnection.h"

#include "connection/ConnectionPool.h"
#include "connection/ConnectionReport.h"
#include "hickoryspur/process/Metrics.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/** Space for one read; most answers of a shard fit. */
constexpr size_t kReadBytes = 2048;
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
/** Answers to other requests that are dropped in one exchange before the connection is closed. */
constexpr int kMaxMismatchedAnswers = 4;

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

ConnectionEvent endOf(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::Answered)
        return ConnectionEvent::ClosedAfterAnswer;
    return outcome == AttemptOutcome::Cancelled ? ConnectionEvent::ClosedHere : ConnectionEvent::Broken;
}

} // namespace

UpstreamConnection::UpstreamConnection(asio::io_context &context, std::weak_ptr<ConnectionPool> pool)
    : m_socket(context)
    , m_confirmTimer(context)
    , m_pool(std::move(pool))
    , m_idleTimeout(kDefaultIdleTimeout)
{
}

bool UpstreamConnection::isNearIdleTimeout(TimePoint now) const
{
    return isIdle() && now - m_stateSince + kIdleMargin > m_idleTimeout;
}

void UpstreamConnection::open(TimePoint now, const HostAddress &address)
{
    static Counter &opened = Metrics::counter("hickoryspur_upstream_connections_opened_total");
    opened.add();
    m_state = State::Connecting;
    m_stateSince = now;
    m_socket.async_connect(tcp::endpoint(asio::ip::make_address(address.address), address.port),
                           [self = shared_from_this()](error_code error) { self->onConnected(error); });
}

void UpstreamConnection::onConnected(error_code error)
{
    if (m_state != State::Connecting)
        return;
    const std::shared_ptr<ConnectionPool> pool = m_pool.lock();
    if (error || !pool) {
        close();
        countConnectionEvent(ConnectionEvent::ConnectFailed);
        if (pool) {
            pool->reportConnected(false);
            pool->onConnectFailure("connect failed: " + error.message());
        }
        return;
    }
    pool->reportConnected(true);
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    limitUnsentBytes(m_socket);
    m_socket.non_blocking(true, ignored);
    m_state = State::Confirming;
    startRead();
    const auto roundTrips = static_cast<int64_t>(kConfirmRoundTrips * (monotonicNow() - m_stateSince).count());
    m_confirmTimer.expires_after(std::max(kMinConfirmTime, Duration(roundTrips)));
    m_confirmTimer.async_wait([self = shared_from_this()](error_code) { self->onConfirmed(); });
}

void UpstreamConnection::onConfirmed()
{
    if (m_state != State::Confirming)
        return;
    m_state = State::Idle;
    m_stateSince = monotonicNow();
    if (const std::shared_ptr<ConnectionPool> pool = m_pool.lock()) {
        pool->recordConnected();
        pool->onConnectionIdle();
    }
}

void UpstreamConnection::startRead()
{
    if (m_isReading || m_state == State::Closed)
        return;
    if (m_buffer.size() >= kMaxUnparsedAnswerBytes) {
        if (m_exchange)
            finish({AttemptOutcome::Failed, {}, "read failed: the answer cannot be parsed"}, false);
        return;
    }
    m_isReading = true;
    const size_t space = std::min(kMaxUnparsedAnswerBytes - m_buffer.size(), std::max(kReadBytes, m_buffer.size()));
    m_socket.async_read_some(m_buffer.prepare(space), [self = shared_from_this()](error_code error, size_t bytes) {
        self->onRead(error, bytes);
    });
}

void UpstreamConnection::onRead(error_code error, size_t bytes)
{
    m_isReading = false;
    m_buffer.commit(bytes);
    const bool handled = runGuarded("upstream", [&] {
        if (m_exchange)
            parse(error);
        else
            onUnexpectedRead(error);
    });
    if (!handled)
        onException();
    startRead();
}

void UpstreamConnection::giveUp(ExchangeHandle handle)
{
    if (m_exchange && m_exchange->handle == handle)
        finish({AttemptOutcome::Failed, {}, "given up: requests and answers need too much memory"}, false);
}

void UpstreamConnection::onException()
{
    if (m_exchange)
        finish({AttemptOutcome::Failed, {}, "read failed: the answer could not be handled"}, false);
    else
        close();
}

void UpstreamConnection::onUnexpectedRead(error_code error)
{
    if (m_state == State::Confirming) {
        close();
        countConnectionEvent(ConnectionEvent::ClosedNew);
        if (const std::shared_ptr<ConnectionPool> pool = m_pool.lock())
            pool->onConnectFailure("the upstream closed the new connection before a request was sent");
        return;
    }
    // Bytes on an idle connection belong to no request; an error means that the upstream closed it.
    if (m_state == State::Idle)
        countConnectionEvent(ConnectionEvent::ClosedIdle);
    if (m_state == State::Idle || error)
        close();
}

void UpstreamConnection::run(Exchange exchange)
{
    m_exchange = std::move(exchange);
    m_state = State::Busy;
    m_mismatchedAnswers = 0;
    m_requestBytes = m_exchange->request.encode(monotonicNow());
    startAnswer();
    write();
}

void UpstreamConnection::write()
{
    error_code error;
    m_writtenBytes = m_socket.write_some(asio::buffer(m_requestBytes), error);
    m_writeProgressAt = monotonicNow();
    m_isWriting = error || m_writtenBytes < m_requestBytes.size();
    if (!m_isWriting)
        return onWritten();
    if (error && error != asio::error::would_block) {
        // Posted, since whoever started the exchange is not prepared for its end.
        asio::post(m_socket.get_executor(), [self = shared_from_this(), error] { self->onWriteFailed(error); });
        return;
    }
    m_requestHeld = countBytes("upstream-request");
    // Too large a request is given up by the hook, which is posted.
    static_cast<void>(m_requestHeld.resize(m_requestBytes.capacity()));
    writeRest();
}

void UpstreamConnection::writeRest()
{
    m_socket.async_write_some(asio::buffer(m_requestBytes) + m_writtenBytes,
                              [self = shared_from_this()](error_code failure, size_t bytes) {
                                  if (failure)
                                      return self->onWriteFailed(failure);
                                  self->m_writtenBytes += bytes;
                                  self->m_writeProgressAt = monotonicNow();
                                  if (self->m_writtenBytes < self->m_requestBytes.size())
                                      self->writeRest();
                                  else
                                      self->onWritten();
                              });
}

bool UpstreamConnection::isWriteStalled(TimePoint now) const
{
    // An upstream that has begun to answer may leave the rest of the request unread.
    return m_exchange && m_isWriting && !m_reader->hasBegun() && now - m_writeProgressAt >= kWriteStallTime;
}

void UpstreamConnection::onWritten()
{
    m_isWriting = false;
    // An idle connection keeps no long request.
    if (m_requestBytes.capacity() > ByteBudget::kUncountedBytes)
        m_requestBytes = {};
    m_requestHeld = {};
}

void UpstreamConnection::onWriteFailed(error_code error)
{
    if (m_exchange)
        finish({AttemptOutcome::Lost, {}, "write failed: " + error.message()}, false);
}

ByteBudget::Share UpstreamConnection::countBytes(const char *reader)
{
    auto giveUp = [weak = weak_from_this(), handle = m_exchange->handle] {
        if (const std::shared_ptr<UpstreamConnection> self = weak.lock())
            asio::post(self->m_socket.get_executor(), [self, handle] { self->giveUp(handle); });
    };
    return {connectionBytes(), reader, std::move(giveUp)};
}

void UpstreamConnection::startAnswer()
{
    const auto request = m_exchange->request.isHead ? AnswerReader::Request::Head : AnswerReader::Request::Other;
    m_reader.emplace(ParserLimits(), countBytes("upstream"), request);
}

void UpstreamConnection::parse(error_code readError)
{
    // An upstream that has begun to answer has not ended because of the request.
    const AttemptOutcome failure = readError && !m_reader->hasBegun() ? AttemptOutcome::Lost : AttemptOutcome::Failed;
    error_code error = readError;
    if (!readError)
        error = m_reader->parse(m_buffer);
    else if (readError == asio::error::eof)
        error = m_reader->parseEnd();
    if (error)
        finish({failure, {}, "read failed: " + error.message()}, false);
    else if (m_reader->isDone())
        onAnswer();
}

void UpstreamConnection::onAnswer()
{
    static Counter &mismatches = Metrics::counter("hickoryspur_upstream_reply_mismatch_total");
    ByteBudget::Share held = std::move(m_reader->held());
    AnswerReader::Message message = m_reader->release();
    if (const std::optional<Duration> idle = parseKeepAliveTimeout(message[http::field::keep_alive]))
        m_idleTimeout = *idle;
    UpstreamAnswer answer = toAnswer(std::move(message));
    const std::shared_ptr<ConnectionPool> pool = m_pool.lock();
    if (pool && !pool->belongsTo(answer, m_exchange->request.requestId)) {
        mismatches.add();
        if (!m_reader->keepsConnection() || ++m_mismatchedAnswers > kMaxMismatchedAnswers)
            return finish({AttemptOutcome::Failed, {}, "the answer belongs to another request"}, false);
        startAnswer();
        return parse({});
    }
    finish({AttemptOutcome::Answered, std::move(answer), "", std::move(held)}, m_reader->mayReuseConnection(m_buffer));
}

void UpstreamConnection::finish(ExchangeResult result, bool keep)
{
    const auto done = std::move(m_exchange->done);
    m_exchange.reset();
    // An upstream may answer before it has read a long request. It would take the next one for the rest of that.
    if (keep && !m_isWriting && m_state == State::Busy) {
        m_state = State::Idle;
        m_stateSince = monotonicNow();
    } else {
        countConnectionEvent(endOf(result.outcome));
        close();
    }
    done(std::move(result));
    if (const std::shared_ptr<ConnectionPool> pool = m_pool.lock())
        pool->onConnectionIdle();
}

void UpstreamConnection::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    error_code ignored;
    m_socket.close(ignored);
}

} // namespace hickoryspur
