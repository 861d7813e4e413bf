// An entry's part in sharing the load of upstreams: it collects what the entry reports of its own requests, holds what
// the leading control host returns, and decides whether the entry may start one more request at an upstream.
//
// The limit of an upstream holds for all entries together. Each entry with demand has an equal share of it, which may
// be less than one request. By Little's law an entry that starts a request each (usual duration / share) has on average
// that share running, so starts are spaced by a credit that grows at this rate up to one, from a random value, since
// otherwise all entries would start at the same moment. This needs no message for each start, and no upstream idles
// until the next report. Each report corrects the sum: an excess stops the starts for the time in which the upstream
// works it off, and a deficit adds to the credit.
//
// Without a leader, or for upstreams that the leader does not name, the entry relies on what it sees itself.
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/connection/LoadReport.h"
#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

class SharedLoad
{
public:
    /**
     * Answers are reported up to this age, so that what all entries report of one pause arrives together. A slow
     * answer triggers a report, at the entry's next tick of 50 ms.
     */
    static constexpr Duration kObservationAge = 60ms;
    /** Minimum time between a report and one that an overdue or refused request triggers. */
    static constexpr Duration kMinReportInterval = 50ms;
    /** How long an upstream counts as wanted after a request was not sent there for lack of room. */
    static constexpr Duration kDemandTime = 500ms;
    /** Rows with a latency only, chosen at random: with an interval of 150 ms they are below 1 KB/s. */
    static constexpr size_t kMaxLatencyRows = 6;

    /** If it is not enabled, nothing is recorded and every upstream has room. */
    SharedLoad(bool enabled, uint64_t seed)
        : m_enabled(enabled)
        , m_random(seed)
    {
    }

    bool isEnabled() const { return m_enabled; }

    /** A request is to be sent to the upstream and waits for a connection; priority as for hasRoom(). */
    void recordChosen(TimePoint now, const UpstreamId &id, int priority);
    /** The request is written. */
    void recordWritten(const UpstreamId &id);
    void recordOverdue(const UpstreamId &id);
    struct End
    {
        bool wasWritten = false;
        bool wasOverdue = false;
        /** The upstream refused the request. */
        bool wasShed = false;
        /** Set if the request was answered: its time, and that as a multiple of the usual one of its route. */
        std::optional<Duration> took;
        double latencyRatio = 1;
    };
    /** A request for which recordChosen() was called has ended. */
    void recordEnd(TimePoint now, const UpstreamId &id, const End &end);

    /**
     * Whether a request has become overdue, was refused or was slow, and that should be reported before the next
     * regular report. There are at most as many of these reports as regular ones, since every one costs the leader
     * time.
     */
    bool isReportUrgent(TimePoint now) const
    {
        return m_isUrgent && m_urgentReports > 0 && now - m_reportedAt >= kMinReportInterval;
    }
    /** The rows to report, the most loaded first; slotsOf returns what an upstream has announced, zero if unknown. */
    std::vector<LoadRow> takeRows(TimePoint now, const std::function<uint32_t(const UpstreamId &)> &slotsOf);

    /** Takes over a report of a confirmed leader; one of an earlier term is ignored while a newer one is valid. */
    void apply(TimePoint now, const SharedLoadReport &report);
    /** Number of upstreams that the leader names. */
    size_t sharedUpstreams(TimePoint now) const;
    /** The upstream's latency as a multiple of the usual one, lower with the age of the report; one if not known. */
    double latencyRatio(TimePoint now, const UpstreamId &id) const;
    /**
     * Whether this entry may start one more request at the upstream. A negative answer counts as demand for it.
     * @param slots As announced; without slots there is always room.
     * @param priority 0 is urgent, see sharedLimit().
     */
    bool hasRoom(TimePoint now, const UpstreamId &id, uint32_t slots, int priority);

private:
    /** What the entry may start at an upstream beyond the whole requests of its share; for urgent ones or others. */
    struct Credit
    {
        double value = 0;
        TimePoint at;
    };
    /** The leader's report of an upstream. */
    struct Shared
    {
        SharedLoadRow row;
        TimePoint at;
        bool isNew = true;
        Credit normal;
        Credit urgent;
    };
    /** What this entry sees of an upstream. */
    struct Own
    {
        uint32_t waiting = 0;
        uint32_t running = 0;
        uint32_t overdue = 0;
        uint32_t shed = 0;
        /** The lowest since the last report, and when the last answer came. */
        uint32_t latencyPercent = 0;
        TimePoint answeredAt;
        TimePoint deniedAt;
        /** Average time of answered requests; zero if there was none. */
        Duration duration = Duration::zero();
        TimePoint usedAt;
    };

    const Shared *findValid(TimePoint now, const UpstreamId &id) const;
    Duration usualDuration(const UpstreamId &id) const;
    static bool isWanted(TimePoint now, const Own &own);
    LoadRow makeRow(TimePoint now, const UpstreamId &id, const Own &own) const;
    /** Corrects the credit by a new report. */
    static void correct(const Shared &shared, Credit &credit, uint32_t limit);
    /** Adds the fraction of the share for the time since the last call; starts that are stopped add nothing. */
    static void accrue(TimePoint now, const Shared &shared, Credit &credit, uint32_t limit, Duration duration);
    static bool hasCredit(TimePoint now, const Shared &shared, const Credit &credit, uint32_t limit, const Own &own);
    void forgetUnused(TimePoint now);

    bool m_enabled;
    std::unordered_map<UpstreamId, Own> m_own;
    std::unordered_map<UpstreamId, Shared> m_shared;
    uint64_t m_term = 0;
    TimePoint m_appliedAt;
    /** Average time of answered requests at all upstreams. */
    Duration m_duration = Duration::zero();
    TimePoint m_reportedAt;
    bool m_isUrgent = false;
    uint32_t m_urgentReports = 0;
    std::mt19937_64 m_random;
};

} // namespace hickoryspur
