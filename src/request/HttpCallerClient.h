// HTTP client for this project's tools: one connection that is kept open between requests, used from a
// fiber. It is implemented in HttpCallerServer.cpp, so that Beast is compiled only once for both.
#pragma once

#include "request/HttpCallerServer.h"

namespace hickoryspur {

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

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace hickoryspur
