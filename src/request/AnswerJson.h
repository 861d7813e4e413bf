// The JSON bodies and HTTP statuses of answers to callers: an answer with its coverage, or a failure with its code.
#pragma once

#include "hickoryspur/process/View.h"
#include "hickoryspur/request/FanOut.h"

#include <string>

namespace hickoryspur {

std::string answerJson(const FanOutAnswer &answer);
/** With a view, the body lists the addresses of the offered entries, which the caller may use instead. */
std::string failureJson(const Failure &failure, const View *view);
/** The answer to GET /v1/entries. */
std::string entriesJson(const View &view, const DataCentreName &nearest, const NodeId &self);
unsigned httpStatus(ResultCode code);

} // namespace hickoryspur
