// Runs one host of a deployment from its settings file until it is told to stop. SIGHUP, or another
// content of the file, applies the settings that may change while it runs.
#pragma once

#include "app/HostCodec.h"

#include <string>

namespace hickoryspur {

/** Returns the process's exit code. */
int runHost(const std::string &settingsPath, const HostCodec &codec);

} // namespace hickoryspur
