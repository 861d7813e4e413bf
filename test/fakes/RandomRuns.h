// Seeded random runs of control state, each of one matter under all faults of the fakes at once. A
// broken rule throws std::logic_error with the seed's story; the soak program runs them for longer.
#pragma once

#include "fakes/ControlGroup.h"

namespace hickoryspur {

/** Operators race each other with documents; whatever was acknowledged stays, in its order. */
void runDocuments(uint64_t seed, uint64_t steps, Mutations mutations);
/** Entries claim the same keys at once, crash and resend; no key is dispatched twice. */
void runClaims(uint64_t seed, uint64_t steps, Mutations mutations);
/** Control hosts lose their disks one after the other, each repaired before the next. */
void runRepairs(uint64_t seed, uint64_t steps, Mutations mutations);

} // namespace hickoryspur
