#include "request/HttpCallerClient.h"

#include "connection/FiberAwait.h"
#include "process/AnswerReader.h"
#include "process/HttpLimits.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <locale>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/** Limits on what a command-line tool accepts from a host of its own deployment, in bytes. */
constexpr ParserLimits kToolLimits{64U * 1024, 256ULL * 1024 * 1024};

http::request<http::string_body> toHttpRequest(const HostAddress &address, const CallerRequest &request)
{
    http::request<http::string_body> message{http::string_to_verb(request.method), request.path, 11};
    message.set(http::field::host, address.text());
    for (const auto &[name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

CallerResponse toCallerResponse(http::response<http::string_body> &&answer)
{
    CallerResponse response;
    response.status = answer.result_int();
    response.body = std::move(answer.body());
    for (const auto &field : answer)
        response.headers[boost::algorithm::to_lower_copy(std::string(field.name_string()), std::locale::classic())] =
            std::string(field.value());
    return response;
}

} // namespace

struct HttpCallerClient::State
{
    asio::io_context &context;
    HostAddress address;
    beast::flat_buffer buffer;
    std::unique_ptr<beast::tcp_stream> stream;

    error_code connect(std::chrono::milliseconds timeout);
    /** Writes the request and reads the answer, within the timeout that is set on the stream. */
    error_code transfer(const http::request<http::string_body> &message, AnswerReader &reader);
};

HttpCallerClient::HttpCallerClient(asio::io_context &context, const HostAddress &address)
    : m_state(new State{context, address, beast::flat_buffer(kMaxUnparsedBytes), nullptr})
{
}

HttpCallerClient::~HttpCallerClient() = default;

error_code HttpCallerClient::State::connect(std::chrono::milliseconds timeout)
{
    buffer.clear();
    stream = std::make_unique<beast::tcp_stream>(context);
    stream->expires_after(timeout);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.address), address.port);
    const error_code error = await([&](auto done) { stream->async_connect(endpoint, std::move(done)); });
    if (!error)
        stream->socket().set_option(asio::ip::tcp::no_delay(true));
    return error;
}

error_code HttpCallerClient::State::transfer(const http::request<http::string_body> &message, AnswerReader &reader)
{
    if (const error_code error = await([&](auto done) { http::async_write(*stream, message, std::move(done)); }))
        return error;
    return await([&](auto done) { asyncReadAnswer(*stream, buffer, reader, std::move(done)); });
}

Result<CallerResponse> HttpCallerClient::exchange(const CallerRequest &request, std::chrono::milliseconds timeout)
{
    error_code error = m_state->stream ? error_code() : m_state->connect(timeout);
    const http::request<http::string_body> message = toHttpRequest(m_state->address, request);
    AnswerReader reader;
    if (!error) {
        m_state->stream->expires_after(timeout);
        error = m_state->transfer(message, reader);
    }
    if (error || !reader.mayReuseConnection(m_state->buffer))
        m_state->stream.reset();
    if (error)
        return failure(ResultCode::ConnectionFailed, m_state->address.text() + ": " + error.message());
    return toCallerResponse(reader.release());
}

Result<CallerResponse> HttpCallerClient::exchangeOnce(const CallerRequest &request, const CallLimits &limits,
                                                      const std::function<bool()> &mayWrite)
{
    const auto deadline = std::chrono::steady_clock::now() + limits.timeout;
    const std::string address = m_state->address.text();
    if (const error_code error = m_state->connect(limits.timeout))
        return failure(ResultCode::ConnectionFailed, address + ": " + error.message(), true);
    http::request<http::string_body> message = toHttpRequest(m_state->address, request);
    message.keep_alive(false);
    AnswerReader reader({limits.headerBytes, limits.bodyBytes});
    m_state->stream->expires_at(deadline);
    if (!mayWrite())
        return failure(ResultCode::NoLeader, "this host may no longer call " + address, true);
    const error_code error = m_state->transfer(message, reader);
    m_state->stream.reset();
    if (error)
        return failure(ResultCode::ConnectionFailed, address + ": " + error.message());
    return toCallerResponse(reader.release());
}

Result<CallerResponse> httpExchange(const HostAddress &address, const CallerRequest &request,
                                    std::chrono::milliseconds timeout)
{
    asio::io_context context(1);
    beast::tcp_stream stream(context);
    stream.expires_after(timeout);
    const http::request<http::string_body> message = toHttpRequest(address, request);
    beast::flat_buffer buffer(kMaxUnparsedBytes);
    AnswerReader reader(kToolLimits);
    error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.address), address.port);
    stream.async_connect(endpoint, [&](error_code connected) {
        error = connected;
        if (error)
            return;
        http::async_write(stream, message, [&](error_code written, size_t) {
            error = written;
            if (error)
                return;
            asyncReadAnswer(stream, buffer, reader, [&](error_code read) { error = read; });
        });
    });
    context.run();
    if (error)
        return failure(ResultCode::ConnectionFailed, address.text() + ": " + error.message());
    return toCallerResponse(reader.release());
}

} // namespace hickoryspur
