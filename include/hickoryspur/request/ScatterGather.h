// The state machine of one scatter-gather request. It decides which replica of each shard receives
// the request, when a slow attempt is hedged, when a failed attempt is retried, and when the answer
// is given. A request to a single service is a scatter over one shard.
//
// The policy is made for replicas that stall briefly. A late part is hedged to another replica at
// once, and at the target latency an answer with missing parts is given rather than a complete one
// much later. A shard whose replicas are all degraded or unreachable is skipped as long as enough
// other shards can answer: waiting for it would make the answer late, and sending to it would
// lengthen the queues that already delay it.
//
// A request may end each upstream that begins to run it. While no upstream has answered, a shard whose upstream
// closed the connection is held: another replica gets the request only after some upstream has answered it. If
// all of them did, which may also be due to connections that were idle for too long, one replica is probed.
//
// It does no I/O. The caller reports time and finished attempts, and executes the returned actions.
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
    /** Number of replicas of one shard on which the request may run. */
    uint32_t maxAttempts = 1;
    /** Number of shards that must have answered before an answer may be given. */
    size_t minParts = 1;
    /** The request may run more than once. Otherwise it is sent again only if it has provably not run. */
    bool idempotent = false;
    /** From this time on, an answer with at least minParts parts is given without waiting for the rest. */
    TimePoint targetTime;
    /** The request times out at this time. */
    TimePoint deadline;
    /** An attempt that runs longer than this is overdue; it is hedged if the request is idempotent. */
    Duration hedgeAfter = 50ms;
    /** Shards without a good replica that are left out at first; by default as many as minParts allows. */
    std::optional<size_t> maxSkipped;
    /**
     * The shards are a group of a larger request, whose coverage is decided elsewhere (GroupGather): minParts is zero,
     * and the request ends when each shard has answered or is lost, and at the deadline.
     */
    bool waitsForAll = false;
    /** The request is suspected of ending upstreams: it is sent to one, and to the others once that has answered. */
    bool probesFirst = false;
};

/** The replica selected for an attempt. */
struct ReplicaChoice
{
    UpstreamId id;
    /** An answer in time is unlikely from this replica, although it is the best one available. */
    bool degraded = false;
};

struct AttemptKey
{
    uint32_t shard = 0;
    uint32_t attempt = 0;
    auto operator<=>(const AttemptKey &) const = default;
};

struct ScatterHooks
{
    /** Selects a replica of the service that has not been tried; nullopt if none is left. */
    std::function<std::optional<ReplicaChoice>(const ServiceName &, const std::vector<UpstreamId> &tried)> choose;
    /** Consumes one extra sub-request from the service's budget; false if the budget is exhausted. */
    std::function<bool(const ServiceName &)> tryConsumeBudget;
    /** Called when an attempt at this replica becomes overdue. */
    std::function<void(const UpstreamId &)> reportOverdue;
    /** Cancels a running attempt unless its request has been sent; returns true if it provably has not run. */
    std::function<bool(AttemptKey)> tryWithdraw = [](AttemptKey) { return false; };
};

struct SendAttempt
{
    AttemptKey key;
    UpstreamId upstream;
    /** Sent alone, since the request may end the upstreams that run it. */
    bool isProbe = false;
};

enum class ScatterOutcome {
    /** Every shard has answered. */
    Complete,
    /** At least minParts shards have answered; the others are late or lost. */
    Partial,
    /** Too few shards can answer, and the request ran or may have run on some upstream. */
    Failed,
    /** Too few shards can answer, and the request has not run and will not run on any upstream. */
    NotRun,
    /** The deadline passed before enough shards answered. */
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
    /** Handles overdue attempts, the target time and the deadline. */
    ScatterActions tick(TimePoint now);
    /** The next time at which tick() must be called. */
    TimePoint nextWake(TimePoint now) const;

    const std::vector<ServiceName> &shards() const { return m_plan.shards; }
    size_t answeredParts() const { return m_answered; }
    /** True if no upstream has run the request and no attempt that may still run it is in progress. */
    bool provablyNotRun() const { return m_possibleRuns == 0; }
    /** Whether the attempt was reported as overdue while it ran; its latency is known only at its end. */
    bool wasOverdue(AttemptKey key) const { return m_shards[key.shard].attempts[key.attempt].overdue; }
    /**
     * Text for the log: each shard without an answer, with the replicas that were tried and the milliseconds since each
     * attempt was sent ("+" still runs, "-" has ended), and the number of extra sub-requests that the budget denied.
     */
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
        /** Attempts that have run the request or may have run it. */
        uint32_t possibleRuns = 0;
        bool answered = false;
        bool lost = false;
        /** The replica for the first attempt; it is used up by that attempt. */
        std::optional<ReplicaChoice> first;
        /** Nothing was sent to the shard because it is degraded; it counts as lost until its part is needed. */
        bool skipped = false;
        /** No upstream gets the request for this shard until one has answered it for another shard. */
        bool held = false;
    };

    /** Chooses the first replica of each shard, and skips shards without a good one as far as that is allowed. */
    void chooseFirst();
    void sendToSkipped(TimePoint now, ScatterActions &actions);
    /** Sends the first attempts; of a probe only one, and the other shards are held. */
    void sendFirst(TimePoint now, ScatterActions &actions);
    bool trySend(TimePoint now, uint32_t index, bool isExtra, ScatterActions &actions);
    /** Whether the shard has to wait for an answer to another one after its upstream closed the connection. */
    bool mustHold(const Shard &shard, AttemptOutcome outcome) const;
    /** Ends the hold on a shard; returns false if it was not held. */
    bool takeHeld(Shard &shard);
    /** After the first answer: sends to the shards that were held. */
    void releaseHeld(TimePoint now, ScatterActions &actions);
    /**
     * Once nothing runs any more: one of the held shards is probed at another replica, as long as only one probe may
     * have run; otherwise they are lost.
     */
    void resolveHeld(TimePoint now, ScatterActions &actions);
    /** Whether what is sent now is a probe. */
    bool isProbing() const;
    bool anyRunning() const;
    void markLost(Shard &shard);
    void handleFailure(TimePoint now, uint32_t index, AttemptOutcome outcome, ScatterActions &actions);
    void hedgeOverdue(TimePoint now, ScatterActions &actions);
    /** Ends the attempts whose requests have not been sent, so that a request that has not run is not called failed. */
    void withdrawUnsent(ScatterActions &actions);
    void withdraw(AttemptKey key);
    void finishIfDue(TimePoint now, ScatterActions &actions);
    std::optional<ReplicaChoice> choose(uint32_t index);
    static bool hasRunning(const Shard &shard);

    ScatterPlan m_plan;
    ScatterHooks m_hooks;
    std::vector<Shard> m_shards;
    size_t m_answered = 0;
    size_t m_lost = 0;
    /** Sum of Shard::possibleRuns over all shards. */
    size_t m_possibleRuns = 0;
    /** Number of extra sub-requests that the budget denied. */
    size_t m_deniedExtras = 0;
    /** Number of shards that are held. */
    size_t m_held = 0;
    /** All first attempts ended with their connections, and one shard was probed after that. */
    bool m_probedAfterLosses = false;
    bool m_finished = false;
};

} // namespace hickoryspur
