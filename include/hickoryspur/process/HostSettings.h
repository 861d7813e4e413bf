// The settings of one process of a deployment whose hosts find each other through seeds, read from
// YAML: the role, where it listens, the seeds, the data folder and the bounds it must keep.
// docs/operators/settings.md lists each field. Loading checks all of them and names every error.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

enum class HostRole { Entry, Control };

struct HostSettings
{
    std::string name;
    HostRole role = HostRole::Entry;
    DataCentreName dataCentre;
    /** Where our own processes connect. Of a control host it is also the name in the control group. */
    HostAddress internalAddress;
    /** An entry's address for callers, and for checks of whether it is ready. */
    std::optional<HostAddress> callerAddress;
    std::optional<HostAddress> readinessAddress;
    /** A control host's address for upstreams and operators, and for callers who look for entries. */
    std::optional<HostAddress> controlAddress;
    std::optional<HostAddress> directoryAddress;
    /** Where counters are read at /metrics; none are served where it is left out. */
    std::optional<HostAddress> metricsAddress;
    /** Control addresses of some control hosts; the only hosts that a process is told of. */
    std::vector<HostAddress> seeds;
    std::string dataFolder;
    /** The whole deployment starts for the first time, with empty folders. */
    bool firstStart = false;
    /** A stopping process is killed after this long. */
    Duration grace = 6s;
    /** Extra sub-requests for a service, by all entries: a share of the requests and a number a window. */
    double extraShare = 0.2;
    double extraSlack = 50;
    /** How long a caller may keep the answer to where the entries are. */
    Duration maxDirectoryValidity = 5s;

    /** How long a directory answer holds: as long as an entry that stops can go on serving those who keep it. */
    Duration directoryValidity() const;
    /** From when callers hear that an entry stops until the last of them has left it. */
    Duration callerDrainTime() const;
    NodeId id() const { return NodeId(internalAddress.text()); }
    /** The seeds as they are named in the control group: internal ports are the same on all hosts. */
    std::vector<NodeId> seedIds() const;
};

Result<HostSettings> parseHostSettings(const std::string &text, const std::string &source);

} // namespace hickoryspur
