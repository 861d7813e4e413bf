// HTTP server for callers, upstreams and operators: one fiber per connection, limits on header size,
// body size and idle time, and notice to the handler when a caller disconnects. The handler decides
// what a request means.
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
    /** Path and query string as received. */
    std::string target;
    std::string path;
    std::map<std::string, std::string> parameters;
    /** Header fields by lower-case name. */
    std::map<std::string, std::string> headers;
    /** The same fields as received, in order and with their spelling. */
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    /** Returns true once the caller has disconnected. Set by the server; empty in requests that a client sends. */
    std::function<bool()> isCallerGone;

    std::string header(const std::string &name) const;
    std::string parameter(const std::string &name) const;
};

struct CallerResponse
{
    unsigned status = 200;
    std::string body;
    /** Empty if `fields` holds the content type. */
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
    /** Fields whose names may repeat; sent after the others. */
    std::vector<std::pair<std::string, std::string>> fields{};
};

/** Called on a fiber of the server's thread. */
using CallerHandler = std::function<CallerResponse(const CallerRequest &)>;

/**
 * Time in which a caller that reads slowly takes something: its kernel may open the window only after a sixteenth of a
 * buffer of 6 MiB has been read, which takes this long at 40 KB/s. Slower callers may be cut off.
 */
constexpr std::chrono::milliseconds kWriteStallTimeout{10000};

struct ServerLimits
{
    uint64_t bodyBytes = 4ULL * 1024 * 1024;
    uint32_t headerBytes = 16U * 1024;
    /** A connection is closed if reading a request, with the wait for it, takes longer. */
    std::chrono::milliseconds idleTimeout{30000};
    /** A connection is closed if its caller takes nothing of a response for so long. */
    std::chrono::milliseconds writeStallTimeout{kWriteStallTimeout};
    size_t connections = 4096;
};

/**
 * The destructor closes the listening socket; open connections end after the request that they handle
 * or at their idle timeout, on fibers that share the server's state.
 */
class HttpCallerServer
{
public:
    static Result<std::unique_ptr<HttpCallerServer>>
    listen(boost::asio::io_context &context, const HostAddress &address, ServerLimits limits, CallerHandler handler);
    ~HttpCallerServer();
    /** From now on, closes each connection after its next response, so that callers connect to another entry. */
    void setClosing();
    void stopAccepting();
    void setLimits(ServerLimits limits);
    /** Requests that have been read but not answered. */
    size_t openRequests() const;
    HttpCallerServer(const HttpCallerServer &) = delete;
    HttpCallerServer &operator=(const HttpCallerServer &) = delete;

private:
    struct State;
    explicit HttpCallerServer(std::shared_ptr<State> state);
    std::shared_ptr<State> m_state;
};

} // namespace hickoryspur
