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

/** Removes the first voter that matches, unless there are no more than minVoters. */
std::optional<Membership> removeOneVoter(const Membership &current, size_t minVoters,
                                         const std::function<bool(const MemberId &)> &matches)
{
    if (!matches || current.voters.size() <= minVoters)
        return std::nullopt;
    Membership next = current;
    const auto voter = std::find_if(next.voters.begin(), next.voters.end(), matches);
    if (voter == next.voters.end())
        return std::nullopt;
    next.voters.erase(voter);
    return next;
}

std::optional<Membership> removeOneLearner(const Membership &current,
                                           const std::function<bool(const MemberId &)> &matches)
{
    if (!matches)
        return std::nullopt;
    Membership next = current;
    const auto learner = std::find_if(next.learners.begin(), next.learners.end(), matches);
    if (learner == next.learners.end())
        return std::nullopt;
    next.learners.erase(learner);
    return next;
}

} // namespace

std::optional<Membership> nextRepairStep(const Membership &current, const RepairInputs &inputs)
{
    bool hasSpare = false;
    for (const MemberId &learner : current.learners) {
        if (!inputs.isCaughtUp(learner))
            continue;
        if (std::optional<Membership> next = admitCaughtUpLearner(current, learner, inputs.maxVoters))
            return next;
        hasSpare = true;
    }
    const bool isEven = current.voters.size() % 2 == 0;
    if (hasSpare || isEven)
        if (std::optional<Membership> next = removeOneVoter(current, inputs.minVoters, inputs.isSilent))
            return next;
    if (std::optional<Membership> next = removeOneLearner(current, inputs.isLost))
        return next;
    return removeOneVoter(current, inputs.minVoters, inputs.isLost);
}

} // namespace hickoryspur
