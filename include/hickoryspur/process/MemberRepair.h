// Decides the next step of replacing a control host whose disk was lost. The new disk joins as a
// learner; once it is caught up, the old member of the same host leaves the voters, and only then
// does the learner vote. Each step is one membership change, so any two consecutive majorities meet.
#pragma once

#include "hickoryspur/process/ReplicatedLog.h"

#include <functional>
#include <optional>

namespace hickoryspur {

/** The next membership, or nothing while there is nothing to repair or a learner is still behind. */
std::optional<Membership> nextRepairStep(const Membership &current,
                                         const std::function<bool(const MemberId &)> &isCaughtUp);

} // namespace hickoryspur
