// Numbers in the header fields and parameters of requests. A text that is not wholly such a number is a user error that
// names the field, never a default value.
#pragma once

#include "hickoryspur/process/ResultCode.h"

#include <cstdint>
#include <string>

namespace hickoryspur {

/** Parses a whole number from 0 to `maxValue`; an empty text gives the fallback. Fails with MalformedRequest. */
Result<int64_t> parseWholeNumber(const std::string &text, const std::string &name, int64_t fallback, int64_t maxValue);

/** Parses a share from 0 to 1; an empty text gives 0. Fails with MalformedRequest. */
Result<double> parseShare(const std::string &text, const std::string &name);

} // namespace hickoryspur
