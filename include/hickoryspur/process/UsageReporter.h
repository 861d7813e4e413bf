// Decides what the holder of the usage duty does next: which window is decided, which one is sent and when a
// call is repeated. What is reported for a window is stored in the log before it is sent, and every call is
// made from there, so that all repetitions have the same contents. This class performs no I/O: it gets the
// time and the state in the log, and returns actions; the caller reports the end of each.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace hickoryspur {

/** Requests that upstreams began to run in a window, by customer. */
using CustomerCounts = std::map<CustomerName, uint64_t>;

/** One report to the service. */
struct UsageCall
{
    uint64_t window = 0;
    CustomerCounts counts;
    /** Name of the host that holds the duty. */
    std::string holder;
    uint64_t token = 0;
};

enum class UsageVerdict {
    Accepted,
    /** The service has seen a higher fencing token. */
    TokenOutdated,
    /** More calls came than the service takes. */
    TooMany,
    /** Any other answer. */
    Failed,
    /** No answer came; the call may have been executed, or may be later. */
    NoAnswer,
    /** Nothing was written, because this host no longer holds the duty or could not connect. */
    NotSent,
};

struct UsageOutcome
{
    UsageVerdict verdict = UsageVerdict::NoAnswer;
    /** How long the service wants no call. */
    Duration pause = Duration::zero();
};

struct UsageTiming
{
    Duration window = 5s;
    /** Time from the end of a window until its report is due. */
    Duration due = 10s;
    /** Lease of the duty; a window is decided early enough that another host can still report it in time. */
    Duration lease = 3s;
    double callsPerSecond = 50;
    Duration firstBackoff = 100ms;
    Duration maxBackoff = 2s;
};

/** The state in the log that the next actions depend on. */
struct UsageView
{
    /** Fencing token under which this host may act; nothing is done without one. */
    std::optional<uint64_t> token;
    /** True time at which the duty was first acquired, in milliseconds since 1970. */
    int64_t sinceMillis = 0;
    uint64_t lastDecided = 0;
    /** The oldest window that is decided and not delivered. */
    std::optional<uint64_t> oldest;
};

/** Windows to decide, to send and to record as delivered; each action is begun by returning it. */
struct UsageActions
{
    std::optional<uint64_t> decide;
    std::optional<uint64_t> send;
    std::optional<uint64_t> recordSent;
};

class UsageReporter
{
public:
    UsageReporter(UsageTiming timing, uint64_t seed);

    /** @param trueMillis True time in milliseconds since 1970. */
    UsageActions next(TimePoint now, int64_t trueMillis, const UsageView &view);
    void endDecide() { m_decidePending = false; }
    void endRecordSent() { m_recordPending = false; }
    void endSend(TimePoint now, uint64_t window, const UsageOutcome &outcome);

private:
    std::optional<uint64_t> windowToDecide(int64_t trueMillis, const UsageView &view) const;
    Duration nextBackoff();
    Duration callInterval() const;

    UsageTiming m_timing;
    std::mt19937_64 m_random;
    bool m_decidePending = false;
    bool m_callPending = false;
    bool m_recordPending = false;
    /** The window that the service accepted last; it is not sent again while the log still contains it. */
    std::optional<uint64_t> m_delivered;
    /** The token of the last actions. */
    std::optional<uint64_t> m_token;
    int m_failures = 0;
    TimePoint m_nextCall;
};

} // namespace hickoryspur
