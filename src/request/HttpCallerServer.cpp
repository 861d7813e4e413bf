#include "request/HttpCallerServer.h"

#include "connection/FiberAwait.h"
#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"
#include "process/BoundedParser.h"
#include "process/ConnectionGuard.h"
#include "process/HttpLimits.h"
#include "request/AnswerJson.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/all.hpp>

#include <locale>
#include <sys/socket.h>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result.push_back(static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
            i += 2;
        } else {
            result.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return result;
}

void parseTarget(const std::string &target, CallerRequest &request)
{
    const size_t question = target.find('?');
    request.path = target.substr(0, question);
    if (question == std::string::npos)
        return;
    std::string rest = target.substr(question + 1);
    while (!rest.empty()) {
        const size_t ampersand = rest.find('&');
        const std::string item = rest.substr(0, ampersand);
        const size_t equals = item.find('=');
        if (equals != std::string::npos)
            request.parameters[decodePercent(item.substr(0, equals))] = decodePercent(item.substr(equals + 1));
        rest = ampersand == std::string::npos ? "" : rest.substr(ampersand + 1);
    }
}

CallerRequest toCallerRequest(http::request<http::string_body> &&message)
{
    CallerRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    parseTarget(request.target, request);
    for (const auto &field : message) {
        std::string name(field.name_string());
        request.fields.emplace_back(name, std::string(field.value()));
        request.headers[boost::algorithm::to_lower_copy(name, std::locale::classic())] = std::string(field.value());
    }
    request.body = std::move(message.body());
    return request;
}

http::response<http::string_body> toHttpResponse(CallerResponse response, bool keepAlive)
{
    http::response<http::string_body> message{static_cast<http::status>(response.status), 11};
    if (!response.contentType.empty())
        message.set(http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.headers)
        message.set(name, value);
    for (const auto &[name, value] : response.fields)
        message.insert(name, value);
    message.keep_alive(keepAlive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

/** The answer to a HEAD request, whose body is not sent. If it has none, the length for a GET is not known. */
http::response<http::string_body> toHeadResponse(CallerResponse response, bool keepAlive)
{
    http::response<http::string_body> message = toHttpResponse(std::move(response), keepAlive);
    if (message.body().empty())
        message.erase(http::field::content_length);
    return message;
}

/** Counts what a caller's connection holds; to give it up, the connection is closed. */
ByteBudget::Share countBytes(const std::shared_ptr<beast::tcp_stream> &stream)
{
    return {connectionBytes(), "caller", [weak = std::weak_ptr<beast::tcp_stream>(stream)] {
                if (const std::shared_ptr<beast::tcp_stream> open = weak.lock())
                    asio::post(open->get_executor(), [open] { open->close(); });
            }};
}

/** Writes a response, or its head alone, for as long as its caller takes some of it. */
error_code writeResponse(beast::tcp_stream &stream, const http::response<http::string_body> &response, bool headOnly,
                         std::chrono::milliseconds stallTimeout)
{
    static Counter &stalled = Metrics::counter("hickoryspur_caller_writes_stalled_total");
    http::response_serializer<http::string_body> serializer(response);
    serializer.split(headOnly);
    const auto isWritten = [&] { return headOnly ? serializer.is_header_done() : serializer.is_done(); };
    error_code error;
    while (!error && !isWritten()) {
        stream.expires_after(stallTimeout);
        error = await([&](auto done) { http::async_write_some(stream, serializer, std::move(done)); });
    }
    if (error == beast::error::timeout)
        stalled.add();
    return error;
}

CallerResponse errorResponse(error_code error)
{
    Failure failure{ResultCode::MalformedRequest, "not a valid HTTP/1.1 request: " + error.message(), true};
    if (error == http::error::body_limit)
        failure = {ResultCode::BodyTooLarge, "the body is larger than the limit", true};
    else if (error == http::error::header_limit)
        failure = {ResultCode::BodyTooLarge, "the header is larger than the limit", true};
    CallerResponse response;
    response.status = httpStatus(failure.code);
    response.body = failureJson(failure, nullptr);
    return response;
}

constexpr size_t kMaxLoggedPath = 200;
/** Counts a request as open for as long as it lives. */
class OpenRequest
{
public:
    explicit OpenRequest(size_t &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~OpenRequest() { --m_count; }
    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;

private:
    size_t &m_count;
};

bool isProtocolError(error_code error)
{
    return error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

} // namespace

struct HttpCallerServer::State
{
    State(asio::io_context &ioContext, ServerLimits serverLimits, CallerHandler callerHandler)
        : context(ioContext)
        , acceptor(ioContext)
        , limits(serverLimits)
        , handler(std::move(callerHandler))
    {
    }

    asio::io_context &context;
    asio::ip::tcp::acceptor acceptor;
    ServerLimits limits;
    CallerHandler handler;
    size_t connections = 0;
    size_t openRequests = 0;
    bool accepting = true;
    bool stopping = false;
    bool closing = false;

    static void acceptLoop(const std::shared_ptr<State> &state);
    static void serveConnection(const std::shared_ptr<State> &state, const std::shared_ptr<beast::tcp_stream> &stream);
    bool serveRequest(const std::shared_ptr<beast::tcp_stream> &stream, beast::flat_buffer &buffer);
    CallerResponse handle(beast::tcp_stream &stream, CallerRequest request);
    /** Contents that a handler cannot bear fail their own request, and not the process with all others. */
    CallerResponse runHandler(const CallerRequest &request) const;
};

std::string CallerRequest::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

std::string CallerRequest::parameter(const std::string &name) const
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? "" : found->second;
}

void HttpCallerServer::State::acceptLoop(const std::shared_ptr<State> &state)
{
    static Counter &refused = Metrics::counter("hickoryspur_caller_connections_refused_total");
    while (!state->stopping && state->accepting) {
        asio::ip::tcp::socket socket(state->context);
        const error_code error = await([&](auto done) { state->acceptor.async_accept(socket, std::move(done)); });
        if (error) {
            if (error != asio::error::operation_aborted) {
                reportAcceptFailure("caller", error.message());
                boost::this_fiber::sleep_for(kAcceptRetryDelay);
            }
            continue;
        }
        if (state->connections >= state->limits.connections) {
            refused.add();
            continue;
        }
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        limitUnsentBytes(socket);
        // Without the memory for a fiber, the connection is closed.
        static_cast<void>(runGuarded("accept", [&] {
            boost::fibers::fiber([state, stream = std::make_shared<beast::tcp_stream>(std::move(socket))] {
                serveConnection(state, stream);
            }).detach();
        }));
    }
}

void HttpCallerServer::State::serveConnection(const std::shared_ptr<State> &state,
                                              const std::shared_ptr<beast::tcp_stream> &stream)
{
    ++state->connections;
    beast::flat_buffer buffer(kMaxUnparsedBytes);
    bool open = true;
    while (!state->stopping && open)
        if (!runGuarded("caller", [&] { open = state->serveRequest(stream, buffer); }))
            open = false;
    error_code ignored;
    stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    --state->connections;
}

bool HttpCallerServer::State::serveRequest(const std::shared_ptr<beast::tcp_stream> &connection,
                                           beast::flat_buffer &buffer)
{
    beast::tcp_stream &stream = *connection;
    RequestParser parser({limits.headerBytes, limits.bodyBytes}, countBytes(connection));
    stream.expires_after(limits.idleTimeout);
    const error_code error = await([&](auto done) { http::async_read(stream, buffer, parser, std::move(done)); });
    parser.held().pin();
    if (error && !isProtocolError(error))
        return false;
    const bool wantsKeepAlive = !error && parser.keep_alive();
    const OpenRequest openRequest(openRequests);
    const bool isHead = parser.get().method() == http::verb::head;
    CallerResponse response = error ? errorResponse(error) : handle(stream, toCallerRequest(parser.release()));
    // The request has been freed. Its pinned bytes would count for as long as the caller does not read the answer.
    if (!error)
        parser.held() = {};
    const bool keepAlive = wantsKeepAlive && !closing;
    const http::response<http::string_body> message =
        isHead ? toHeadResponse(std::move(response), keepAlive) : toHttpResponse(std::move(response), keepAlive);
    // A caller may take its answer slowly, or not at all.
    ByteBudget::Share held = countBytes(connection);
    if (!held.resize(message.body().size()))
        return false;
    const error_code written = writeResponse(stream, message, isHead, limits.writeStallTimeout);
    return !written && keepAlive;
}

CallerResponse HttpCallerServer::State::runHandler(const CallerRequest &request) const
{
    try {
        return handler(request);
    } catch (const std::exception &error) {
        HS_LOG(ERROR, LogEvent::RequestHandlerFailed)
            << request.method << ' ' << request.path.substr(0, kMaxLoggedPath) << ": " << error.what();
        CallerResponse response;
        response.status = 500;
        return response;
    }
}

CallerResponse HttpCallerServer::State::handle(beast::tcp_stream &stream, CallerRequest request)
{
    // While the request runs, a readable socket without bytes means that the caller has disconnected.
    auto callerGone = std::make_shared<bool>(false);
    boost::fibers::promise<void> ended;
    boost::fibers::future<void> watch = ended.get_future();
    asio::ip::tcp::socket &socket = stream.socket();
    socket.async_wait(asio::ip::tcp::socket::wait_read, [&, callerGone](error_code error) {
        error_code ignored;
        if (!error && socket.available(ignored) == 0)
            *callerGone = true;
        ended.set_value();
    });
    request.isCallerGone = [callerGone] { return *callerGone; };
    CallerResponse response = runHandler(request);
    error_code ignored;
    socket.cancel(ignored);
    watch.wait();
    return response;
}

HttpCallerServer::HttpCallerServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpCallerServer::~HttpCallerServer()
{
    m_state->stopping = true;
    error_code ignored;
    m_state->acceptor.close(ignored);
}

void HttpCallerServer::setClosing()
{
    m_state->closing = true;
}

void HttpCallerServer::stopAccepting()
{
    m_state->accepting = false;
    error_code ignored;
    m_state->acceptor.close(ignored);
}

void HttpCallerServer::setLimits(ServerLimits limits)
{
    m_state->limits = limits;
}

size_t HttpCallerServer::openRequests() const
{
    return m_state->openRequests;
}

Result<std::unique_ptr<HttpCallerServer>> HttpCallerServer::listen(asio::io_context &context,
                                                                   const HostAddress &address, ServerLimits limits,
                                                                   CallerHandler handler)
{
    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    auto state = std::make_shared<State>(context, limits, std::move(handler));
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.address), address.port);
    error_code error;
    state->acceptor.open(endpoint.protocol(), error);
    if (!error)
        state->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        state->acceptor.set_option(ReusePort(true), error);
    if (!error)
        state->acceptor.bind(endpoint, error);
    if (!error)
        state->acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return failure(ResultCode::AddressInUse, address.text() + ": " + error.message());
    boost::fibers::fiber([state] { State::acceptLoop(state); }).detach();
    return std::unique_ptr<HttpCallerServer>(new HttpCallerServer(std::move(state)));
}

} // namespace hickoryspur
