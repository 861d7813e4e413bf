#include "hickoryspur/version/RouteTable.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace hickoryspur {

namespace {

double totalWeight(const Route &route)
{
    return std::accumulate(route.services.begin(), route.services.end(), 0.0,
                           [](double sum, const WeightedService &part) { return sum + part.weight; });
}

void checkServices(const RouteTable &table, const Route &route, std::vector<std::string> &errors)
{
    const auto check = [&](const ServiceName &service) {
        if (!table.services.contains(service))
            errors.push_back("route " + route.name + " refers to the unknown service " + service.value());
    };
    for (const WeightedService &part : route.services)
        check(part.service);
    std::for_each(route.shards.begin(), route.shards.end(), check);
}

void checkRoute(const RouteTable &table, const Route &route, std::vector<std::string> &errors)
{
    if (route.services.empty() && route.shards.empty())
        errors.push_back("route " + route.name + " has neither services nor shards");
    if (!route.services.empty() && totalWeight(route) <= 0)
        errors.push_back("the weights of route " + route.name + " have no positive sum");
    if (std::any_of(route.services.begin(), route.services.end(), [](const auto &part) { return part.weight < 0; }))
        errors.push_back("route " + route.name + " has a negative weight");
    if (route.timeout <= Duration::zero())
        errors.push_back("route " + route.name + " needs a timeout above zero");
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/')
        errors.push_back("the prefix of route " + route.name + " does not begin and end with a slash");
    const std::set<ServiceName> distinct(route.shards.begin(), route.shards.end());
    if (distinct.size() != route.shards.size())
        errors.push_back("route " + route.name + " lists a shard twice");
    checkServices(table, route, errors);
}

} // namespace

const ServiceName &Route::pickService(double draw) const
{
    double remaining = draw * totalWeight(*this);
    for (const WeightedService &part : services) {
        remaining -= part.weight;
        if (remaining < 0 && part.weight > 0)
            return part.service;
    }
    return services.back().service;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const Route &route : routes)
        if (route.host == host && path.starts_with(route.pathPrefix)
            && (!best || route.pathPrefix.size() > best->pathPrefix.size()))
            best = &route;
    return best;
}

std::vector<std::string> checkRouteTable(const RouteTable &table)
{
    std::vector<std::string> errors;
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const Route &route : table.routes) {
        checkRoute(table, route, errors);
        if (!hostsAndPrefixes.emplace(route.host, route.pathPrefix).second)
            errors.push_back("two routes share the host " + route.host + " and the prefix " + route.pathPrefix);
    }
    errors.insert(errors.end(), table.customers.errors().begin(), table.customers.errors().end());
    return errors;
}

} // namespace hickoryspur
