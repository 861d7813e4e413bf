// Random runs of control state, each repeatable from its seed. A run exercises one kind of operation
// while all faults of the fakes occur. On a broken rule it throws std::logic_error with the seed and
// the rule. CI runs a few seeds; the soak program runs more.
#pragma once

#include "fakes/ControlGroup.h"

namespace hickoryspur {

/** Two operators submit documents concurrently; every acknowledged version stays in the history under its number. */
void runDocuments(uint64_t seed, uint64_t steps, Mutations mutations);
/** Entries claim the same keys concurrently, crash and resend; no key is granted twice. */
void runClaims(uint64_t seed, uint64_t steps, Mutations mutations);
/** Control hosts lose their disks in turn, each repaired before the next; no acknowledged document is lost. */
void runRepairs(uint64_t seed, uint64_t steps, Mutations mutations);

} // namespace hickoryspur
