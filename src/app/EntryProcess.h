// The whole of `hickoryspur serve`: links, control thread and traffic threads of one node, wired
// together. It runs until it is told to stop, then shuts down without cutting a request.
#pragma once

#include "hickoryspur/process/Settings.h"

namespace hickoryspur {

/** Serves until SIGTERM or SIGINT; returns the process's exit code. */
int serve(const Settings &settings);

} // namespace hickoryspur
