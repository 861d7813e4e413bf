#include "hickoryspur/version/OperatorOrder.h"

#include <boost/algorithm/string/join.hpp>

namespace hickoryspur {

namespace {

Result<void> refuse(const std::vector<std::string> &violations)
{
    return failure(ResultCode::MalformedRequest, boost::algorithm::join(violations, "; "), true);
}

} // namespace

Result<void> checkShape(const RoutesOrder &order, const AcceptedRoutes &inPlace)
{
    const bool isInPlace = order.number == inPlace.number && order.text == inPlace.text;
    if (order.violations.empty() || isInPlace)
        return {};
    return refuse(order.violations);
}

Result<void> checkShape(const MoveOrder &order, const std::optional<MoveState> &inPlace)
{
    const bool isInPlace = inPlace && inPlace->to == order.version.value();
    if (order.violations.empty() || isInPlace)
        return {};
    return refuse(order.violations);
}

Result<void> checkShape(const DataCentreOrder &order, const std::set<std::string> &out)
{
    if (order.violations.empty() || out.contains(order.dataCentre.value()))
        return {};
    return refuse(order.violations);
}

} // namespace hickoryspur
