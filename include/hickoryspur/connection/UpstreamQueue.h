// The one gate before an upstream, held by the entry that is its home: every sub-request of every
// entry passes here, so the upstream's slots and its limit while cold hold over all entries. Waiting
// sub-requests are served by deadline; one that can no longer be answered in time is refused, not run.
//
//     DispatchActions actions = gate.submit(now, {key, deadline});
//     for (DispatchId key : actions.dispatch) ...   // write it to the upstream
//     for (DispatchId key : actions.refuse) ...     // answer NotSent
#pragma once

#include "hickoryspur/connection/ConcurrencyLimit.h"
#include "hickoryspur/connection/SubRequest.h"

#include <optional>
#include <set>
#include <vector>

namespace hickoryspur {

/** Names a sub-request at its home; unique there, unlike the ids of different entries. */
using DispatchId = uint64_t;

struct DispatchRequest
{
    DispatchId id = 0;
    TimePoint deadline;
};

struct DispatchActions
{
    std::vector<DispatchId> dispatch;
    std::vector<DispatchId> refuse;
};

class UpstreamQueue
{
public:
    /** More waiting sub-requests than this are refused at once. */
    static constexpr size_t kMaxWaiting = 512;

    UpstreamQueue(uint32_t slots, uint64_t incarnation);

    DispatchActions submit(TimePoint now, const DispatchRequest &request);
    DispatchActions completed(TimePoint now, DispatchId id, SubOutcome outcome, Duration latency);
    /** True where it was still waiting and is now forgotten; one that runs stays until completed. */
    bool cancel(DispatchId id);
    DispatchActions tick(TimePoint now);
    /** The directory's newest word; a new incarnation is cold. */
    void update(uint32_t slots, uint64_t incarnation, bool announcedCold);
    /** Nothing is dispatched before this time: an earlier home's dispatches may still run. */
    void blockUntil(TimePoint time) { m_blockedUntil = std::max(m_blockedUntil, time); }
    /** Refuses all that waits; what runs goes on. */
    DispatchActions close();

    size_t waiting() const { return m_waiting.size(); }
    size_t running() const { return m_running.size(); }
    const ConcurrencyLimit &limit() const { return m_limit; }
    std::optional<TimePoint> wakeAt(TimePoint now) const;

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
