// What an adapter provides to run hosts of a deployment: how callers, upstreams and operators speak.
// The product's own side of it is ControlApi, which the adapter calls with decoded values.
#pragma once

#include "hickoryspur/connection/Announcement.h"
#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/Settings.h"
#include "hickoryspur/request/Dialect.h"
#include "hickoryspur/version/RouteTable.h"
#include "request/HttpCallerServer.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

/** What a control host does for upstreams and operators. All of it may be called on a fiber only. */
struct ControlApi
{
    /**
     * An upstream's heartbeat; every entry with a session has been told when it returns. Fails with NoEntryConnected
     * where there is none to tell: the upstream then turns to another control host.
     */
    std::function<Result<void>(const Announcement &)> announce;
    /** An upstream ends; incarnation 0 means the life that is known. Fails as announce does. */
    std::function<Result<void>(const UpstreamId &, uint64_t incarnation)> remove;
    /** Has routes accepted; NoLeader and OutcomeUnknown are for the caller to try again. */
    std::function<Result<void>(uint64_t number, const std::string &text)> replaceRoutes;
    /** The newest accepted routes; fails where this host cannot be sure which are. */
    std::function<Result<AcceptedRoutes>()> currentRoutes;
    std::function<Result<void>(const DataCentreName &, bool out)> setDataCentreOut;
    /** Stores the state of a service's move between versions, and reads it back. */
    std::function<Result<void>(const ServiceName &, const std::string &state)> setMove;
    std::function<Result<std::string>(const ServiceName &)> move;
    /** Control address of the host that leads, where it is another one and known. */
    std::function<std::optional<HostAddress>()> leader;
};

/** Entries to which callers may be sent, and how long that holds. */
struct EntryAddresses
{
    std::vector<std::string> addresses;
    Duration validity = 1s;
};

struct HostCodec
{
    Dialect traffic;
    std::function<Result<CarriedRequest>(CallerRequest)> decodeRequest;
    /** Decodes and checks; fails on what must not be accepted. */
    std::function<Result<RouteTable>(const std::string &)> parseRoutes;
    std::function<CallerResponse(const CallerRequest &, const ControlApi &)> control;
    /** The answer to a caller that looks for entries; nothing where this host cannot tell. */
    std::function<CallerResponse(const CallerRequest &, const std::optional<EntryAddresses> &)> directory;
    std::function<CallerResponse(const CallerRequest &, bool ready)> readiness;
};

} // namespace hickoryspur
