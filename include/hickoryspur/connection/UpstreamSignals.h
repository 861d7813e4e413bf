// What an upstream says of itself in its answers. The platform adapter decodes it into this message.
#pragma once

#include "hickoryspur/process/Time.h"

#include <optional>

namespace hickoryspur {

struct UpstreamSignals
{
    /** Requests a second that the upstream takes from all entries together, as long as it says so; positive. */
    std::optional<double> requestsPerSecond;
    /** It has refused a request and wants no more from this entry for so long; positive. */
    std::optional<Duration> pause;
    /** It ends soon and takes no new requests; said in all its answers from then on. */
    bool leaving = false;
};

} // namespace hickoryspur
