// Settings of one process in a deployment whose hosts find each other through seeds: its role,
// listening addresses, seeds, data folder and limits. They are read from YAML; parsing checks every
// field and reports all errors at once. docs/operators/settings.md describes each field.
#pragma once

#include "hickoryspur/process/ByteBudget.h"
#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

enum class HostRole { Entry, Control };

/** In which order an entry starts requests when not all can start at once. */
enum class AdmissionMode {
    /** Each starts on arrival. */
    Arrival,
    /** By what their delay or refusal costs callers, see RequestAdmission; entries share the load of upstreams. */
    Cost,
};

struct HostSettings
{
    std::string name;
    HostRole role = HostRole::Entry;
    DataCentreName dataCentre;
    /** Where other hickoryspur processes connect. A control host's internal address is also its NodeId. */
    HostAddress internalAddress;
    /** Set for entries: where callers connect, and where readiness checks connect. */
    std::optional<HostAddress> callerAddress;
    std::optional<HostAddress> readinessAddress;
    /** Control hosts only: where upstreams and operators connect, and where callers look up entries. */
    std::optional<HostAddress> controlAddress;
    std::optional<HostAddress> directoryAddress;
    /** Where GET /metrics is served; if unset, it is not served. */
    std::optional<HostAddress> metricsAddress;
    /** Control addresses of some control hosts. A process discovers all other hosts from them. */
    std::vector<HostAddress> seeds;
    std::string dataFolder;
    /** The whole deployment starts for the first time, with empty data folders. */
    bool firstStart = false;
    /** Time from the stop signal until the process is killed. */
    Duration grace = 6s;
    /**
     * Limit on extra sub-requests (hedges and retries) to one service, over all entries together: extraShare
     * times the first sub-requests in a window, plus extraSlack a window.
     */
    double extraShare = 0.2;
    double extraSlack = 50;
    /** How long an upstream goes on serving after it has said that it is leaving. */
    Duration upstreamDrainTime = 3s;
    /** Limit on the bytes that all connections hold together; see ByteBudget. */
    size_t connectionBytes = ByteBudget::kDefaultLimitBytes;
    /** Entries only. */
    AdmissionMode admission = AdmissionMode::Arrival;
    /** Upper bound of directoryValidity(). */
    Duration maxDirectoryValidity = 5s;
    /** Control hosts only: the service that usage is reported to; if unset, nothing is reported. */
    std::optional<HostAddress> usageAddress;
    /** Length of a usage window; window k begins k times this after the start of 1970. */
    Duration usageWindow = 5s;
    /** Time from the end of a usage window until its report is due. */
    Duration usageDue = 10s;
    /** How long a host has to lead before it acquires a duty that another host holds. */
    Duration dutyLease = 3s;
    /** Calls a second to the service of usageAddress, by all hosts together. */
    double dutyRate = 50;

    /**
     * How long a caller may cache the addresses of the entries. Derived from the grace period, so that a stopping
     * entry still serves callers with a cached answer.
     */
    Duration directoryValidity() const;
    /** Time from when an entry starts to stop until the last caller with a cached answer has left it. */
    Duration callerDrainTime() const;
    NodeId id() const { return NodeId(internalAddress.text()); }
    /** NodeIds of the seeds: their addresses with our internal port, since it is the same on all hosts. */
    std::vector<NodeId> seedIds() const;
};

Result<HostSettings> parseHostSettings(const std::string &text, const std::string &source);

} // namespace hickoryspur
