#include "app/RequestParameters.h"

#include "hickoryspur/process/Check.h"

#include <charconv>

namespace hickoryspur {

Result<int64_t> parseWholeNumber(const std::string &text, const std::string &name, int64_t fallback, int64_t maxValue)
{
    if (text.empty())
        return fallback;
    int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0 || value > maxValue)
        return HS_USER_ERROR(ResultCode::MalformedRequest) << name << " must be a whole number from 0 to " << maxValue;
    return value;
}

Result<double> parseShare(const std::string &text, const std::string &name)
{
    if (text.empty())
        return 0.0;
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    // Written so that "nan" is refused as well.
    const bool inRange = value >= 0 && value <= 1;
    if (error != std::errc() || end != text.data() + text.size() || !inRange)
        return HS_USER_ERROR(ResultCode::MalformedRequest) << name << " must be a number from 0 to 1";
    return value;
}

} // namespace hickoryspur
