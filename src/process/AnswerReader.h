// Reads the answer to a request from the bytes of a connection: of an upstream, of a service that is called, or of a
// host that a command-line tool asks.
//
// Interim answers, of which any number may precede the final one (RFC 9110, section 15.2), are dropped. All of them
// together are limited like the head of one answer. The answer to a HEAD request ends with its head, whatever length
// that states (RFC 9112, section 6.3).
#pragma once

#include "process/BoundedParser.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace hickoryspur {

class AnswerReader
{
public:
    using Message = AnswerParser::Message;

    enum class Request { Head, Other };

    /**
     * Reads the answer to such a request. The share counts the body while the answer is read, and whoever takes it goes
     * on counting.
     */
    explicit AnswerReader(ParserLimits limits = {}, ByteBudget::Share held = {}, Request request = Request::Other);

    /**
     * Parses what the buffer holds, as far as the answer goes, and removes it from the buffer. Returns an error of
     * Beast if the bytes are no answer or exceed a limit; the connection is of no use then.
     */
    boost::system::error_code parse(boost::beast::flat_buffer &buffer);
    /** The connection has ended. Returns an error of Beast unless that completes the answer. */
    boost::system::error_code parseEnd();

    bool isDone() const { return m_parser->is_done(); }
    /** Bytes of the final answer, or of an interim one that is not complete, have been read. */
    bool hasBegun() const { return m_parser->got_some(); }
    /** Whether the answer leaves its connection open; requires isDone(). */
    bool keepsConnection() const { return m_parser->keep_alive(); }
    /**
     * Whether the connection may carry another request: bytes that the buffer still holds would be its answer, and so
     * would a body that a faulty peer sends after the answer to a HEAD request.
     */
    bool mayReuseConnection(const boost::beast::flat_buffer &buffer) const
    {
        return keepsConnection() && buffer.size() == 0 && m_request != Request::Head;
    }
    Message release() { return m_parser->release(); }
    ByteBudget::Share &held() { return m_parser->held(); }

private:
    void start(ByteBudget::Share held);
    boost::system::error_code dropInterim();

    ParserLimits m_limits;
    Request m_request;
    std::optional<AnswerParser> m_parser;
    uint64_t m_parsedBytes = 0;
};

/**
 * Reads until the answer is complete, and calls done(error_code) once, possibly before this returns. The stream, the
 * buffer and the reader have to live until then.
 */
template <typename Stream, typename Done>
void asyncReadAnswer(Stream &stream, boost::beast::flat_buffer &buffer, AnswerReader &reader, Done done)
{
    constexpr size_t kMaxReadBytes = 64UL * 1024;
    const boost::system::error_code error = reader.parse(buffer);
    if (error || reader.isDone())
        return done(error);
    const size_t space = boost::beast::read_size(buffer, kMaxReadBytes);
    if (space == 0)
        return done(make_error_code(boost::beast::http::error::buffer_overflow));
    stream.async_read_some(
        buffer.prepare(space),
        [&stream, &buffer, &reader, done = std::move(done)](boost::system::error_code failure, size_t bytes) mutable {
            buffer.commit(bytes);
            if (failure == boost::asio::error::eof)
                return done(reader.parseEnd());
            if (failure)
                return done(failure);
            asyncReadAnswer(stream, buffer, reader, std::move(done));
        });
}

} // namespace hickoryspur
