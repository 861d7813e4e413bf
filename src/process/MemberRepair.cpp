#include "hickoryspur/process/MemberRepair.h"

#include <algorithm>

namespace hickoryspur {

namespace {

std::optional<Membership> admitCaughtUpLearner(const Membership &current, const MemberId &learner, size_t maxVoters)
{
    Membership next = current;
    const auto sameHost = [&](const MemberId &voter) { return voter.node == learner.node; };
    const auto replaced = std::find_if(next.voters.begin(), next.voters.end(), sameHost);
    if (replaced != next.voters.end()) {
        next.voters.erase(replaced);
        return next;
    }
    if (next.voters.size() >= maxVoters)
        return std::nullopt;
    next.voters.push_back(learner);
    std::erase(next.learners, learner);
    return next;
}

std::optional<Membership> removeOneLostMember(const Membership &current, const RepairInputs &inputs)
{
    Membership next = current;
    const auto learner = std::find_if(next.learners.begin(), next.learners.end(), inputs.isLost);
    if (learner != next.learners.end()) {
        next.learners.erase(learner);
        return next;
    }
    const auto voter = std::find_if(next.voters.begin(), next.voters.end(), inputs.isLost);
    if (voter == next.voters.end() || next.voters.size() <= inputs.minVoters)
        return std::nullopt;
    next.voters.erase(voter);
    return next;
}

} // namespace

std::optional<Membership> nextRepairStep(const Membership &current, const RepairInputs &inputs)
{
    for (const MemberId &learner : current.learners) {
        if (!inputs.isCaughtUp(learner))
            continue;
        if (std::optional<Membership> next = admitCaughtUpLearner(current, learner, inputs.maxVoters))
            return next;
    }
    return inputs.isLost ? removeOneLostMember(current, inputs) : std::nullopt;
}

} // namespace hickoryspur
