#include "hickoryspur/request/GroupGather.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>
#include <numeric>

namespace hickoryspur {

GroupGather::GroupGather(GroupPlan plan)
    : m_plan(std::move(plan))
    , m_groups(m_plan.sizes.size())
    , m_shardCount(std::accumulate(m_plan.sizes.begin(), m_plan.sizes.end(), size_t(0)))
{
}

std::vector<size_t> GroupGather::skippable() const
{
    const size_t allowed = m_shardCount - std::min(m_shardCount, m_plan.minParts);
    std::vector<size_t> shares;
    size_t shardsBefore = 0;
    for (const size_t size : m_plan.sizes) {
        // Differences of rounded sums, so that the shares add up to what is allowed.
        shares.push_back(allowed * (shardsBefore + size) / m_shardCount - allowed * shardsBefore / m_shardCount);
        shardsBefore += size;
    }
    return shares;
}

GroupActions GroupGather::start()
{
    GroupActions actions;
    for (size_t group = 0; group < m_groups.size(); ++group) {
        ++m_groups[group].dispatches;
        actions.dispatches.push_back(group);
    }
    return actions;
}

GroupActions GroupGather::partsArrived(TimePoint now, size_t group, size_t parts, bool ended, bool mayHaveRun)
{
    Group &state = m_groups[group];
    if (m_finished || state.ended)
        return {};
    HS_INVARIANT(SingleDispatch, parts <= missingParts(group)) << "more parts than shards";
    state.answered += parts;
    m_answered += parts;
    state.mayHaveRun = state.mayHaveRun || mayHaveRun || parts > 0;
    state.ended = ended;
    if (ended)
        m_lost += m_plan.sizes[group] - state.answered;
    return finishIfDue(now);
}

GroupActions GroupGather::groupRefused(TimePoint now, size_t group)
{
    Group &state = m_groups[group];
    if (m_finished || state.ended)
        return {};
    if (state.dispatches >= kMaxDispatches || now >= m_plan.deadline)
        return partsArrived(now, group, 0, true, false);
    ++state.dispatches;
    GroupActions actions;
    actions.dispatches.push_back(group);
    return actions;
}

GroupActions GroupGather::groupLost(TimePoint now, size_t group)
{
    return partsArrived(now, group, 0, true, true);
}

GroupActions GroupGather::tick(TimePoint now)
{
    return m_finished ? GroupActions() : finishIfDue(now);
}

GroupActions GroupGather::finishIfDue(TimePoint now)
{
    GroupActions actions;
    const bool hasMinParts = m_answered >= m_plan.minParts;
    const bool allEnded = m_answered + m_lost == m_shardCount;
    if (m_answered == m_shardCount)
        actions.outcome = ScatterOutcome::Complete;
    else if (hasMinParts && (allEnded || now >= m_plan.targetTime))
        actions.outcome = ScatterOutcome::Partial;
    else if (m_shardCount - m_lost < m_plan.minParts)
        actions.outcome = ScatterOutcome::Failed;
    else if (now >= m_plan.deadline)
        actions.outcome = ScatterOutcome::TimedOut;
    m_finished = actions.outcome.has_value();
    // A group that has not ended may still run.
    const bool notRun = std::all_of(m_groups.begin(), m_groups.end(),
                                    [](const Group &group) { return group.ended && !group.mayHaveRun; });
    if (m_finished && !hasMinParts && notRun)
        actions.outcome = ScatterOutcome::NotRun;
    return actions;
}

TimePoint GroupGather::nextWake(TimePoint now) const
{
    return now < m_plan.targetTime ? std::min(m_plan.targetTime, m_plan.deadline) : m_plan.deadline;
}

} // namespace hickoryspur
