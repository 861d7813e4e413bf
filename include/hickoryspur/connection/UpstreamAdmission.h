// Decides whether an upstream may get a request now, for reasons that the upstream itself gives: the rate
// that it tolerates while it is cold, the limit that it names in its answers, that it is leaving, or that
// it wants nothing for a while. All attempts ask here, first ones, hedges and retries.
//
// A limit holds for all entries together, and entries do not talk to each other. Callers are spread
// evenly, so each entry that sends to the upstream paces itself at an equal share (PacedRate). While an upstream is
// cold, which is short and at a low rate, only one entry sends to it, its home (ReplicaSubset). After a pause, each
// entry waits for a random time more, so that the load comes back over a ramp.
//
// What an upstream says ends with its incarnation: announcements that arrive later do not change it. The
// class does no I/O.
#pragma once

#include "hickoryspur/connection/PacedRate.h"
#include "hickoryspur/connection/UpstreamSignals.h"
#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

/** An upstream, and what its announcement says that matters here. */
struct AdmissionQuery
{
    UpstreamId id;
    uint64_t incarnation = 0;
    /** Requests a second that it tolerates while cold; zero if it is not cold or has no such limit. */
    double coldRequestsPerSecond = 0;
    /** Whether this entry is the one that sends to it while it is cold. */
    bool isHome = true;
};

/** What an answer has changed; each is true once for each change. */
struct SignalChanges
{
    bool limitNamed = false;
    bool limitEnded = false;
    bool pauseBegun = false;
    bool leavingBegun = false;

    bool any() const { return limitNamed || limitEnded || pauseBegun || leavingBegun; }
};

class UpstreamAdmission
{
public:
    /** Part of a limit that all entries use together, since their lists of entries may differ for a moment. */
    static constexpr double kUsableLimitShare = 0.9;
    /** Part of a cold upstream's rate that its home uses; two homes at a time stay below one and a half times it. */
    static constexpr double kUsableColdShare = 0.7;
    static constexpr Duration kColdWindow = 1s;
    /** Part of a limit for the entries that serve the upstream's group; the rest is for those that stand in for them.
     */
    static constexpr double kGroupShare = 0.8;
    /** A longer pause is cut to this: an upstream that is away for longer ends or announces itself again. */
    static constexpr Duration kMaxPause = 30s;
    /** The load comes back within this time after a pause, or within half of the pause's length if that is shorter. */
    static constexpr Duration kMaxRamp = 2s;
    /** Part of the drain time in which a leaving upstream that is the last replica may still get requests. */
    static constexpr double kLastReplicaShare = 0.8;

    /** @param drainTime How long an upstream goes on serving after it has said that it is leaving. */
    UpstreamAdmission(uint64_t seed, Duration drainTime)
        : m_drainTime(drainTime)
        , m_random(seed)
    {
    }

    /** How many entries serve the group of the upstream's shard; zero if all entries send to it alike. */
    struct Group
    {
        size_t holders = 0;
        /** Whether this entry is one of them; otherwise it sends only if none of them can be reached. */
        bool isHolder = false;
    };
    using GroupOf = std::function<Group(const UpstreamId &)>;

    /** Sets how many entries callers are sent to, which share each limit. */
    void setEntryCount(TimePoint now, uint32_t entries);
    /** Sets how the group of an upstream is found; without it all entries send to all upstreams. */
    void setGroupOf(GroupOf groupOf) { m_groupOf = std::move(groupOf); }
    /** The groups have changed. */
    void updateShares(TimePoint now);
    SignalChanges recordSignals(TimePoint now, const UpstreamId &id, uint64_t incarnation,
                                const UpstreamSignals &signals);
    bool maySend(TimePoint now, const AdmissionQuery &query) const { return nextSend(now, query) <= now; }
    /** Whether a leaving upstream may still get a request if no other replica is left. */
    bool maySendToLastReplica(TimePoint now, const AdmissionQuery &query) const;
    /**
     * Whether a request for which the upstream was chosen then, and which waits, may still be sent to it: rates are
     * not asked again, since it has taken its turn.
     */
    bool mayStillSend(TimePoint now, TimePoint chosenAt, const AdmissionQuery &query) const;
    /** The earliest time at which a request may be sent; max() if that cannot be told, or if it is leaving. */
    TimePoint nextSend(TimePoint now, const AdmissionQuery &query) const;
    /** Records a request that is sent, whether or not it was allowed. */
    void recordSent(TimePoint now, const AdmissionQuery &query);
    /** Forgets the requests to an upstream that is no longer cold. */
    void endCold(const UpstreamId &id);
    /** Forgets an upstream that has ended. */
    void remove(const UpstreamId &id) { m_records.erase(id); }

    /** The limit that the upstream names; nullopt if it names none. */
    std::optional<double> limitOf(const UpstreamId &id) const;
    /** True if the upstream has said that it is leaving, or wants nothing now: no connections are opened in advance. */
    bool isWithdrawn(TimePoint now, const UpstreamId &id, uint64_t incarnation) const;
    /** The upstreams whose pauses have ended since the last call, for this entry. */
    std::vector<UpstreamId> takeEndedPauses(TimePoint now);
    /** Forgets upstreams for which the function returns false. */
    void keepOnly(const std::function<bool(const UpstreamId &)> &isKnown);
    /** Numbers of upstreams that name a limit, are paused and are leaving. */
    struct Counts
    {
        size_t limited = 0;
        size_t paused = 0;
        size_t leaving = 0;
    };
    Counts counts() const;
    /** True if nothing is recorded, so that every upstream that is not cold may get a request. */
    bool empty() const { return m_records.empty(); }

private:
    struct Record
    {
        uint64_t incarnation = 0;
        /** Times of the requests within the last kColdWindow, while the upstream is cold. */
        std::deque<TimePoint> sentCold;
        std::optional<double> limit;
        /** This entry's share of the limit; set if the limit is. */
        std::optional<PacedRate> pace;
        /** End of the pause, with this entry's part of the ramp; set until takeEndedPauses() reports it. */
        std::optional<TimePoint> pausedUntil;
        std::optional<TimePoint> leavingSince;

        bool empty() const { return sentCold.empty() && !limit && !pausedUntil && !leavingSince; }
    };

    Duration intervalOf(const UpstreamId &id, double limit) const;
    /** Whether a leaving upstream still serves what is sent to it as the last replica. */
    bool servesAsLast(TimePoint now, const Record &record) const;
    /** This entry's part of a limit that the upstream names. */
    double shareOf(const UpstreamId &id) const;
    const Record *find(const AdmissionQuery &query) const;
    Record &recordOf(const UpstreamId &id, uint64_t incarnation);
    void updateLimit(TimePoint now, const UpstreamId &id, Record &record, std::optional<double> limit,
                     SignalChanges &changes);
    void updatePause(TimePoint now, Record &record, Duration pause, SignalChanges &changes);
    double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    /** The earliest time by pace, cold rate and pause, whether or not the upstream is leaving. */
    static TimePoint nextByRate(TimePoint now, const AdmissionQuery &query, const Record *record);
    static TimePoint nextSendToCold(TimePoint now, const AdmissionQuery &query, const Record *record);

    std::unordered_map<UpstreamId, Record> m_records;
    uint32_t m_entries = 1;
    GroupOf m_groupOf = [](const UpstreamId &) { return Group(); };
    Duration m_drainTime;
    std::mt19937_64 m_random;
};

} // namespace hickoryspur
