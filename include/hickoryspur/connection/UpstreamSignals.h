// What an upstream says of itself in its answers. The platform adapter decodes it into this message.
#pragma once

#include <optional>

namespace hickoryspur {

struct UpstreamSignals
{
    /** Requests a second that the upstream takes from all entries together, as long as it says so; positive. */
    std::optional<double> requestsPerSecond;
};

} // namespace hickoryspur
