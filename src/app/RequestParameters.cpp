#include "app/RequestParameters.h"

#include "hickoryspur/process/Check.h"
#include "process/Numbers.h"

namespace hickoryspur {

Result<int64_t> parseWholeNumber(const std::string &text, const std::string &name, int64_t fallback, int64_t maxValue)
{
    if (text.empty())
        return fallback;
    const std::optional<int64_t> value = parseWhole<int64_t>(text);
    if (!value || *value < 0 || *value > maxValue)
        return HS_USER_ERROR(ResultCode::MalformedRequest) << name << " must be a whole number from 0 to " << maxValue;
    return *value;
}

Result<double> parseShare(const std::string &text, const std::string &name)
{
    if (text.empty())
        return 0.0;
    const std::optional<double> value = parseWhole<double>(text);
    // Written so that "nan" is refused as well.
    const bool inRange = value && *value >= 0 && *value <= 1;
    if (!inRange)
        return HS_USER_ERROR(ResultCode::MalformedRequest) << name << " must be a number from 0 to 1";
    return *value;
}

} // namespace hickoryspur
