// The routes of one accepted configuration: which requests are served, by which services, and within
// which limits. A request is matched by host and longest path prefix. checkRouteTable() lists every
// error in a table; a table without errors can be put in force.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"
#include "hickoryspur/version/CustomerTable.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryspur {

/** One part of a weighted split. */
struct WeightedService
{
    ServiceName service;
    double weight = 0;
};

struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    /** Whether a request may run more than once. */
    bool idempotent = false;
    Duration timeout = 1s;
    /** Latency within which an answer has its full value to the caller. */
    Duration targetLatency = 1s;
    /** 0 is the highest priority. */
    int priority = 0;
    /** Maximum number of replicas that one request is sent to, for each shard. */
    uint32_t maxAttempts = 1;
    /** One service, or several that share the requests by weight; empty if the route has shards. */
    std::vector<WeightedService> services;
    /** Services that each return one part of the answer. */
    std::vector<ServiceName> shards;
    /** Number of records in an answer that is merged from the shards. */
    uint32_t topRecords = 0;
    /** Minimum share of the shards that have to answer. */
    double minCoverage = 1;
    /** Requests are not authenticated, and upstreams are not told a customer. */
    bool authExempt = false;

    bool isScattered() const { return !shards.empty(); }
    /** Picks a service by weight; `draw` is a uniform random number in [0, 1). */
    const ServiceName &pickService(double draw) const;
};

struct ServiceSpec
{
    ServiceName name;
    /** Number of connections that one upstream accepts from all entries together. */
    uint32_t connectionLimit = 1;
    /** Requests per second that a cold upstream can handle; zero if unspecified. */
    double coldRequestsPerSecond = 0;
};

/** Limits on the size of a caller's request, and timeouts of its connection. */
struct CallerLimits
{
    uint32_t headerBytes = 16U * 1024;
    uint64_t bodyBytes = 256ULL * 1024;
    Duration headerTimeout = 3s;
    Duration idleTimeout = 15s;
};

struct RouteTable
{
    uint64_t number = 0;
    std::vector<Route> routes;
    std::map<ServiceName, ServiceSpec> services;
    CallerLimits limits;
    /** If there are any, requests need the key of one, except on exempt routes. */
    CustomerTable customers;

    /** The route on that host with the longest matching prefix of the path; null if none matches. */
    const Route *find(std::string_view host, std::string_view path) const;
};

/** What a text of routes says. */
struct DecodedRoutes
{
    RouteTable table;
    /**
     * Where the text is not of the required shape, one message for each; empty if it is. An earlier release may have
     * accepted it all the same, and the table is what that release read.
     */
    std::vector<std::string> violations;
};

/** Returns one message for each error in the table; empty if the table is valid. */
std::vector<std::string> checkRouteTable(const RouteTable &table);

} // namespace hickoryspur
