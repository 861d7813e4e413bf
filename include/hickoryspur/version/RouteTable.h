// The routes of one accepted configuration: which requests are served, by which services, and within
// which limits. A request finds its route by host and longest path prefix. checkRouteTable() lists
// everything that makes a table unusable; a table that passes it can be put in force.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

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
    /** The request may run more than once. */
    bool idempotent = false;
    Duration timeout = 1s;
    /** An answer within this time is worth most to the caller. */
    Duration targetLatency = 1s;
    /** 0 is the most urgent. */
    int priority = 0;
    /** Replicas that one caller's request may be sent to, for each shard. */
    uint32_t attempts = 1;
    /** One service, or several that share the requests by weight; empty where the route has shards. */
    std::vector<WeightedService> services;
    /** Every one of these answers with a part of the whole. */
    std::vector<ServiceName> shards;
    uint32_t topRecords = 0;
    /** The least share of the shards that makes an answer. */
    double minCoverage = 1;

    bool isScattered() const { return !shards.empty(); }
    /** The service for a draw from 0 (inclusive) to 1 (exclusive), by weight. */
    const ServiceName &pickService(double draw) const;
};

struct ServiceSpec
{
    ServiceName name;
    /** Connections that one upstream accepts from all entries together. */
    uint32_t connectionLimit = 1;
    /** Requests a second that a cold upstream bears; zero where nothing is stated. */
    double coldRequestsPerSecond = 0;
};

/** What a caller may send, and how long a connection may be silent. */
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

    /** The route with the longest prefix of the path on that host; null where there is none. */
    const Route *find(std::string_view host, std::string_view path) const;
};

/** One line for each thing that makes the table unusable; empty where it is in order. */
std::vector<std::string> checkRouteTable(const RouteTable &table);

} // namespace hickoryspur
