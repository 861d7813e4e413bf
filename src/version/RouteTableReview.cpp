#include "hickoryspur/version/RouteTableReview.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace hickoryspur {

namespace {

/** Each attempt is a full run at an upstream, so with more of them one failing service multiplies its own load. */
constexpr uint32_t kMaxUsefulAttempts = 8;
/** More changed keys of a customer are only counted, so that a finding stays readable on one line. */
constexpr size_t kMaxDigests = 4;
/** Keeps a product such as 0.9 * 10 from being rounded up to the next whole part. */
constexpr double kCoverageRounding = 1e-9;

using Findings = std::vector<Finding>;

std::string describe(bool value)
{
    return value ? "yes" : "no";
}

std::string describe(uint64_t value)
{
    return std::to_string(value);
}

std::string describe(double value)
{
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.')
        text.pop_back();
    return text;
}

std::string describe(Duration value)
{
    return describe(toMilliseconds(value)) + " ms";
}

std::string describe(const std::string &value)
{
    return '"' + value + '"';
}

std::string describe(const std::optional<int> &priority)
{
    return priority ? std::to_string(*priority) : "that of the route";
}

std::string describe(const std::vector<ServiceName> &services)
{
    std::string text;
    for (const ServiceName &service : services)
        text += (text.empty() ? "" : ", ") + service.value();
    return '[' + text + ']';
}

std::string describe(const std::vector<WeightedService> &services)
{
    std::string text;
    for (const WeightedService &part : services)
        text += (text.empty() ? "" : ", ") + part.service.value() + " weight " + describe(part.weight);
    return '[' + text + ']';
}

/** Whether a host without a port can have this character (RFC 3986, reg-name and IP-literal). */
bool isHostCharacter(char c)
{
    constexpr std::string_view punctuation = "-._~%!$&'()*+,;=:[]";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
        || punctuation.find(c) != std::string_view::npos;
}

/** Requests are matched by host without the port. */
bool hasPort(const std::string &host)
{
    const size_t bracket = host.rfind(']');
    return host.find(':', bracket == std::string::npos ? 0 : bracket) != std::string::npos;
}

bool hasUpperCase(const std::string &text)
{
    return std::any_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

/** Whether the path of a request can begin with this prefix: visible ASCII without a query or fragment. */
bool isPossiblePrefix(const std::string &prefix)
{
    return std::all_of(prefix.begin(), prefix.end(),
                       [](unsigned char c) { return c > 0x20 && c < 0x7f && c != '?' && c != '#'; });
}

/** Adds findings about one place. */
class FindingsAt
{
public:
    FindingsAt(Findings &findings, FindingPlace place)
        : m_findings(findings)
        , m_place(std::move(place))
    {
    }

    void errorIf(bool condition, const std::string &message) { addIf(condition, FindingSeverity::Error, message); }
    void warnIf(bool condition, const std::string &message) { addIf(condition, FindingSeverity::Warning, message); }
    void difference(const std::string &message) { addIf(true, FindingSeverity::Difference, message); }

    template <typename Value> void compare(const char *name, const Value &before, const Value &after)
    {
        if (const std::string was = describe(before), is = describe(after); was != is)
            difference(std::string(name) + ' ' + is + ", was " + was);
    }

private:
    void addIf(bool condition, FindingSeverity severity, const std::string &message)
    {
        if (condition)
            m_findings.push_back({severity, m_place, message});
    }

    Findings &m_findings;
    const FindingPlace m_place;
};

void reviewMatching(const Route &route, FindingsAt &at)
{
    const bool isPossible = std::all_of(route.host.begin(), route.host.end(), isHostCharacter);
    at.warnIf(route.host.empty(), "the host is empty: only requests without a host match");
    at.warnIf(!isPossible, "no request matches: the host has a character that is not allowed in a host");
    at.warnIf(hasPort(route.host), "no request matches: the host has a port, and requests are matched without it");
    at.warnIf(hasUpperCase(route.host),
              "the host has upper-case letters: only requests that spell it the same way match");
    at.warnIf(route.host.find('*') != std::string::npos, "the * in the host is compared literally");
    at.warnIf(!isPossiblePrefix(route.pathPrefix),
              "no request matches: the prefix has a character that is not allowed in a path");
}

void reviewTimes(const Route &route, FindingsAt &at)
{
    at.warnIf(route.timeout < route.targetLatency,
              "the timeout of " + describe(route.timeout) + " is below the target latency of "
                  + describe(route.targetLatency));
    at.warnIf(route.targetLatency <= Duration::zero(), "the target latency is not above zero");
}

void reviewAttempts(const Route &route, FindingsAt &at)
{
    at.warnIf(route.maxAttempts == 0, "0 attempts are taken as 1");
    at.warnIf(route.maxAttempts > kMaxUsefulAttempts,
              std::to_string(route.maxAttempts) + " attempts are more than " + std::to_string(kMaxUsefulAttempts)
                  + ": failures would multiply the load");
}

void reviewSplit(const Route &route, FindingsAt &at)
{
    at.warnIf(route.isScattered() && !route.services.empty(), "the services are not used, since the route has shards");
    for (const WeightedService &part : route.services)
        at.warnIf(part.weight == 0, "service " + part.service.value() + " has weight 0 and gets no requests");
}

void reviewShards(const Route &route, FindingsAt &at)
{
    if (!route.isScattered())
        return;
    const auto shards = static_cast<double>(route.shards.size());
    const double needed = std::ceil(route.minCoverage * shards - kCoverageRounding);
    at.errorIf(route.minCoverage > 1, "the minimum coverage is above 1, which no answer reaches");
    at.warnIf(route.minCoverage < 0, "the minimum coverage is below 0");
    at.warnIf(shards > 1 && needed == shards,
              "the minimum coverage of " + describe(route.minCoverage) + " needs all "
                  + std::to_string(route.shards.size()) + " shards: requests fail if one is lost");
    at.warnIf(route.topRecords == 0, "merged answers have 0 records");
}

void reviewRoute(const Route &route, FindingsAt at)
{
    reviewMatching(route, at);
    reviewTimes(route, at);
    reviewAttempts(route, at);
    reviewSplit(route, at);
    reviewShards(route, at);
}

/** Services to which some route sends requests or that some route names; weights are reviewed with the route. */
std::set<ServiceName> usedServices(const RouteTable &table)
{
    std::set<ServiceName> used;
    for (const Route &route : table.routes) {
        used.insert(route.shards.begin(), route.shards.end());
        for (const WeightedService &part : route.services)
            used.insert(part.service);
    }
    return used;
}

void reviewServices(const RouteTable &table, Findings &findings)
{
    const std::set<ServiceName> used = usedServices(table);
    for (const auto &[name, service] : table.services) {
        FindingsAt at(findings, {FindingSubject::Service, name.value()});
        at.warnIf(!used.contains(name), "no route uses the service");
        at.warnIf(service.connectionLimit == 0,
                  "the limit of 0 connections is not kept: each entry opens at least one");
        at.warnIf(service.coldRequestsPerSecond < 0, "a negative rate of cold upstreams counts as unspecified");
    }
}

void reviewLimits(const CallerLimits &limits, FindingsAt at)
{
    at.errorIf(limits.headerBytes == 0, "the limit of 0 header bytes refuses every request");
    at.warnIf(limits.bodyBytes == 0, "the limit of 0 body bytes refuses every request with a body");
    at.warnIf(limits.headerTimeout <= Duration::zero(), "the header timeout is not above zero");
    at.warnIf(limits.idleTimeout <= Duration::zero(), "the idle timeout is not above zero");
}

void reviewCustomers(const RouteTable &table, Findings &findings)
{
    const std::vector<Customer> &customers = table.customers.customers();
    for (size_t customer = 0; customer < customers.size(); ++customer)
        FindingsAt(findings, {FindingSubject::Customer, customers[customer].name.value()})
            .warnIf(table.customers.digestsOf(customer).empty(), "without keys, no request has this customer");
    const bool allExempt =
        std::all_of(table.routes.begin(), table.routes.end(), [](const Route &route) { return route.authExempt; });
    FindingsAt(findings, {})
        .warnIf(!customers.empty() && !table.routes.empty() && allExempt,
                "the customers are not used, since all routes are exempt from authentication");
}

void reviewRoutes(const RouteTable &table, Findings &findings)
{
    std::map<std::string, size_t> counts;
    for (const Route &route : table.routes) {
        FindingsAt at(findings, {FindingSubject::Route, route.name});
        at.warnIf(++counts[route.name] == 2, "several routes have this name");
        reviewRoute(route, at);
    }
    FindingsAt(findings, {}).warnIf(table.routes.empty(), "there are no routes: no request is served");
}

void compareRoute(const Route &before, const Route &after, FindingsAt at)
{
    at.compare("host", before.host, after.host);
    at.compare("prefix", before.pathPrefix, after.pathPrefix);
    at.compare("idempotent", before.idempotent, after.idempotent);
    at.compare("timeout", before.timeout, after.timeout);
    at.compare("target latency", before.targetLatency, after.targetLatency);
    at.compare("priority", std::optional(before.priority), std::optional(after.priority));
    at.compare("attempts", uint64_t{before.maxAttempts}, uint64_t{after.maxAttempts});
    at.compare("services", before.services, after.services);
    at.compare("shards", before.shards, after.shards);
    at.compare("merged records", uint64_t{before.topRecords}, uint64_t{after.topRecords});
    at.compare("minimum coverage", before.minCoverage, after.minCoverage);
    at.compare("exempt from authentication", before.authExempt, after.authExempt);
}

void compareService(const ServiceSpec &before, const ServiceSpec &after, FindingsAt at)
{
    at.compare("connections", uint64_t{before.connectionLimit}, uint64_t{after.connectionLimit});
    at.compare("requests per second of cold upstreams", before.coldRequestsPerSecond, after.coldRequestsPerSecond);
}

void compareLimits(const CallerLimits &before, const CallerLimits &after, FindingsAt at)
{
    at.compare("header bytes", uint64_t{before.headerBytes}, uint64_t{after.headerBytes});
    at.compare("body bytes", before.bodyBytes, after.bodyBytes);
    at.compare("header timeout", before.headerTimeout, after.headerTimeout);
    at.compare("idle timeout", before.idleTimeout, after.idleTimeout);
}

struct CustomerView
{
    Customer customer;
    /** Sorted. */
    std::vector<KeyDigest> keys;
};

/** For example "2 keys added (0a1b2c3d, 4e5f6071)". */
std::string describeKeys(const std::vector<KeyDigest> &keys, const char *change)
{
    std::string text = std::to_string(keys.size()) + (keys.size() == 1 ? " key " : " keys ") + change;
    if (keys.size() > kMaxDigests)
        return text;
    std::string digests;
    for (const KeyDigest &key : keys)
        digests += (digests.empty() ? "" : ", ") + shortDigest(key);
    return text + " (" + digests + ')';
}

std::vector<KeyDigest> keysOnlyIn(const std::vector<KeyDigest> &keys, const std::vector<KeyDigest> &others)
{
    std::vector<KeyDigest> result;
    std::set_difference(keys.begin(), keys.end(), others.begin(), others.end(), std::back_inserter(result));
    return result;
}

void compareCustomer(const CustomerView &before, const CustomerView &after, FindingsAt at)
{
    at.compare("priority", before.customer.priority, after.customer.priority);
    if (const auto added = keysOnlyIn(after.keys, before.keys); !added.empty())
        at.difference(describeKeys(added, "added"));
    if (const auto removed = keysOnlyIn(before.keys, after.keys); !removed.empty())
        at.difference(describeKeys(removed, "removed"));
}

/** Compares the entries that both have with `compare`, and reports those that only one has. */
template <typename Entries, typename Compare>
void compareEntries(const Entries &before, const Entries &after, FindingSubject subject, const Compare &compare,
                    Findings &findings)
{
    for (const auto &[name, entry] : before)
        if (!after.contains(name))
            FindingsAt(findings, {subject, name.value()}).difference("removed");
    for (const auto &[name, entry] : after) {
        FindingsAt at(findings, {subject, name.value()});
        if (const auto found = before.find(name); found == before.end())
            at.difference("added");
        else
            compare(found->second, entry, at);
    }
}

using RouteKey = StrongId<struct RouteKeyTag, std::string>;

/** By name; of several routes with one name, the first. */
std::map<RouteKey, Route> routesByName(const RouteTable &table)
{
    std::map<RouteKey, Route> routes;
    for (const Route &route : table.routes)
        routes.emplace(RouteKey(route.name), route);
    return routes;
}

std::map<CustomerName, CustomerView> customersByName(const CustomerTable &table)
{
    std::map<CustomerName, CustomerView> customers;
    for (size_t customer = 0; customer < table.customers().size(); ++customer) {
        const Customer &entry = table.customers()[customer];
        customers.emplace(entry.name, CustomerView{entry, table.digestsOf(customer)});
    }
    return customers;
}

std::string withoutControlCharacters(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    return text;
}

} // namespace

std::vector<Finding> reviewRouteTable(const RouteTable &table)
{
    Findings findings;
    for (const std::string &error : checkRouteTable(table)) {
        Finding &finding = findings.emplace_back();
        finding.severity = FindingSeverity::Error;
        finding.message = error;
    }
    reviewRoutes(table, findings);
    reviewServices(table, findings);
    reviewLimits(table.limits, {findings, {FindingSubject::Limits, ""}});
    reviewCustomers(table, findings);
    return findings;
}

std::vector<Finding> compareRouteTables(const RouteTable &previous, const RouteTable &table)
{
    Findings findings;
    FindingsAt at(findings, {});
    at.errorIf(table.number <= previous.number,
               "version " + std::to_string(table.number) + " is not above version " + std::to_string(previous.number)
                   + ", which it is to replace");
    at.warnIf(table.customers.empty() && !previous.customers.empty(),
              "without customers, requests are no longer authenticated");
    compareEntries(routesByName(previous), routesByName(table), FindingSubject::Route, compareRoute, findings);
    compareEntries(previous.services, table.services, FindingSubject::Service, compareService, findings);
    compareLimits(previous.limits, table.limits, {findings, {FindingSubject::Limits, ""}});
    compareEntries(customersByName(previous.customers), customersByName(table.customers), FindingSubject::Customer,
                   compareCustomer, findings);
    return findings;
}

std::string severityName(FindingSeverity severity)
{
    switch (severity) {
    case FindingSeverity::Difference:
        return "difference";
    case FindingSeverity::Warning:
        return "warning";
    case FindingSeverity::Error:
        return "error";
    }
    return "";
}

std::string describePlace(const FindingPlace &place)
{
    const std::string name = withoutControlCharacters(place.name);
    switch (place.subject) {
    case FindingSubject::Table:
        return "configuration";
    case FindingSubject::Limits:
        return "limits";
    case FindingSubject::Route:
        return "route " + name;
    case FindingSubject::Service:
        return "service " + name;
    case FindingSubject::Customer:
        return "customer " + name;
    }
    return "";
}

std::string describeFinding(const Finding &finding)
{
    return severityName(finding.severity) + ": " + describePlace(finding.place) + ": "
        + withoutControlCharacters(finding.message);
}

} // namespace hickoryspur
