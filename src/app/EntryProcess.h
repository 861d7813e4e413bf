// Implements `hickoryspur serve`: connects the peer links, the control thread and the traffic threads
// of one node. On SIGTERM or SIGINT it lets running requests finish before it exits.
#pragma once

#include "hickoryspur/process/Settings.h"

namespace hickoryspur {

/** Serves until SIGTERM or SIGINT; returns the process's exit code. */
int serve(const Settings &settings);

} // namespace hickoryspur
