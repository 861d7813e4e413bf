#include "request/DelegatedServer.h"

#include "request/ActiveRequest.h"

#include <boost/fiber/fiber.hpp>

namespace hickoryspur {

bool EntryTraffic::DelegatedServer::canServe(TimePoint now, const Route &route, const DelegatedRequest &order) const
{
    const bool isWhole = order.shards.empty();
    return m_traffic.m_serving && !m_traffic.isCutOff() && order.deadlineMicros > 0 && (isWhole || route.isScattered())
        && m_traffic.canFinish(now, route, order.request);
}

bool EntryTraffic::DelegatedServer::isAuthenticated(const RouteTable &routes, const Route &route,
                                                    ForwardedRequest &request) const
{
    const auto failure = m_traffic.m_authenticator.checkDelegated(routes, route, request);
    if (failure)
        logUnauthenticated(request, route, *failure);
    return !failure;
}

EntryTraffic::DelegatedServer::Cancel EntryTraffic::DelegatedServer::serve(DelegatedRequest order, const Reply &reply)
{
    if (order.timeoutMicros > 0)
        order.request.timeout = Duration(order.timeoutMicros);
    const Routes routes = m_traffic.m_routes;
    const Route *route = routes ? routes->find(order.request.host, order.request.path) : nullptr;
    if (!route || !canServe(monotonicNow(), *route, order) || !isAuthenticated(*routes, *route, order.request)) {
        DelegatedReply refusal;
        refusal.refused = true;
        reply(std::move(refusal));
        return [] {};
    }
    if (order.shards.empty())
        return serveWhole(routes, *route, std::move(order.request), reply);
    return serveGroup(routes, *route, std::move(order), reply);
}

EntryTraffic::DelegatedServer::Cancel EntryTraffic::DelegatedServer::serveGroup(const Routes &routes,
                                                                                const Route &route,
                                                                                DelegatedRequest order,
                                                                                const Reply &reply)
{
    const TimePoint now = monotonicNow();
    auto active = std::make_shared<ActiveRequest>(
        m_traffic, routes, route, std::move(order.request), false, [] { return false; },
        std::make_shared<RequestUsage>());
    GroupOrder group;
    group.shards = std::move(order.shards);
    group.maxSkipped = order.maxSkipped;
    group.reportAt = now + Duration(order.targetMicros);
    group.deadline = now + Duration(order.deadlineMicros);
    group.report = [reply](GroupReport report) {
        DelegatedReply message;
        message.group = std::move(report);
        reply(std::move(message));
    };
    active->serveGroup(std::move(group));
    return [weak = std::weak_ptr<ActiveRequest>(active)] {
        if (const std::shared_ptr<ActiveRequest> running = weak.lock())
            running->abandon();
    };
}

EntryTraffic::DelegatedServer::Cancel EntryTraffic::DelegatedServer::serveWhole(const Routes &routes,
                                                                                const Route &route,
                                                                                ForwardedRequest request,
                                                                                const Reply &reply)
{
    auto cancelled = std::make_shared<bool>(false);
    boost::fibers::fiber([&traffic = m_traffic, routes, &route, request = std::move(request), reply, cancelled] {
        DelegatedReply message;
        const auto usage = std::make_shared<RequestUsage>();
        message.answer.push_back(traffic.serveHere(
            routes, route, request, [cancelled] { return *cancelled; }, usage));
        message.group.begunMicrosAgo = begunMicrosAgo(monotonicNow(), *usage);
        reply(std::move(message));
    }).detach();
    return [cancelled] { *cancelled = true; };
}

} // namespace hickoryspur
