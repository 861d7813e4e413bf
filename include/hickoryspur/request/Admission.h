// Admission control of one traffic thread. A concurrency limit adapts (AIMD) to the number of queries
// that the thread finishes before their deadlines; further queries wait in a bounded queue. The queue
// is shared between callers by weighted fair queueing and ordered by deadline within a caller. Queries
// that can no longer meet their deadline are refused early; a refused query has not run.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/ResultCode.h"
#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace hickoryspur {

using QueryNumber = uint64_t;

struct AdmissionActions
{
    std::vector<QueryNumber> admit;
    std::vector<std::pair<QueryNumber, ResultCode>> refuse;
};

class Admission
{
public:
    /** Waiting queries of all callers together. */
    static constexpr size_t kMaxWaiting = 256;
    /** Initial and maximum number of running queries. */
    static constexpr double kInitialLimit = 32;
    static constexpr double kMaxLimit = 1024;

    /** Admits the query or queues it; may refuse this or another waiting query instead. */
    AdmissionActions submit(TimePoint now, QueryNumber query, const CallerName &caller, uint32_t weight,
                            TimePoint deadline);
    /** Ends an admitted query; inTime is true if the caller received a complete answer before its deadline. */
    AdmissionActions finished(TimePoint now, QueryNumber query, bool inTime);
    AdmissionActions tick(TimePoint now);

    size_t waiting() const { return m_waitingCount; }
    size_t running() const { return m_running.size(); }
    double limit() const { return m_limit; }

private:
    struct Waiting
    {
        TimePoint deadline;
        QueryNumber query = 0;
        auto operator<=>(const Waiting &) const = default;
    };
    struct Caller
    {
        std::set<Waiting> queue;
        /** Weighted service that the caller has received, in queries divided by its weight. */
        double virtualTime = 0;
        uint32_t weight = 1;
    };

    void admitWaiting(TimePoint now, AdmissionActions &actions);
    void refuseUnmeetable(TimePoint now, AdmissionActions &actions);
    void shedFromLongestQueue(AdmissionActions &actions);
    Caller *nextCaller();

    std::map<CallerName, Caller> m_callers;
    std::map<QueryNumber, TimePoint> m_running;
    size_t m_waitingCount = 0;
    double m_limit = kInitialLimit;
    double m_virtualTime = 0;
    /** Exponential average of the time from admission to the end of a query. */
    Duration m_averageTime = Duration::zero();
    /** The minimum of that time, which drifts upwards so that old samples expire. */
    Duration m_minTime = Duration::zero();
    /** The limit is not decreased again before this time. */
    TimePoint m_nextDecrease;
};

} // namespace hickoryspur
