// The document of one environment: which services are served, to which callers, with which
// objectives, and which version of its upstreams each service should run. parseDocument() validates
// the whole document and reports every error with its line. docs/operators/document.md lists each field.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/ResultCode.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

struct WantedVersion
{
    VersionName name;
    /** Time for the move, counted from when the document comes in force. */
    Duration within = 30min;
    /** Maximum share of the service's queries that the first stage sends to the new version. */
    double firstShare = 0.02;
    /** One answer may combine results of this version and of the previous one. */
    bool compatible = false;
};

struct Objectives
{
    /** Share of queries that have to be answered within the service's deadline. */
    double inTime = 0.99;
    /** Share of answers that have to have full coverage. */
    double fullCoverage = 0.999;
};

struct ServiceConfig
{
    ServiceName name;
    std::vector<CallerName> callers;
    /** Maximum and default deadline of a query. */
    Duration deadline = 340ms;
    /** How many snapshots a query may lag behind the newest one. */
    uint64_t snapshotsBehind = 2;
    /** Minimum share of the shards that an answer has to cover. */
    double minCoverage = 0;
    std::optional<WantedVersion> version;
    Objectives objectives;
};

struct CallerConfig
{
    CallerName name;
    /** The caller's share of an overloaded entry, relative to the other callers. */
    uint32_t weight = 1;
};

struct Document
{
    std::map<ServiceName, ServiceConfig> services;
    std::map<CallerName, CallerConfig> callers;
    std::vector<DataCentreName> dataCentres;

    /** Returns null if the service is not in the document. */
    const ServiceConfig *find(const ServiceName &service) const;
    bool allows(const ServiceName &service, const CallerName &caller) const;
};

/** Parses YAML text; `source` is the name that error messages give before the line number. */
Result<Document> parseDocument(const std::string &text, const std::string &source);

/** The same for a text that has been accepted, in which an earlier release has passed over fields that are there twice.
 */
Result<Document> parseAcceptedDocument(const std::string &text, const std::string &source);

} // namespace hickoryspur
