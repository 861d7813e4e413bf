// Replays a recorded trace of a traffic move through the same TrafficMove that the product runs, and
// compares its end with a stated outcome. A trace has one JSON value a line: first the move's start,
// then a window of observations a second. docs/operators/replay.md describes both files.
#pragma once

#include "hickoryspur/process/ResultCode.h"
#include "hickoryspur/version/Observation.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace hickoryspur {

/** The text to print, or ReplayMismatch with every difference from the expected outcome. */
Result<std::string> replayMove(const std::string &trace, const std::string &expectation, const std::string &source);

/** One line of a trace, as recorded and as replayed. */
nlohmann::json observationToJson(const VersionObservation &observation);
VersionObservation observationFromJson(const nlohmann::json &json);

} // namespace hickoryspur
