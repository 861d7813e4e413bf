// What control hosts and entries of one deployment tell each other over their sessions, besides the
// replicated log. An entry says that it is there and whether callers may be sent to it; a control
// host sends the accepted configuration, what it hears of upstreams, and who the control hosts are.
#pragma once

#include "hickoryspur/connection/Announcement.h"
#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/LogQuorum.h"

#include <string>
#include <vector>

namespace hickoryspur {

/** From an entry to each control host, several times a second. */
struct EntryStatus
{
    NodeId entry;
    /** Where callers connect, as ip:port. */
    std::string callerAddress;
    DataCentreName dataCentre;
    /** Callers may be sent to it: it knows the configuration and is not stopping. */
    bool offered = false;
    /** It does not know yet what is in force, and asks for the host's log. */
    bool needsState = false;
    MSGPACK_DEFINE(entry, callerAddress, dataCentre, offered, needsState)
};

/** From a control host to an entry: all it knows on connecting, then what has changed. */
struct EntryUpdate
{
    /** The sender leads and a majority has confirmed it, so nothing newer is acknowledged anywhere. */
    bool confirmed = false;
    /** Log index of the state that `routes` and `dataCentresOut` come from. */
    uint64_t applied = 0;
    /** Number 0 where the routes are as sent before. */
    AcceptedRoutes routes;
    bool carriesState = false;
    std::vector<std::string> dataCentresOut;
    std::vector<Announcement> upstreams;
    /** Upstreams of which another heartbeat without news has come. */
    std::vector<UpstreamId> heartbeats;
    /** The two lists below are told when they have changed since the last update on this session. */
    bool carriesHosts = false;
    /** Addresses of the entries to which callers may be sent. */
    std::vector<std::string> entries;
    std::vector<NodeId> controlHosts;
    /** At most one: the host's log, for an entry that needs its state. */
    std::vector<LogReport> logReport;
    MSGPACK_DEFINE(confirmed, applied, routes, carriesState, dataCentresOut, upstreams, heartbeats, carriesHosts,
                   entries, controlHosts, logReport)
};

} // namespace hickoryspur
