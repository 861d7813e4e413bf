// Limits extra sub-requests, which are hedges and retries together. Within a sliding window their
// number is at most a share of the first sub-requests plus a fixed slack, even if every sub-request fails.
#pragma once

#include "hickoryspur/process/Time.h"

#include <array>
#include <cstdint>

namespace hickoryspur {

class RetryBudget
{
public:
    static constexpr double kDefaultShare = 0.05;
    static constexpr Duration kWindow = 10s;

    /** share is relative to the first sub-requests in the window; slack is a number of sub-requests per window. */
    explicit RetryBudget(double share = kDefaultShare, double slack = 0)
        : m_share(share)
        , m_slack(slack)
    {
    }

    /** Sets this entry's part of the slack that all entries share; it changes with the number of entries. */
    void setSlack(double slack) { m_slack = slack; }

    void recordFirstSubRequests(TimePoint now, uint64_t count);
    /** Consumes one extra sub-request from the budget; returns false if the budget is exhausted. */
    bool tryConsumeBudget(TimePoint now);

private:
    static constexpr size_t kBuckets = 100;
    struct Bucket
    {
        uint64_t first = 0;
        uint64_t extra = 0;
    };

    void advance(TimePoint now);

    double m_share;
    double m_slack;
    std::array<Bucket, kBuckets> m_buckets{};
    int64_t m_position = 0;
    uint64_t m_first = 0;
    uint64_t m_extra = 0;
};

} // namespace hickoryspur
