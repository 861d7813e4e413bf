// The one budget from which hedges and retries are paid: within a sliding window they are at most a
// fixed share of the first sub-requests sent in it plus a fixed number, also when everything fails.
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

    explicit RetryBudget(double share = kDefaultShare, double slack = 0)
        : m_share(share)
        , m_slack(slack)
    {
    }

    /** The slack is one entry's part of a number that all share, so it changes with their count. */
    void setSlack(double slack) { m_slack = slack; }

    void recordFirstSubRequests(TimePoint now, uint64_t count);
    /** Takes one extra sub-request from the budget where it allows one. */
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
