// The interface of an adapter that translates between the protocols of a deployment's callers,
// upstreams and operators and the product's types. HostCodec is what the adapter provides; ControlApi is
// what a control host provides, which the adapter calls with decoded values.
#pragma once

#include "hickoryspur/connection/Announcement.h"
#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/UsageReporter.h"
#include "hickoryspur/request/RequestCodec.h"
#include "hickoryspur/version/OperatorOrder.h"
#include "hickoryspur/version/RouteTable.h"
#include "hickoryspur/version/TrafficMove.h"
#include "request/HttpCallerServer.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

/** Operations of a control host for upstreams and operators. They must be called on a fiber. */
struct ControlApi
{
    /**
     * Accepts an upstream's heartbeat. On return a changed announcement has been sent to every entry with a session;
     * a heartbeat without changes follows with the next refresh of the sessions. Fails with NoEntryConnected if no
     * entry has a session; the upstream should then send to another control host.
     */
    std::function<Result<void>(const Announcement &)> announce;
    /** Deregisters an upstream; incarnation 0 means the registered incarnation. Fails as announce does. */
    std::function<Result<void>(const UpstreamId &, uint64_t incarnation)> remove;
    /**
     * Submits routes for acceptance; after NoLeader and OutcomeUnknown the caller should retry. Fails with
     * MalformedRequest if the order has violations and is not the one in place.
     */
    std::function<Result<void>(const RoutesOrder &)> replaceRoutes;
    /** The newest accepted routes; fails with NoLeader if no majority confirms this host's state. */
    std::function<Result<AcceptedRoutes>()> currentRoutes;
    /** Takes a data centre out or brings it back. A repeated order changes nothing. Fails with MalformedRequest as
     * above. */
    std::function<Result<void>(const DataCentreOrder &)> setDataCentreOut;
    /** Orders a move. A repeated order is accepted and changes nothing. Fails with MalformedRequest as above. */
    std::function<Result<void>(const MoveOrder &)> orderMove;
    /** The state of a service's move; nullopt if none was ordered. */
    std::function<Result<std::optional<MoveState>>(const ServiceName &)> move;
    /** Control address of the leader; nullopt if this host leads or the leader is unknown. */
    std::function<std::optional<HostAddress>()> leader;
};

/** Addresses of the entries that callers may use, and how long they may use them. */
struct EntryAddresses
{
    std::vector<std::string> addresses;
    Duration validity = 1s;
};

struct HostCodec
{
    RequestCodec traffic;
    std::function<Result<ForwardedRequest>(CallerRequest)> decodeRequest;
    /** Decodes a text of routes that this or an earlier release has accepted. */
    std::function<Result<RouteTable>(const std::string &)> parseRoutes;
    /** Answers a request at a control host's control address. */
    std::function<CallerResponse(const CallerRequest &, const ControlApi &)> control;
    /** Answers a caller's request for entry addresses; the addresses are nullopt if none is known. */
    std::function<CallerResponse(const CallerRequest &, const std::optional<EntryAddresses> &)> directory;
    /** Answers a check of whether an entry is ready to serve. */
    std::function<CallerResponse(const CallerRequest &, bool ready)> readiness;
    /** Encodes the report of a usage window; the same call gives the same bytes. */
    std::function<CallerRequest(const UsageCall &)> usageCall;
    /** Decodes the answer to a usageCall. */
    std::function<UsageOutcome(const CallerResponse &)> usageOutcome;
    /** Decodes a text of routes, which may be invalid; no failure or violation contains a key. */
    std::function<Result<DecodedRoutes>(const std::string &)> readRoutes;
};

} // namespace hickoryspur
