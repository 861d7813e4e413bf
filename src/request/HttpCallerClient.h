// HTTP client for this project's tools and for calls of control hosts to services of the deployment, used from
// a fiber: one connection that is kept open between requests, or one connection for each.
#pragma once

#include "request/HttpCallerServer.h"

namespace hickoryspur {

/** Limits of one call to a service that is not part of the deployment's own hosts. */
struct CallLimits
{
    /** For connecting, writing and reading together. */
    std::chrono::milliseconds timeout{1000};
    uint32_t headerBytes = 16U * 1024;
    uint64_t bodyBytes = 64ULL * 1024;
};

class HttpCallerClient
{
public:
    HttpCallerClient(boost::asio::io_context &context, const HostAddress &address);
    ~HttpCallerClient();
    HttpCallerClient(const HttpCallerClient &) = delete;
    HttpCallerClient &operator=(const HttpCallerClient &) = delete;

    /**
     * Must be called on a fiber. The timeout holds for connecting and for the exchange separately.
     * After a failure the next call opens a new connection.
     */
    Result<CallerResponse> exchange(const CallerRequest &request, std::chrono::milliseconds timeout);

    /**
     * Makes one exchange on a connection of its own; must be called on a fiber, and blocks only that one. `mayWrite` is
     * asked once the connection is open, right before the request is written. The Failure has notRun set if nothing was
     * written.
     */
    Result<CallerResponse> exchangeOnce(const CallerRequest &request, const CallLimits &limits,
                                        const std::function<bool()> &mayWrite);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** Makes one blocking HTTP exchange without fibers, for command-line tools. */
Result<CallerResponse> httpExchange(const HostAddress &address, const CallerRequest &request,
                                    std::chrono::milliseconds timeout);

} // namespace hickoryspur
