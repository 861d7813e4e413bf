// The decisions of one request: to which replica of each shard it goes, when a slow one is hedged
// and a failed one retried, and when the answer is good enough to give. A request to one service is
// a run of one shard. It answers the load pattern of replicas that stand still for a moment: a part
// that is late is asked for elsewhere at once, and an answer that lacks a part is given at the
// target latency rather than a whole one long after it. A shard whose replicas are all overrun or
// gone is left out at once while enough others can answer: waiting for it would make the answer late,
// and sending to it would lengthen the queues that keep it from answering at all.
//
// It does no I/O. The caller feeds it time and the ends of attempts, and carries out what it returns.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/request/ReplicaTracker.h"

#include <functional>
#include <optional>
#include <vector>

namespace hickoryspur {

struct ScatterPlan
{
    std::vector<ServiceName> shards;
    /** Replicas of one shard on which the request may run. */
    uint32_t maxAttempts = 1;
    /** Answered shards that make an answer. */
    size_t minParts = 1;
    /** May run more than once; else it is sent again only where it has surely not run. */
    bool idempotent = false;
    /** From here on an answer of at least minParts is given. */
    TimePoint targetTime;
    /** The final answer is given by then, whatever it is. */
    TimePoint deadline;
    /** An attempt that takes longer is overdue, and hedged where the request is idempotent. */
    Duration hedgeAfter = 50ms;
};

/** A replica that is to be asked. */
struct ReplicaChoice
{
    UpstreamId id;
    /** Every replica is as unlikely to answer in time; this is the best of them. */
    bool degraded = false;
};

struct ScatterHooks
{
    /** A replica for the service, none of those tried already; nothing where there is none. */
    std::function<std::optional<ReplicaChoice>(const ServiceName &, const std::vector<UpstreamId> &tried)> choose;
    /** Takes one extra sub-request from the service's budget where it allows one. */
    std::function<bool(const ServiceName &)> tryConsumeBudget;
    /** An attempt at this replica has become overdue. */
    std::function<void(const UpstreamId &)> reportOverdue;
};

struct AttemptKey
{
    uint32_t shard = 0;
    uint32_t attempt = 0;
    auto operator<=>(const AttemptKey &) const = default;
};

struct SendAttempt
{
    AttemptKey key;
    UpstreamId upstream;
};

enum class ScatterOutcome {
    /** Every shard has answered. */
    Complete,
    /** Enough have, and the rest is late or lost. */
    Partial,
    /** Too few have; something ran or may have run. */
    Failed,
    /** Too few can answer, and nothing has run or will run. */
    NotRun,
    /** The deadline has passed. */
    TimedOut,
};

struct ScatterActions
{
    std::vector<SendAttempt> sends;
    std::optional<ScatterOutcome> outcome;
};

class ScatterGather
{
public:
    ScatterGather(ScatterPlan plan, ScatterHooks hooks);

    ScatterActions start(TimePoint now);
    ScatterActions attemptEnded(TimePoint now, AttemptKey key, AttemptOutcome outcome);
    /** Something may be due: an overdue attempt, the target latency or the deadline. */
    ScatterActions tick(TimePoint now);
    /** When tick() has something to do next. */
    TimePoint nextWake(TimePoint now) const;

    size_t answeredParts() const { return m_answered; }
    /** True while no upstream has run the request or may yet run it. */
    bool provablyNotRun() const { return m_possibleRuns == 0; }
    /** The attempt was slow; its end tells how slow. */
    bool wasOverdue(AttemptKey key) const { return m_shards[key.shard].attempts[key.attempt].overdue; }
    /** For the log: each shard without an answer, with the replicas that were asked and how long ago. */
    std::string describeUnanswered(TimePoint now) const;

private:
    struct Attempt
    {
        UpstreamId upstream;
        TimePoint sentAt;
        bool running = true;
        bool overdue = false;
    };
    struct Shard
    {
        std::vector<Attempt> attempts;
        /** Attempts that ran or may have run. */
        uint32_t possibleRuns = 0;
        bool answered = false;
        bool lost = false;
        /** Left out without being asked; counts as lost until it is needed. */
        bool skipped = false;
    };

    void skipDegraded();
    void sendToSkipped(TimePoint now, ScatterActions &actions);
    bool trySend(TimePoint now, uint32_t index, bool isExtra, ScatterActions &actions);
    void handleFailure(TimePoint now, uint32_t index, AttemptOutcome outcome, ScatterActions &actions);
    void hedgeOverdue(TimePoint now, ScatterActions &actions);
    void finishIfDue(TimePoint now, ScatterActions &actions);
    static bool hasRunning(const Shard &shard);

    ScatterPlan m_plan;
    ScatterHooks m_hooks;
    std::vector<Shard> m_shards;
    size_t m_answered = 0;
    size_t m_lost = 0;
    size_t m_possibleRuns = 0;
    /** Extra sub-requests that the budget did not allow. */
    size_t m_deniedExtras = 0;
    bool m_finished = false;
};

} // namespace hickoryspur
