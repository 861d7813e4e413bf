// The one gate before an upstream, held by the entry that is its home: every sub-request of every
// entry passes here, so the upstream's slots and its limit while cold hold over all entries. Waiting
// sub-requests are served by deadline; one that can no longer be answered in time is refused, not run.
//
//     GateActions actions = gate.submit(now, {key, deadline});
//     for (GateKey key : actions.dispatch) ...   // write it to the upstream
//     for (GateKey key : actions.refuse) ...     // answer NotSent
#pragma once

#include "hickoryspur/connection/ColdLimit.h"
#include "hickoryspur/connection/SubRequest.h"

#include <optional>
#include <set>
#include <vector>

namespace hickoryspur {

/** Names a sub-request at its home; unique there, unlike the ids of different entries. */
using GateKey = uint64_t;

struct GateRequest
{
    GateKey key = 0;
    TimePoint deadline;
};

struct GateActions
{
    std::vector<GateKey> dispatch;
    std::vector<GateKey> refuse;
};

class UpstreamGate
{
public:
    /** More waiting sub-requests than this are refused at once. */
    static constexpr size_t kMostWaiting = 512;

    UpstreamGate(uint32_t slots, uint64_t incarnation);

    GateActions submit(TimePoint now, const GateRequest &request);
    GateActions completed(TimePoint now, GateKey key, SubOutcome outcome, Duration latency);
    /** True where it was still waiting and is now forgotten; one that runs stays until completed. */
    bool cancel(GateKey key);
    GateActions tick(TimePoint now);
    /** The directory's newest word; a new incarnation is cold. */
    void update(uint32_t slots, uint64_t incarnation, bool saysCold);
    /** Nothing is dispatched before this time: an earlier home's dispatches may still run. */
    void holdUntil(TimePoint time) { m_heldUntil = std::max(m_heldUntil, time); }
    /** Refuses all that waits; what runs goes on. */
    GateActions close();

    size_t waiting() const { return m_waiting.size(); }
    size_t running() const { return m_running.size(); }
    const ColdLimit &limit() const { return m_limit; }
    std::optional<TimePoint> wakeAt(TimePoint now) const;

private:
    struct Waiting
    {
        TimePoint deadline;
        GateKey key = 0;
        auto operator<=>(const Waiting &) const = default;
    };

    void pump(TimePoint now, GateActions &actions);
    TimePoint openAt() const { return std::max(m_heldUntil, m_limit.pausedUntil()); }

    ColdLimit m_limit;
    uint64_t m_incarnation;
    uint32_t m_slots;
    bool m_closed = false;
    TimePoint m_heldUntil;
    std::set<Waiting> m_waiting;
    std::set<GateKey> m_running;
};

} // namespace hickoryspur
