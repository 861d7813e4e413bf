// The classes of HTTP status codes that an answer may have (RFC 9110, section 15).
#pragma once

namespace hickoryspur {

/** An answer with this status precedes the final one. 101 does not: no request of this program offers an upgrade. */
constexpr bool isInterimStatus(unsigned status)
{
    constexpr unsigned kSwitchingProtocols = 101;
    return status >= 100 && status < 200 && status != kSwitchingProtocols;
}

/** An answer with this status ends its request. */
constexpr bool isFinalStatus(unsigned status)
{
    return status >= 200 && status < 600;
}

/** Whether a final answer with this status may have a body. */
constexpr bool allowsBody(unsigned status)
{
    constexpr unsigned kNoContent = 204;
    constexpr unsigned kNotModified = 304;
    return status != kNoContent && status != kNotModified;
}

} // namespace hickoryspur
