// The JSON texts that callers get: an answer with its coverage, or a refusal with its code.
#pragma once

#include "hickoryspur/process/View.h"
#include "hickoryspur/request/FanOut.h"

#include <string>

namespace hickoryspur {

std::string answerJson(const FanOutAnswer &answer);
/** entries names where to ask instead; it may be empty. */
std::string failureJson(const Failure &failure, const View *view);
/** The answer to GET /v1/entries. */
std::string entriesJson(const View &view, const DataCentreName &nearest, const NodeId &self);
unsigned httpStatus(ResultCode code);

} // namespace hickoryspur
