// The traffic of one entry: it finds the route of each caller's request, sends it directly to
// replicas of the services behind it, and answers. It owns what the entry knows of upstreams and
// what it has seen of them. Everything here runs on the entry's one traffic thread.
#pragma once

#include "connection/UpstreamConnections.h"
#include "hickoryspur/connection/ReplicaSubset.h"
#include "hickoryspur/connection/UpstreamRegistry.h"
#include "hickoryspur/request/Dialect.h"
#include "hickoryspur/request/ExtraBudget.h"
#include "hickoryspur/request/LatencyQuantile.h"
#include "hickoryspur/request/ReplicaBook.h"
#include "hickoryspur/request/ScatterRun.h"
#include "hickoryspur/version/RouteTable.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace hickoryspur {

struct TrafficConfig
{
    DataCentreName dataCentre;
    /** The part of the requests, and the number a window for all entries, that may be sent once more. */
    double extraShare = 0.2;
    double extraSlack = 50;
    uint64_t seed = 0;
};

/** The usual and the long latency of one route's sub-requests. */
struct RouteLatency
{
    explicit RouteLatency(double overdueQuantile)
        : overdue(overdueQuantile)
    {
    }
    LatencyQuantile usual{0.5};
    LatencyQuantile overdue;
};

class EntryTraffic
{
public:
    EntryTraffic(boost::asio::io_context &context, TrafficConfig config, Dialect dialect);

    /** Must be called on a fiber; returns with the final answer. */
    CallerAnswer serve(const CarriedRequest &request, const std::function<bool()> &gone);
    CallerAnswer refuse(RefusalKind kind);

    /** Takes the table in force where it is newer than the one in place. */
    void setRoutes(RouteTable table);
    void setDataCentresOut(std::vector<std::string> out);
    void setEntryCount(uint32_t entries);
    /** The entries that share the upstreams' connections, and which of them this one is. */
    void setEntries(const std::string &self, const std::vector<std::string> &entries)
    {
        m_subset.setEntries(self, entries);
    }
    void accept(TimePoint now, const Announcement &announcement);
    void heard(TimePoint now, const UpstreamId &upstream) { m_registry.recordHeartbeat(now, upstream); }
    void tick(TimePoint now);
    bool hasRoutes() const { return m_routes != nullptr; }
    uint64_t routesNumber() const { return m_routes ? m_routes->number : 0; }
    const CallerLimits &limits() const { return m_routes->limits; }

private:
    class Run;
    friend class Run;

    ScatterPlan makePlan(TimePoint now, const Route &route, const CarriedRequest &request);
    std::optional<ReplicaChoice> choose(const ServiceName &service, const std::vector<UpstreamId> &tried);
    bool takeExtra(const ServiceName &service);
    ExtraBudget &budget(const ServiceName &service);
    /** This entry's part of the extra sub-requests that all entries share. */
    double slackPerEntry() const;
    RouteLatency &latency(const Route &route);
    std::optional<UpstreamTarget> target(const UpstreamId &upstream) const;
    /** Tells of services that have lost or regained their upstreams, and counts what is known. */
    void noteServices(TimePoint now);
    uint32_t connectionsFor(const ServiceName &service) const;
    /** False where other entries hold the connections that the upstream accepts. */
    bool holdsConnections(const Announcement &announcement) const;
    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    boost::asio::io_context &m_context;
    TrafficConfig m_config;
    Dialect m_dialect;
    std::shared_ptr<const RouteTable> m_routes;
    std::set<std::string> m_out;
    uint32_t m_entries;
    UpstreamRegistry m_registry;
    ReplicaBook m_book;
    UpstreamConnections m_connections;
    ReplicaSubset m_subset;
    std::map<ServiceName, ExtraBudget> m_budgets;
    std::map<std::string, RouteLatency> m_latencies;
    /** Services of which an upstream was known when they were last looked at. */
    std::set<ServiceName> m_servedServices;
    TimePoint m_nextServiceLook;
    std::mt19937_64 m_random;
};

} // namespace hickoryspur
