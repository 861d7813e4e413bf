// Decides the next step of repairing the voters of the control group. A new disk of a known host
// joins as a learner; once it is caught up, the old member of the same host leaves the voters, and
// only then does the learner vote. A learner of a new host votes while there is room, and a voter
// that has long been silent leaves while enough others remain. Each step is one membership change,
// so any two consecutive majorities meet.
#pragma once

#include "hickoryspur/process/ReplicatedLog.h"

#include <functional>
#include <limits>
#include <optional>

namespace hickoryspur {

/** What is known of the members, and how many of them should vote. */
struct RepairInputs
{
    std::function<bool(const MemberId &)> isCaughtUp;
    /** The member has not answered for so long that it is taken for lost; none is where this is empty. */
    std::function<bool(const MemberId &)> isLost;
    size_t maxVoters = std::numeric_limits<size_t>::max();
    /** A lost voter is removed only while more than this many vote. */
    size_t minVoters = std::numeric_limits<size_t>::max();
};

/** The next membership, or nothing while there is nothing to repair or a learner is still behind. */
std::optional<Membership> nextRepairStep(const Membership &current, const RepairInputs &inputs);

} // namespace hickoryspur
