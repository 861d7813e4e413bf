// The operators' subcommands of the binary: check, format, submit, promote, status, data-centre and the
// others. Each has --help, prints its result and exits with the code of the result-code table.
#pragma once

#include "app/CheckRoutesCommand.h"

#include <string>
#include <vector>

namespace hickoryspur {

/** Runs one subcommand with its arguments; returns the exit code. `readRoutes` decodes files of routes. */
int runOperatorCommand(const std::string &name, const std::vector<std::string> &arguments,
                       const ReadRoutes &readRoutes);

/** The subcommands' names and one line on each, for the general help. */
std::string operatorCommandList();

} // namespace hickoryspur
