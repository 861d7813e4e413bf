// Decides when a query whose shards are divided among several entries (ShardGroups) is answered, and which
// group is sent again. It counts parts over all groups; which replica of a shard is asked, hedges and retries
// are decided where the group is served (ScatterGather).
//
// A group that is refused has provably not run and goes to another entry. A group that is lost with its entry
// may have run, and each of its shards may have used up its attempts, so it is not sent again: its parts count
// as missing.
//
// It does no I/O. The caller reports time and events, and executes the returned actions.
#pragma once

#include "hickoryspur/process/Time.h"
#include "hickoryspur/request/ScatterGather.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace hickoryspur {

struct GroupPlan
{
    /** Number of shards in each group. */
    std::vector<size_t> sizes;
    /** Number of shards that must have answered before an answer may be given. */
    size_t minParts = 1;
    /** From this time on, an answer with at least minParts parts is given without waiting for the rest. */
    TimePoint targetTime;
    /** The request times out at this time. */
    TimePoint deadline;
};

struct GroupActions
{
    /** Groups to send to an entry that has not had them. */
    std::vector<size_t> dispatches;
    std::optional<ScatterOutcome> outcome;
};

class GroupGather
{
public:
    /** Entries to which one group is sent, one after the other. */
    static constexpr size_t kMaxDispatches = 3;

    explicit GroupGather(GroupPlan plan);

    GroupActions start();
    /** More parts of a group have come, at most missingParts(); with `ended` none follow, and the rest is lost. */
    GroupActions partsArrived(TimePoint now, size_t group, size_t parts, bool ended, bool mayHaveRun);
    /** The group has provably not run where it was sent. */
    GroupActions groupRefused(TimePoint now, size_t group);
    /** The entry that had the group is gone, or cannot be heard. */
    GroupActions groupLost(TimePoint now, size_t group);
    /** Handles the target time and the deadline. */
    GroupActions tick(TimePoint now);
    /** The next time at which tick() must be called. */
    TimePoint nextWake(TimePoint now) const;

    size_t answeredParts() const { return m_answered; }
    size_t shardCount() const { return m_shardCount; }
    bool hasEnded(size_t group) const { return m_groups[group].ended; }
    /** Shards of the group that have not answered; no entry can send more parts than that. */
    size_t missingParts(size_t group) const { return m_plan.sizes[group] - m_groups[group].answered; }
    /** How many of the shards that the plan allows to be missing each group may leave out; their sum is at most that.
     */
    std::vector<size_t> skippable() const;

private:
    struct Group
    {
        size_t answered = 0;
        size_t dispatches = 0;
        bool ended = false;
        bool mayHaveRun = false;
    };

    GroupActions finishIfDue(TimePoint now);

    GroupPlan m_plan;
    std::vector<Group> m_groups;
    size_t m_shardCount = 0;
    size_t m_answered = 0;
    /** Shards of ended groups that have not answered. */
    size_t m_lost = 0;
    bool m_finished = false;
};

} // namespace hickoryspur
