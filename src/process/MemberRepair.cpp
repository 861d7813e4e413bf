#include "hickoryspur/process/MemberRepair.h"

#include <algorithm>

namespace hickoryspur {

std::optional<Membership> nextRepairStep(const Membership &current,
                                         const std::function<bool(const MemberId &)> &isCaughtUp)
{
    const auto learner = std::find_if(current.learners.begin(), current.learners.end(), isCaughtUp);
    if (learner == current.learners.end())
        return std::nullopt;
    Membership next = current;
    const auto sameHost = [&](const MemberId &voter) { return voter.node == learner->node; };
    const auto replaced = std::find_if(next.voters.begin(), next.voters.end(), sameHost);
    if (replaced != next.voters.end()) {
        next.voters.erase(replaced);
        return next;
    }
    next.voters.push_back(*learner);
    std::erase(next.learners, *learner);
    return next;
}

} // namespace hickoryspur
