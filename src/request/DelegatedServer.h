// Serves what other entries delegate to this one: a group of a request's shards, or a whole request of an entry
// that is cut off from the upstreams.
#pragma once

#include "request/EntryTraffic.h"

#include <functional>
#include <memory>

namespace hickoryspur {

class EntryTraffic::DelegatedServer
{
public:
    using Reply = std::function<void(DelegatedReply)>;
    /** What is to be done when a delegated request is cancelled. */
    using Cancel = std::function<void()>;

    explicit DelegatedServer(EntryTraffic &traffic)
        : m_traffic(traffic)
    {
    }

    /** Refuses what this entry cannot serve; otherwise replies follow, also from within the call. */
    Cancel serve(DelegatedRequest order, const Reply &reply);

private:
    using Routes = std::shared_ptr<const RouteTable>;

    bool canServe(TimePoint now, const Route &route, const DelegatedRequest &order) const;
    /** Checks the request by this entry's table and prepares it for upstreams. */
    bool isAuthenticated(const RouteTable &routes, const Route &route, ForwardedRequest &request) const;
    Cancel serveGroup(const Routes &routes, const Route &route, DelegatedRequest order, const Reply &reply);
    Cancel serveWhole(const Routes &routes, const Route &route, ForwardedRequest request, const Reply &reply);

    EntryTraffic &m_traffic;
};

} // namespace hickoryspur
