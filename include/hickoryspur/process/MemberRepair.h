// Decides the next membership change that repairs the control group. A host with a new disk joins as a
// learner. Once the learner has caught up, the host's old member is removed from the voters, and only
// then does the learner become a voter. A learner on a new host becomes a voter while there are fewer
// than maxVoters.
//
// A voter that has ended still counts towards majorities, so the group tolerates one loss less until it
// is removed. It is removed soon where the remaining voters then tolerate more: if their number is even,
// since the majority shrinks, and if a learner can take its place. Otherwise it stays for longer, as a
// restart would bring it back, and there are always at least minVoters. Each step adds or removes at
// most one voter, so the majorities before and after it overlap.
#pragma once

#include "hickoryspur/process/ReplicatedLog.h"

#include <functional>
#include <limits>
#include <optional>

namespace hickoryspur {

/** The state of the members, and the limits for the number of voters. */
struct RepairInputs
{
    /** True for a learner that holds every committed entry and answers. */
    std::function<bool(const MemberId &)> isCaughtUp;
    /** True if the member does not answer, although it may be restarting. If empty, all members answer. */
    std::function<bool(const MemberId &)> isSilent;
    /** True if the member has not answered for so long that it counts as lost. If empty, no member is lost. */
    std::function<bool(const MemberId &)> isLost;
    size_t maxVoters = std::numeric_limits<size_t>::max();
    /** A silent or lost voter is removed only while there are more voters than this. */
    size_t minVoters = std::numeric_limits<size_t>::max();
};

/** The next membership; nullopt if there is nothing to repair or a learner must catch up first. */
std::optional<Membership> nextRepairStep(const Membership &current, const RepairInputs &inputs);

} // namespace hickoryspur
