// The queue of sub-requests for one upstream. It exists only on the entry that is the upstream's home:
// all entries send their sub-requests through it, so the slots and the concurrency limit hold across
// entries. Waiting sub-requests are dispatched in order of deadline; one that can no longer be answered
// before its deadline is refused and not dispatched.
//
//     DispatchActions actions = queue.submit(now, {id, deadline});
//     for (DispatchId id : actions.dispatch) ...   // write it to the upstream
//     for (DispatchId id : actions.refuse) ...     // reply NotSent
#pragma once

#include "hickoryspur/connection/ConcurrencyLimit.h"
#include "hickoryspur/connection/SubRequest.h"

#include <set>
#include <vector>

namespace hickoryspur {

/** Identifies a sub-request at its home. SubRequestId does not: ids of different entries may collide. */
using DispatchId = uint64_t;

struct DispatchRequest
{
    DispatchId id = 0;
    TimePoint deadline;
};

/** What the caller does after a call: sends the dispatched sub-requests, replies NotSent to the refused ones. */
struct DispatchActions
{
    std::vector<DispatchId> dispatch;
    std::vector<DispatchId> refuse;
};

class UpstreamQueue
{
public:
    /** A sub-request that arrives while this many wait is refused. */
    static constexpr size_t kMaxWaiting = 512;

    UpstreamQueue(uint32_t slots, uint64_t incarnation);

    DispatchActions submit(TimePoint now, const DispatchRequest &request);
    DispatchActions completed(TimePoint now, DispatchId id, SubOutcome outcome, Duration latency);
    /** Removes a waiting sub-request and returns true. Returns false for one that was dispatched, which still runs. */
    bool cancel(DispatchId id);
    DispatchActions tick(TimePoint now);
    /**
     * Applies the upstream's newest announcement and reopens a closed queue. A new incarnation, or an
     * upstream that announces itself cold before its limit reached its slots, is reset to a limit of one.
     */
    void update(uint32_t slots, uint64_t incarnation, bool announcedCold);
    /** Dispatches nothing before this time; used while sub-requests of the previous home may still run. */
    void blockUntil(TimePoint time) { m_blockedUntil = std::max(m_blockedUntil, time); }
    /** Refuses all waiting and future sub-requests; dispatched ones continue. */
    DispatchActions close();

    size_t waiting() const { return m_waiting.size(); }
    size_t running() const { return m_running.size(); }
    const ConcurrencyLimit &limit() const { return m_limit; }

private:
    struct Waiting
    {
        TimePoint deadline;
        DispatchId id = 0;
        auto operator<=>(const Waiting &) const = default;
    };

    void dispatchWaiting(TimePoint now, DispatchActions &actions);
    TimePoint dispatchAllowedAt() const { return std::max(m_blockedUntil, m_limit.pausedUntil()); }

    ConcurrencyLimit m_limit;
    uint64_t m_incarnation;
    uint32_t m_slots;
    bool m_closed = false;
    TimePoint m_blockedUntil;
    std::set<Waiting> m_waiting;
    std::set<DispatchId> m_running;
};

} // namespace hickoryspur
