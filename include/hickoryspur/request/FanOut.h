// The state machine of one query over all shards of its plan. It sends a sub-request to each shard,
// hedges slow ones, retries failed ones within the budget, and ends with an answer that lists exactly
// the missing shards. It does no I/O; the caller executes the FanOutActions and reports replies and time.
//
//     FanOut query(config, std::move(hooks));
//     execute(query.start(now));
//     execute(query.reply(now, subReply));
//     execute(query.tick(now));          // at actions.wakeAt
#pragma once

#include "hickoryspur/connection/SubRequest.h"
#include "hickoryspur/request/QueryPlan.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

struct FanOutConfig
{
    QueryPlan plan;
    TimePoint deadline;
    /** Minimum share of answered shards, 0 to 1, for a successful answer. */
    double minCoverage = 0;
    /** Time reserved for sending the answer, so that the caller receives it before its deadline. */
    Duration answerReserve = 2ms;
    uint64_t seed = 0;
};

struct FanOutHooks
{
    std::function<SubRequestId()> nextId;
    /** The delay after which a shard's sub-request is hedged; zero if there are too few latency samples. */
    std::function<Duration(uint32_t shard)> hedgeDelay;
    /** Consumes one extra sub-request from the budget; false if the budget is exhausted. */
    std::function<bool(TimePoint now)> tryConsumeBudget;
    /** Expected cost of a sub-request to this upstream; lower is better. */
    std::function<double(uint32_t upstream)> cost;
    /** Makes a plan for another snapshot after this one is gone; nullopt if there is none or no restart is allowed. */
    std::function<std::optional<QueryPlan>(TimePoint now, SnapshotId gone)> replan;
};

struct FanOutSend
{
    SubRequestId id;
    uint32_t shard = 0;
    uint32_t upstream = 0;
    MapGeneration generation;
    SnapshotId snapshot;
    TimePoint deadline;
    bool extra = false;
    /** Replaces a sub-request that was not sent; counts neither as first nor as extra. */
    bool resent = false;
};

struct FanOutAnswer
{
    ResultCode code = ResultCode::Ok;
    std::string message;
    bool notRun = false;
    MapGeneration generation;
    SnapshotId snapshot;
    uint32_t shardCount = 0;
    std::map<uint32_t, std::string> bodies;
    std::vector<uint32_t> missing;
    uint32_t hedges = 0;
    uint32_t retries = 0;
    bool restarted = false;

    /** Share of answered shards, 0 to 1. */
    double coverage() const;
};

struct FanOutActions
{
    std::vector<FanOutSend> sends;
    std::vector<SubRequestId> cancels;
    std::optional<FanOutAnswer> answer;
    /** When to call tick(); without a value the time returned before remains valid. */
    std::optional<TimePoint> wakeAt;
};

class FanOut
{
public:
    FanOut(FanOutConfig config, FanOutHooks hooks);

    FanOutActions start(TimePoint now);
    FanOutActions reply(TimePoint now, const SubReply &reply);
    FanOutActions tick(TimePoint now);
    /** Cancels everything in flight, since the caller has disconnected or is refused with this code. */
    FanOutActions cancel(TimePoint now, ResultCode code);

    bool finished() const { return m_finished; }
    /** Number of replies that were late, unknown or for another shard, snapshot or generation. */
    uint64_t droppedReplies() const { return m_droppedReplies; }

private:
    struct InFlight
    {
        uint32_t shard = 0;
        uint32_t upstream = 0;
        TimePoint sent;
    };
    struct Shard
    {
        std::optional<std::string> body;
        std::vector<uint32_t> tried;
        uint32_t running = 0;
        /** A retry is due at retryAt; it was not possible before, for instance because the budget was exhausted. */
        bool retryPending = false;
        bool lost = false;
        TimePoint retryAt;
        TimePoint hedgeAt;
    };

    /** Interval at which a hedge or retry that the budget denied is attempted again. */
    static constexpr Duration kBudgetRecheckInterval = 5ms;

    void sendFirst(TimePoint now, uint32_t shard, FanOutActions &actions);
    bool sendTo(TimePoint now, uint32_t shard, bool extra, FanOutActions &actions);
    std::optional<uint32_t> chooseUpstream(const Shard &state, uint32_t shard);
    void shardFailed(TimePoint now, uint32_t shard, SubOutcome outcome, FanOutActions &actions);
    void retry(TimePoint now, uint32_t shard, FanOutActions &actions);
    void hedge(TimePoint now, uint32_t shard, FanOutActions &actions);
    bool restart(TimePoint now, FanOutActions &actions);
    void cancelShard(uint32_t shard, FanOutActions &actions);
    void markShardLost(TimePoint now, uint32_t shard, FanOutActions &actions);
    void finishIfComplete(TimePoint now, FanOutActions &actions);
    void finish(ResultCode code, std::string message, FanOutActions &actions);
    void scheduleWake(FanOutActions &actions) const;
    bool canReachMinCoverage(uint32_t answeredOrPending) const;
    TimePoint answerDeadline() const { return m_config.deadline - m_config.answerReserve; }

    FanOutConfig m_config;
    FanOutHooks m_hooks;
    std::mt19937_64 m_random;
    std::vector<Shard> m_shards;
    std::unordered_map<SubRequestId, InFlight> m_inFlight;
    uint32_t m_answered = 0;
    uint32_t m_lost = 0;
    uint32_t m_hedges = 0;
    uint32_t m_retries = 0;
    uint64_t m_droppedReplies = 0;
    bool m_restarted = false;
    bool m_finished = false;
    /** An upstream may have run a sub-request of this query. */
    bool m_mayHaveRun = false;
};

} // namespace hickoryspur
