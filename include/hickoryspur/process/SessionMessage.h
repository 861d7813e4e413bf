// The messages between control hosts and entries on their sessions, besides those of the replicated
// log. An entry sends its status and whether callers may be sent to it. A control host sends the
// accepted configuration, the heartbeats of upstreams, and the lists of entries and control hosts.
#pragma once

#include "hickoryspur/connection/Announcement.h"
#include "hickoryspur/connection/LoadReport.h"
#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/EntryLocation.h"
#include "hickoryspur/process/LogQuorum.h"
#include "hickoryspur/request/RequestQuarantine.h"

#include <map>
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
    /** True if callers may be sent to this entry: it knows the configuration and is not stopping. */
    bool offered = false;
    /** True while the entry doesn't know what is in force; it then asks for the host's log. */
    bool needsState = false;
    /** Number of the routes that the entry has in force; zero if it has none. */
    uint64_t routesNumber = 0;
    /** Sub-requests that it sent lately, on average. */
    double subRequestsPerSecond = 0;
    /** Until when the next status follows, in milliseconds. */
    uint32_t intervalMillis = 0;
    /** The entry reads routes whose text is compressed; one of an earlier release does not. */
    bool readsCompressed = false;
    /** RoutesVersion::digest of the routes that the entry has in force. */
    uint64_t routesDigest = 0;
    /** What the entry knows of requests that end upstreams. */
    std::vector<SuspectReport> suspects;
    /** The entry reaches no upstream; other entries serve its callers' requests. */
    bool cutOff = false;
    /** What the entry sees of loaded upstreams; sent to the leader only, and only with AdmissionMode::Cost. */
    std::vector<LoadRow> load;
    MSGPACK_DEFINE(entry, callerAddress, dataCentre, offered, needsState, routesNumber, subRequestsPerSecond,
                   intervalMillis, readsCompressed, routesDigest, suspects, cutOff, load)
};

/** From a control host to an entry: first its complete state, then the changes. */
struct EntryUpdate
{
    /** True if the sender leads and a majority has confirmed that, so no newer state is acknowledged anywhere. */
    bool confirmed = false;
    /** Log index of the state that `routes`, `dataCentresOut` and `moves` come from. */
    uint64_t applied = 0;
    /** Has number 0 if the routes have not changed since they were last sent. */
    AcceptedRoutes routes;
    /** True if `dataCentresOut` and `moves` are set, and `routes` unless its number is 0. */
    bool carriesState = false;
    std::vector<std::string> dataCentresOut;
    std::vector<Announcement> upstreams;
    /** Upstreams that sent a heartbeat whose contents are unchanged. */
    std::vector<UpstreamId> heartbeats;
    /** True if the two lists below are set, which is when they have changed since the last update on this session. */
    bool carriesHosts = false;
    /** Addresses of the entries that callers may be sent to. */
    std::vector<std::string> entries;
    std::vector<NodeId> controlHosts;
    /** The report on the sender's log, for an entry with needsState set; otherwise empty. */
    std::vector<LogReport> logReport;
    /** The packed state of each service's move between versions. */
    std::map<std::string, std::string> moves;
    /** Number of the routes in the state at `applied`, which may be sent separately. */
    uint64_t routesNumber = 0;
    /** Entries with a session at the sender, whether or not callers are sent to them. */
    uint32_t sessions = 0;
    /** The text of `routes` is compressed. */
    bool compressedRoutes = false;
    /** RoutesVersion::digest of the routes in the state at `applied`. */
    uint64_t routesDigest = 0;
    /** What any entry has reported of requests that end upstreams. */
    std::vector<SuspectReport> suspects;
    /** The data centre of each of `entries`; empty from a host of an earlier release. */
    std::vector<DataCentreName> entryDataCentres;
    /** The sender's wall clock in milliseconds since 1970; 0 from a host of an earlier release. */
    int64_t clockMillis = 0;
    /** From the confirmed leader: the load of upstreams over all entries; empty if there is no news of it. */
    std::vector<SharedLoadReport> load;
    MSGPACK_DEFINE(confirmed, applied, routes, carriesState, dataCentresOut, upstreams, heartbeats, carriesHosts,
                   entries, controlHosts, logReport, moves, routesNumber, sessions, compressedRoutes, routesDigest,
                   suspects, entryDataCentres, clockMillis, load)

    void setEntries(const std::vector<EntryLocation> &locations);
    std::vector<EntryLocation> entryLocations() const;
};

} // namespace hickoryspur
