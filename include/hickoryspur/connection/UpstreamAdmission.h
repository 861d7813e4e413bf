// Decides whether an upstream may get a request now, for reasons that the upstream itself gives: the rate
// that it tolerates while it is cold, and the limit that it names in its answers. All attempts ask here,
// first ones, hedges and retries.
//
// A limit holds for all entries together, and entries do not talk to each other. Callers are spread
// evenly, so each entry paces itself at an equal share (PacedRate). While an upstream is cold, which is
// short and at a low rate, only one entry sends to it, its home (ReplicaSubset).
//
// What an upstream says ends with its incarnation. The class does no I/O.
#pragma once

#include "hickoryspur/connection/PacedRate.h"
#include "hickoryspur/connection/UpstreamSignals.h"
#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>

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

/** What an answer has changed. */
enum class SignalChange { None, LimitNamed, LimitEnded };

class UpstreamAdmission
{
public:
    /** Part of a limit that all entries use together, since their lists of entries may differ for a moment. */
    static constexpr double kUsableLimitShare = 0.9;
    /** Part of a cold upstream's rate that its home uses; two homes at a time stay below one and a half times it. */
    static constexpr double kUsableColdShare = 0.7;
    static constexpr Duration kColdWindow = 1s;

    explicit UpstreamAdmission(uint64_t seed)
        : m_random(seed)
    {
    }

    /** Sets how many entries callers are sent to, which share each limit. */
    void setEntryCount(TimePoint now, uint32_t entries);
    SignalChange recordSignals(TimePoint now, const UpstreamId &id, uint64_t incarnation,
                               const UpstreamSignals &signals);
    bool maySend(TimePoint now, const AdmissionQuery &query) const { return nextSend(now, query) <= now; }
    /** The earliest time at which a request may be sent; max() if that cannot be told. */
    TimePoint nextSend(TimePoint now, const AdmissionQuery &query) const;
    /** Records a request that is sent, whether or not it was allowed. */
    void recordSent(TimePoint now, const AdmissionQuery &query);
    /** Forgets the requests to an upstream that is no longer cold. */
    void endCold(const UpstreamId &id);
    /** Forgets an upstream that has ended. */
    void remove(const UpstreamId &id) { m_records.erase(id); }

    /** The limit that the upstream names; nullopt if it names none. */
    std::optional<double> limitOf(const UpstreamId &id) const;
    /** Number of upstreams that name a limit. */
    size_t limitedCount() const;
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
    };

    Duration intervalOf(double limit) const;
    const Record *find(const AdmissionQuery &query) const;
    Record &recordOf(const UpstreamId &id, uint64_t incarnation);
    static TimePoint nextSendToCold(TimePoint now, const AdmissionQuery &query, const Record *record);

    std::unordered_map<UpstreamId, Record> m_records;
    uint32_t m_entries = 1;
    std::mt19937_64 m_random;
};

} // namespace hickoryspur
