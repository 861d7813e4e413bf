// Recognises a request that ends each upstream which begins to run it (a query of death), and keeps it from
// further upstreams. Callers send such a request again, at any entry; without this, each try ends as many
// upstreams as it is scattered over.
//
// The evidence is which upstreams closed the connection while they ran a request that ended without an
// answer from any upstream. A request that was merely running when a data centre was lost is answered by
// upstreams elsewhere, and leaves no evidence. After kSuspectLosses upstreams the request is suspected: it is
// sent to one upstream at a time, as a probe, and goes on only when that one answers, which also clears it.
// It is in quarantine, and rejected, once a probe has ended its upstream too, or a second request of the same
// fingerprint has ended as many upstreams as the first. The quarantine doubles with each further probe that
// fails.
//
// Not to blame for an upstream is a request while another one that has ended more upstreams ran there too, nor
// for an upstream that still sends heartbeats.
//
// Entries exchange the evidence through the control hosts, and each decides from it alike. It does no I/O
// and reads no clock.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <msgpack.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hickoryspur {

/** An upstream that closed the connection while it ran a request. */
struct UpstreamLoss
{
    UpstreamId upstream;
    uint64_t incarnation = 0;
    /** Tells the requests of the same fingerprint apart. */
    uint64_t request = 0;
    /** The request was sent as a probe. */
    bool inProbe = false;
    /** How long ago it happened. */
    uint32_t ageMillis = 0;
    MSGPACK_DEFINE(upstream, incarnation, request, inProbe, ageMillis)
};

/** What a host knows of one suspected request. */
struct SuspectReport
{
    RequestFingerprint fingerprint;
    std::vector<UpstreamLoss> losses;
    MSGPACK_DEFINE(fingerprint, losses)
};

enum class QuarantineDecision {
    Serve,
    /** Send it to one upstream, and to others only after an answer. Ends with endProbe(). */
    Probe,
    Reject,
};

struct QuarantineVerdict
{
    QuarantineDecision decision = QuarantineDecision::Serve;
    /** When a rejected request may be sent again. */
    Duration retryAfter = Duration::zero();
};

class RequestQuarantine
{
public:
    /** A single lost connection has many causes. */
    static constexpr size_t kSuspectLosses = 2;
    static constexpr Duration kFirstQuarantine = 60s;
    static constexpr Duration kMaxQuarantine = 30min;
    /** Evidence is forgotten after this time without a new loss. */
    static constexpr Duration kEvidenceLifetime = 1h;
    /** A heartbeat that arrives sooner after the loss may have been sent before it. */
    static constexpr Duration kHeartbeatSettleTime = 1500ms;
    /** A rejected caller may try again so soon while another request is the probe. */
    static constexpr Duration kProbeRetryAfter = 500ms;
    /** Bounds the memory; the requests with the oldest losses are dropped first. */
    static constexpr size_t kMaxSuspects = 200;
    static constexpr size_t kMaxLossesPerRequest = 64;
    /** Bounds the messages between hosts. */
    static constexpr size_t kMaxReports = 32;

    /** True if nothing is known of any request, so callers need not compute a fingerprint. */
    bool empty() const { return m_suspects.empty(); }
    QuarantineVerdict admit(TimePoint now, const RequestFingerprint &fingerprint);
    /** Ends the probe that admit() began, whatever came of it. */
    void endProbe(const RequestFingerprint &fingerprint);
    /** Records the upstreams that closed the connection while they ran a request which no upstream has answered. */
    void recordLosses(TimePoint now, const RequestFingerprint &fingerprint, const std::vector<UpstreamLoss> &losses);
    /** An upstream ran the request and answered. Returns true if the request was suspected. */
    bool recordAnswer(const RequestFingerprint &fingerprint);
    /** An upstream of this incarnation still runs. */
    void recordHeartbeat(TimePoint now, const UpstreamId &upstream, uint64_t incarnation);
    /** Adds what another host knows; returns true if any of it is new. */
    bool merge(TimePoint now, const std::vector<SuspectReport> &reports);
    /** All that is known of the requests that were suspected last, kMaxReports at most. */
    std::vector<SuspectReport> reports(TimePoint now) const;
    /** The part of it that was recorded here and not merged: hundreds of entries need not report the same. */
    std::vector<SuspectReport> ownReports(TimePoint now) const;
    bool isSuspect(const RequestFingerprint &fingerprint) const;
    bool isInQuarantine(TimePoint now, const RequestFingerprint &fingerprint) const;
    /** Drops evidence that is too old, and what exceeds kMaxSuspects. */
    void tick(TimePoint now);

private:
    using UpstreamKey = std::pair<UpstreamId, uint64_t>;
    struct Loss
    {
        TimePoint at;
        uint64_t request = 0;
        bool inProbe = false;
        /** Recorded here; otherwise another host has reported it. */
        bool isOwn = false;
    };
    /** The losses for which a request is to blame. */
    struct Blame
    {
        size_t losses = 0;
        size_t probes = 0;
        /** Requests that each ended kSuspectLosses upstreams or more. */
        size_t requests = 0;
        TimePoint last;
    };
    struct Suspect
    {
        /** By upstream and incarnation. */
        std::map<UpstreamKey, Loss> losses;
        bool probeRunning = false;
    };

    /** Returns true if the loss was not known, or not as one in a probe. */
    static bool addLoss(Suspect &suspect, const UpstreamKey &upstream, Loss loss);
    static TimePoint lastLoss(const Suspect &suspect);
    Blame blame(const Suspect &suspect) const;
    std::vector<SuspectReport> makeReports(TimePoint now, bool onlyOwn) const;
    /** Whether a request that has ended more upstreams ran on this one too. */
    bool isExplained(const Suspect &suspect, const UpstreamKey &upstream) const;
    /** Until when the request is rejected; a time in the past if it is not. */
    static TimePoint quarantineEnd(const Blame &blame);

    std::map<RequestFingerprint, Suspect> m_suspects;
};

} // namespace hickoryspur
