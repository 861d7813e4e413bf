// Orders of an operator as a control host receives them. An order whose text is not of the required shape is refused.
// An earlier release may have accepted it, and an accepted order that is sent again is never refused: it is
// acknowledged while it is in place.
#pragma once

#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/ResultCode.h"
#include "hickoryspur/process/Time.h"
#include "hickoryspur/version/TrafficMove.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickoryspur {

/** Puts routes in force. */
struct RoutesOrder
{
    /** Of several accepted orders, the one with the highest number is in force. */
    uint64_t number = 0;
    std::string text;
    /** Where the text is not of the required shape; see DecodedRoutes. */
    std::vector<std::string> violations;
};

/** Moves the traffic of a service to a version. */
struct MoveOrder
{
    ServiceName service;
    VersionName version;
    /** The move is to be done within this time. */
    Duration within = Duration::zero();
    /** Like those of RoutesOrder. */
    std::vector<std::string> violations;
};

/** Takes a data centre out of service, or brings it back. */
struct DataCentreOrder
{
    DataCentreName dataCentre;
    bool out = false;
    /** Like those of RoutesOrder. */
    std::vector<std::string> violations;
};

/** Fails with MalformedRequest and the violations of the order, if it has any, unless it is the one in place. */
Result<void> checkShape(const RoutesOrder &order, const AcceptedRoutes &inPlace);

/** The same; `inPlace` is the move of the order's service, if one was ordered. */
Result<void> checkShape(const MoveOrder &order, const std::optional<MoveState> &inPlace);

/** The same, also unless it brings back what is out; `out` are the names of the data centres that are. */
Result<void> checkShape(const DataCentreOrder &order, const std::set<std::string> &out);

} // namespace hickoryspur
