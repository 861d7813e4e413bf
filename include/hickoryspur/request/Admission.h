// Decides which queries may start on a traffic thread. A limit on running queries follows what the
// thread manages in time; the others wait in a bounded queue, shared fairly between callers by
// weight and served by deadline within a caller. What can no longer be answered in time is refused
// early, and a refused query has not been run.
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
    static constexpr size_t kMaxWaiting = 256;
    static constexpr double kInitialLimit = 32;
    static constexpr double kMaxLimit = 1024;

    AdmissionActions submit(TimePoint now, QueryNumber query, const CallerName &caller, uint32_t weight,
                            TimePoint deadline);
    /** Ends a query that was admitted; inTime where its caller got a whole answer before its deadline. */
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
    /** The usual time a query takes once admitted. */
    Duration m_averageTime = Duration::zero();
    /** The least time that one has lately taken. */
    Duration m_minTime = Duration::zero();
    TimePoint m_nextDecrease;
};

} // namespace hickoryspur
