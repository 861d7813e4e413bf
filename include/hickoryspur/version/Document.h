// The document of one environment: which services are served, to which callers, with what
// objectives, and which version of its upstreams each service should be on. parseDocument() checks
// all of it and reports every error with its line. docs/operators/document.md lists each field.
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
    /** How long after the document came in force the move should be done. */
    Duration within = 30min;
    /** The largest share of a service's queries that the first stage may send to the new version. */
    double firstShare = 0.02;
    /** One answer may mix this version with the one before it. */
    bool compatible = false;
};

struct Objectives
{
    /** Share of queries to be answered within the service's deadline. */
    double inTime = 0.99;
    /** Share of answers to have full coverage. */
    double fullCoverage = 0.999;
};

struct ServiceConfig
{
    ServiceName name;
    std::vector<CallerName> callers;
    /** The longest a caller may let a query take, and the default. */
    Duration deadline = 340ms;
    /** A snapshot may be older than the newest by this many snapshots. */
    uint64_t snapshotsBehind = 2;
    double minCoverage = 0;
    std::optional<WantedVersion> version;
    Objectives objectives;
};

struct CallerConfig
{
    CallerName name;
    /** The caller's part of an overloaded entry, relative to the others. */
    uint32_t weight = 1;
};

struct Document
{
    std::map<ServiceName, ServiceConfig> services;
    std::map<CallerName, CallerConfig> callers;
    std::vector<DataCentreName> dataCentres;

    const ServiceConfig *find(const ServiceName &service) const;
    bool allows(const ServiceName &service, const CallerName &caller) const;
};

Result<Document> parseDocument(const std::string &text, const std::string &source);

} // namespace hickoryspur
