// Reviews a table of routes before it is put in force: its errors, entries that have no effect, limits that contradict
// each other, and its differences from another table. It uses no network, and no finding contains a key.
#pragma once

#include "hickoryspur/version/RouteTable.h"

#include <string>
#include <vector>

namespace hickoryspur {

enum class FindingSeverity {
    /** A difference from the other table; nothing is wrong. */
    Difference,
    /** Accepted, but probably a mistake. */
    Warning,
    /** The table is refused, or all requests to which the entry applies fail. */
    Error,
};

enum class FindingSubject { Table, Limits, Route, Service, Customer };

/** What a finding is about. */
struct FindingPlace
{
    FindingSubject subject = FindingSubject::Table;
    /** Name of the route, service or customer; empty for the others. */
    std::string name;
    bool operator==(const FindingPlace &) const = default;
};

struct Finding
{
    FindingSeverity severity = FindingSeverity::Error;
    FindingPlace place;
    std::string message;
};

/** Errors and warnings of one table; empty if there are none. Includes all that checkRouteTable() reports. */
std::vector<Finding> reviewRouteTable(const RouteTable &table);

/**
 * How `table` differs from `previous`, which it is to replace. Routes, services and customers are compared by name;
 * keys are shown as numbers and short digests.
 */
std::vector<Finding> compareRouteTables(const RouteTable &previous, const RouteTable &table);

std::string severityName(FindingSeverity severity);
/** For example "route label"; control characters in names are replaced. */
std::string describePlace(const FindingPlace &place);
/** The finding on one line without its end. */
std::string describeFinding(const Finding &finding);

} // namespace hickoryspur
