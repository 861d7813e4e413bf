// Decides the next membership change that repairs the control group. A host with a new disk joins as a
// learner. Once the learner has caught up, the host's old member is removed from the voters, and only
// then does the learner become a voter. A learner on a new host becomes a voter while there are fewer
// than maxVoters. A lost learner is removed, and a lost voter while there are more than minVoters.
// Each step adds or removes at most one voter, so the majorities before and after it overlap.
#pragma once

#include "hickoryspur/process/ReplicatedLog.h"

#include <functional>
#include <limits>
#include <optional>

namespace hickoryspur {

/** The state of the members, and the limits for the number of voters. */
struct RepairInputs
{
    std::function<bool(const MemberId &)> isCaughtUp;
    /** True if the member has not answered for so long that it counts as lost. If empty, no member is lost. */
    std::function<bool(const MemberId &)> isLost;
    size_t maxVoters = std::numeric_limits<size_t>::max();
    /** A lost voter is removed only while there are more voters than this. */
    size_t minVoters = std::numeric_limits<size_t>::max();
};

/** The next membership; nullopt if there is nothing to repair or a learner must catch up first. */
std::optional<Membership> nextRepairStep(const Membership &current, const RepairInputs &inputs);

} // namespace hickoryspur
