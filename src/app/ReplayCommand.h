// Replays a recorded trace of a traffic move through the TrafficMove that the product runs, and compares
// the outcome with an expected one. A trace has one JSON value per line: first the initial state of the
// move, then one window of observations per second. docs/operators/replay.md describes both files.
#pragma once

#include "hickoryspur/process/ResultCode.h"
#include "hickoryspur/version/Observation.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace hickoryspur {

/** A summary to print, or ReplayMismatch with the actual and the expected outcome. */
Result<std::string> replayMove(const std::string &trace, const std::string &expectation, const std::string &source);

/** The observations of one version in a line of a trace, to and from JSON. */
nlohmann::json observationToJson(const VersionObservation &observation);
VersionObservation observationFromJson(const nlohmann::json &json);

} // namespace hickoryspur
