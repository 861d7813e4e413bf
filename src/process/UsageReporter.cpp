#include "hickoryspur/process/UsageReporter.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/** The least time left for a report after its window is decided: an election, and some calls without an answer. */
constexpr Duration kMinReportTime = 4s;
/** Time for the calls of a host that has acquired the duty after a full lease. */
constexpr Duration kTimeAfterLease = 1s;
/** Beyond this many failures the backoff has reached its limit. */
constexpr int kMaxBackoffDoublings = 16;

int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

UsageReporter::UsageReporter(UsageTiming timing, uint64_t seed)
    : m_timing(timing)
    , m_random(seed)
{
}

UsageActions UsageReporter::next(TimePoint now, int64_t trueMillis, const UsageView &view)
{
    UsageActions actions;
    if (!view.token)
        return actions;
    if (m_token != view.token) {
        // A former holder, or a former process of this host, may have made a call just before.
        m_token = view.token;
        m_nextCall = std::max(m_nextCall, now + callInterval());
    }
    if (!m_decidePending)
        actions.decide = windowToDecide(trueMillis, view);
    m_decidePending = m_decidePending || actions.decide;
    if (!view.oldest || m_callPending)
        return actions;
    if (m_delivered == view.oldest) {
        if (!m_recordPending)
            actions.recordSent = view.oldest;
        m_recordPending = true;
    } else if (now >= m_nextCall) {
        actions.send = view.oldest;
        m_callPending = true;
    }
    return actions;
}

std::optional<uint64_t> UsageReporter::windowToDecide(int64_t trueMillis, const UsageView &view) const
{
    const int64_t length = toMillis(m_timing.window);
    const uint64_t first = static_cast<uint64_t>(std::max<int64_t>(view.sinceMillis, 0) / length) + 1;
    const uint64_t window = std::max(first, view.lastDecided + 1);
    const Duration reserve = std::max(kMinReportTime, m_timing.lease + kTimeAfterLease);
    const Duration wait = std::max(m_timing.due - reserve, Duration::zero());
    const int64_t end = static_cast<int64_t>(window + 1) * length;
    return trueMillis >= end + toMillis(wait) ? std::optional(window) : std::nullopt;
}

Duration UsageReporter::callInterval() const
{
    return Duration(static_cast<int64_t>(static_cast<double>(Duration(1s).count()) / m_timing.callsPerSecond) + 1);
}

Duration UsageReporter::nextBackoff()
{
    const int64_t doublings = std::min(m_failures, kMaxBackoffDoublings);
    const Duration full = std::min(m_timing.maxBackoff, Duration(m_timing.firstBackoff * (1LL << doublings)));
    ++m_failures;
    // Half of it is random, so that hosts which failed at the same time do not repeat at the same time.
    return full / 2 + Duration(std::uniform_int_distribution<int64_t>(0, full.count() / 2)(m_random));
}

void UsageReporter::endSend(TimePoint now, uint64_t window, const UsageOutcome &outcome)
{
    m_callPending = false;
    if (outcome.verdict == UsageVerdict::Accepted) {
        m_delivered = window;
        m_failures = 0;
        m_nextCall = now + callInterval();
        return;
    }
    // The interval counts from here, since the call may have been written at any time until now.
    m_nextCall = now + std::max({callInterval(), outcome.pause, nextBackoff()});
}

} // namespace hickoryspur
