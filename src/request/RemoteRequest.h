// One caller's request that another entry serves, because this one is cut off from the upstreams. It asks one
// entry after the other until one does not refuse it.
#pragma once

#include "request/EntryTraffic.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

class EntryTraffic::RemoteRequest : public std::enable_shared_from_this<RemoteRequest>
{
public:
    /** Entries that are asked, one after the other; those that cannot be reached now do not count. */
    static constexpr size_t kMaxAsked = 4;

    /** @param entries Where to send it, in this order. */
    RemoteRequest(EntryTraffic &traffic, std::shared_ptr<const RouteTable> routes, const Route &route,
                  ForwardedRequest request, std::vector<std::string> entries, std::function<bool()> isCallerGone,
                  Usage usage);

    /** Must be called on a fiber; blocks it until the final answer. */
    CallerAnswer serve();

private:
    /** Requires that the request has not run so far. */
    void sendToNext();
    void onReply(DelegatedReply reply);
    void onLost(bool sent);
    void startTimer();
    void onTimer();
    void finish(CallerAnswer answer);

    EntryTraffic &m_traffic;
    /** Keeps m_route valid when another table replaces this one. */
    std::shared_ptr<const RouteTable> m_routes;
    const Route &m_route;
    ForwardedRequest m_request;
    /** The entries that have not been asked, the next one last. */
    std::vector<std::string> m_entries;
    size_t m_asked = 0;
    std::function<bool()> m_isCallerGone;
    Usage m_usage;
    /** Of the entry that is being asked. */
    RequestUsage::RunId m_run = 0;
    boost::asio::steady_timer m_timer;
    TimePoint m_deadline;
    std::string m_entry;
    std::optional<Delegations::CallId> m_call;
    boost::fibers::promise<CallerAnswer> m_promise;
    bool m_finished = false;
};

} // namespace hickoryspur
