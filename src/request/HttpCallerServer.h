// The HTTP server towards callers, upstreams and operators: one fiber a connection, limits on
// headers, bodies and silence, and cancellation when a caller goes away. What a request means is
// decided by the handler it is given.
#pragma once

#include "hickoryspur/process/ResultCode.h"
#include "hickoryspur/process/Settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hickoryspur {

struct CallerRequest
{
    std::string method;
    /** As it came, with its query. */
    std::string target;
    std::string path;
    std::map<std::string, std::string> parameters;
    /** Header fields by lower-case name. */
    std::map<std::string, std::string> headers;
    /** The same fields as they came. */
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    std::function<bool()> isCallerGone;

    std::string header(const std::string &name) const;
    std::string parameter(const std::string &name) const;
};

struct CallerResponse
{
    unsigned status = 200;
    std::string body;
    /** Empty where the fields below say what the body is. */
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
    /** Fields whose names may repeat; sent after the others. */
    std::vector<std::pair<std::string, std::string>> fields{};
};

/** Called on a fiber of the server's thread. */
using CallerHandler = std::function<CallerResponse(const CallerRequest &)>;

struct ServerLimits
{
    uint64_t bodyBytes = 4ULL * 1024 * 1024;
    uint32_t headerBytes = 16U * 1024;
    /** A connection that is silent this long between or within requests is closed. */
    std::chrono::milliseconds idleTimeout{30000};
    size_t connections = 4096;
};

/** Shared with the connections' fibers; stop() ends the listener and then idle connections. */
class HttpCallerServer
{
public:
    static Result<std::unique_ptr<HttpCallerServer>>
    listen(boost::asio::io_context &context, const HostAddress &address, ServerLimits limits, CallerHandler handler);
    ~HttpCallerServer();
    /** Answers from now on say that the connection closes, so that callers go elsewhere. */
    void setClosing();
    void stopAccepting();
    void setLimits(ServerLimits limits);
    /** Requests that have been read and not answered. */
    size_t openRequests() const;
    HttpCallerServer(const HttpCallerServer &) = delete;
    HttpCallerServer &operator=(const HttpCallerServer &) = delete;

private:
    struct State;
    explicit HttpCallerServer(std::shared_ptr<State> state);
    std::shared_ptr<State> m_state;
};

/** One HTTP exchange from the command line's side, without fibers. */
Result<CallerResponse> httpExchange(const HostAddress &address, const CallerRequest &request,
                                    std::chrono::milliseconds timeout);

} // namespace hickoryspur
