// Log lines and metrics on what upstreams say of themselves in their answers.
#pragma once

#include "hickoryspur/connection/UpstreamAdmission.h"

namespace hickoryspur {

/** Logs what an answer has changed, and counts it. `entries` share a limit. */
void reportSignals(const UpstreamId &upstream, uint64_t incarnation, const UpstreamSignals &signals,
                   const SignalChanges &changes, uint32_t entries);
/** Logs that requests go to the upstream again after a pause. */
void reportPauseEnded(const UpstreamId &upstream);
/** Sets the gauges of limited, paused and leaving upstreams. */
void reportCounts(const UpstreamAdmission::Counts &counts);

} // namespace hickoryspur
