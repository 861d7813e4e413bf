// Tells whether this entry has lost its way to the upstreams, as opposed to upstreams that have ended or are
// slow. An entry without a way to any upstream serves nobody, and its callers keep its address for a while, so
// it has to know soon and to hand their requests to other entries.
//
// The entry suspects that it is cut off when several upstreams cannot be connected to or have been silent
// together, and none has been heard meanwhile. It then probes others with new connections, upstreams whose
// heartbeats still reach the control hosts. If all of these fail, it is cut off; if one succeeds, it is not, and
// those that failed have ended. Without an upstream that still sends heartbeats nothing is probed: then the
// upstreams are gone.
//
// Only a new connection shows that the way is back: connections that were open before may live on alone. While
// cut off, the entry probes with a growing pause.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

class UpstreamReachability
{
public:
    /** Upstreams that must have failed before the entry suspects that it is cut off: a few may end together. */
    static constexpr size_t kMinFailed = 3;
    /** Requests to that many upstreams must have been unanswered for so long; upstreams pause for less. */
    static constexpr Duration kSilence = 200ms;
    /** A failure to connect is forgotten after this time. */
    static constexpr Duration kFailureMemory = 2s;
    /** Upstreams that are probed at the same time. */
    static constexpr size_t kProbes = 3;
    /** A probe that has not connected by then has failed. */
    static constexpr Duration kProbeTimeout = 100ms;
    /** The pause between probes while cut off doubles from the first to the last. */
    static constexpr Duration kFirstProbePause = 100ms;
    static constexpr Duration kMaxProbePause = 400ms;

    /** The upstreams that still send heartbeats. */
    using Alive = std::function<std::vector<UpstreamId>()>;

    /** The seed of the jitter, and of the choice of upstreams to probe. */
    explicit UpstreamReachability(uint64_t seed)
        : m_random(seed)
    {
    }

    /** Something was sent to the upstream. */
    void recordSent(TimePoint now, const UpstreamId &upstream);
    /** The upstream has answered on a connection. */
    void recordAnswer();
    /** The upstream closed a connection before it had answered. */
    void recordLost(TimePoint now, const UpstreamId &upstream);
    void recordConnected();
    void recordConnectFailed(TimePoint now, const UpstreamId &upstream);
    /** The end of a probe that tick() asked for. */
    void recordProbe(TimePoint now, bool connected);
    /** Returns the upstreams to probe now; each is followed by a recordProbe(). */
    std::vector<UpstreamId> tick(TimePoint now, const Alive &alive);

    bool isCutOff() const { return m_cutOff; }

private:
    bool isSuspected(TimePoint now) const;
    void forgetOldFailures(TimePoint now);
    void endRound(TimePoint now);
    std::vector<UpstreamId> pick(std::vector<UpstreamId> alive);

    /** Upstreams that have been silent since something was sent to them, and since when. */
    std::unordered_map<UpstreamId, TimePoint> m_silentSince;
    /** When a connection to the upstream failed last, since one was opened to any upstream. */
    std::unordered_map<UpstreamId, TimePoint> m_connectFailures;
    bool m_cutOff = false;
    /** Probes that have not ended. */
    size_t m_probesRunning = 0;
    bool m_probeConnected = false;
    TimePoint m_nextProbe;
    Duration m_probePause = kFirstProbePause;
    std::mt19937_64 m_random;
};

} // namespace hickoryspur
