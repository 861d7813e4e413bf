// One HTTP connection to an upstream. It carries one request at a time and is reused. It is closed when
// its answer is incomplete or is followed by unexpected bytes. An answer that belongs to another request
// is dropped, and the next answer on the connection is awaited.
//
// An entry sends hundreds of sub-requests for one query, so the number of system calls matters: one write,
// and one read that stays pending also while no request runs.
#pragma once

#include "connection/UpstreamExchange.h"
#include "process/AnswerReader.h"
#include "process/HttpLimits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace hickoryspur {

class ConnectionPool;

/**
 * A write ends if the upstream takes nothing for so long. Upstreams pause for a quarter of a second, and TCP repeats
 * lost segments after 0.2, 0.6, 1.4 and 3 s, so an upstream and a path that work make progress in this time.
 */
constexpr Duration kWriteStallTime = 4s;

/** One connection. Pending handlers keep it alive, also after its pool has been destroyed. */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(boost::asio::io_context &context, std::weak_ptr<ConnectionPool> pool);

    void open(TimePoint now, const HostAddress &address);
    void run(Exchange exchange);
    void finish(ExchangeResult result, bool keep);
    void close();
    bool isIdle() const { return m_state == State::Idle; }
    bool isOpening() const { return m_state == State::Connecting || m_state == State::Confirming; }
    bool isClosed() const { return m_state == State::Closed; }
    bool isBusy() const { return m_exchange.has_value(); }
    ExchangeHandle handle() const { return m_exchange ? m_exchange->handle : 0; }
    TimePoint deadline() const { return m_exchange ? m_exchange->request.deadline : TimePoint::max(); }
    TimePoint stateSince() const { return m_stateSince; }
    /** Body bytes of the request that the upstream holds or is being sent; 0 if none runs. */
    size_t heldBytes() const { return m_exchange ? m_exchange->request.bodyBytes : 0; }
    /** The upstream has taken nothing of the running request for kWriteStallTime. */
    bool isWriteStalled(TimePoint now) const;
    /** Idle for so long that the upstream may be closing it. */
    bool isNearIdleTimeout(TimePoint now) const;

private:
    enum class State { New, Connecting, Confirming, Idle, Busy, Closed };

    void onConnected(boost::system::error_code error);
    void onConfirmed();
    /** Keeps one read pending from the connect on: it also notices bytes that nobody asked for, and the end. */
    void startRead();
    void onRead(boost::system::error_code error, size_t bytes);
    /** Ends an exchange, if it still runs, to free the memory of its answer. */
    void giveUp(ExchangeHandle handle);
    /** Ends the exchange and the connection after an exception. */
    void onException();
    /** Handles a read that ended while no request runs. */
    void onUnexpectedRead(boost::system::error_code error);
    void write();
    void writeRest();
    void onWritten();
    void onWriteFailed(boost::system::error_code error);
    /** Parses what has been read; ends the exchange once its answer is complete. */
    void parse(boost::system::error_code readError);
    void onAnswer();
    void startAnswer();
    /** Counts bytes of the running exchange, which ends if they have to be given up. */
    ByteBudget::Share countBytes(const char *reader);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_confirmTimer;
    std::weak_ptr<ConnectionPool> m_pool;
    State m_state = State::New;
    TimePoint m_stateSince;
    Duration m_idleTimeout;
    bool m_isReading = false;
    int m_mismatchedAnswers = 0;
    std::optional<Exchange> m_exchange;
    std::string m_requestBytes;
    /** The request is not written whole: its write goes on or has failed. The connection carries no other one then. */
    bool m_isWriting = false;
    size_t m_writtenBytes = 0;
    TimePoint m_writeProgressAt;
    /** Counts the request while the upstream has not taken all of it. */
    ByteBudget::Share m_requestHeld;
    /** Reads the answer to the running exchange. */
    std::optional<AnswerReader> m_reader;
    boost::beast::flat_buffer m_buffer{kMaxUnparsedAnswerBytes};
};

} // namespace hickoryspur
