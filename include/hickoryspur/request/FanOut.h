// One query over all shards of its plan: sends a sub-request for each shard, hedges the slow ones,
// retries the failed ones within the budget, and ends with an answer whose coverage is true. It does
// no I/O; the caller carries out the FanOutActions and feeds replies and time back in.
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
    /** The share of shards below which the caller does not want an answer. */
    double minCoverage = 0;
    /** Time kept back for sending the answer, so that the caller has it before its deadline. */
    Duration answerReserve = 2ms;
    uint64_t seed = 0;
};

struct FanOutHooks
{
    std::function<SubRequestId()> nextId;
    /** The delay after which a shard's sub-request is hedged; zero while nothing is known. */
    std::function<Duration(uint32_t shard)> hedgeDelay;
    std::function<bool(TimePoint now)> tryConsumeBudget;
    /** Expected cost of asking this upstream now; lower is better. */
    std::function<double(uint32_t upstream)> cost;
    /** Another plan, once the snapshot has vanished; nothing where none is allowed. */
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
    /** In place of one that was refused before it was sent; counts neither as first nor as extra. */
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

    double coverage() const;
};

struct FanOutActions
{
    std::vector<FanOutSend> sends;
    std::vector<SubRequestId> cancels;
    std::optional<FanOutAnswer> answer;
    /** When to call tick(); where it is missing the time given before still stands. */
    std::optional<TimePoint> wakeAt;
};

class FanOut
{
public:
    FanOut(FanOutConfig config, FanOutHooks hooks);

    FanOutActions start(TimePoint now);
    FanOutActions reply(TimePoint now, const SubReply &reply);
    FanOutActions tick(TimePoint now);
    /** The caller has gone away or is refused: everything still running is cancelled. */
    FanOutActions cancel(TimePoint now, ResultCode code);

    bool finished() const { return m_finished; }
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
        bool wantsRetry = false;
        bool lost = false;
        TimePoint retryAt;
        TimePoint hedgeAt;
    };

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
    /** Some upstream may have run a sub-request of this query. */
    bool m_mayHaveRun = false;
};

} // namespace hickoryspur
