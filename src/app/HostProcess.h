// Implements `hickoryspur host`: runs one host of a deployment from its settings file until SIGTERM or
// SIGINT. The file is read again on SIGHUP and periodically; if its content has changed, the settings
// that may change at run time are applied.
#pragma once

#include "app/HostCodec.h"

#include <string>

namespace hickoryspur {

/** Returns the process's exit code. */
int runHost(const std::string &settingsPath, const HostCodec &codec);

} // namespace hickoryspur
