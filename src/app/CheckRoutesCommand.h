// The parts of the subcommand check-routes: it reads files of routes, reviews them, and prints the findings.
// docs/operators/check-routes.md describes it.
#pragma once

#include "hickoryspur/process/ResultCode.h"
#include "hickoryspur/version/RouteTableReview.h"

#include <functional>
#include <string>
#include <vector>

namespace hickoryspur {

/** Decodes a text of routes, which may be invalid; see HostCodec::readRoutes. */
using ReadRoutes = std::function<Result<DecodedRoutes>(const std::string &)>;

/**
 * The findings on the routes in the file, and its differences from the file `against`, if that is not empty. Text that
 * cannot be decoded is a finding in the first file and a failure in the second, in which violations are passed over:
 * an earlier release may have accepted it.
 */
Result<std::vector<Finding>> checkRoutes(const std::string &file, const std::string &against,
                                         const ReadRoutes &readRoutes);

/** One line for each finding, or a JSON list; neither ends with a newline. */
std::string printFindings(const std::vector<Finding> &findings, bool asJson);
/** For example "1 errors, 2 warnings, 0 differences". */
std::string countFindings(const std::vector<Finding> &findings);
/** DocumentInvalid for errors, DocumentQuestionable for warnings only, else Ok: differences alone are no fault. */
ResultCode resultOfFindings(const std::vector<Finding> &findings);

} // namespace hickoryspur
