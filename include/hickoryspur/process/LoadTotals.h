// Sums what entries report of the load of upstreams, on the leading control host, and selects the upstreams that all
// entries should know of: those that are loaded, slow or shedding.
//
// Nothing is stored: a new leader starts with nothing and has the reports of all entries after one interval of their
// statuses. An entry's newest report replaces its earlier one, also that of an earlier run of the entry.
//
// An upstream is slow if its answers of two successive groups, without one in time between them, took more than twice
// the usual time. A group spans the time over which the reports of one pause arrive: a pause holds up everything that
// runs and ends for all of it at once, so it fills one group only, and then answers in time come again.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/connection/LoadReport.h"
#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

class LoadTotals
{
public:
    /**
     * The reports of one moment arrive within SharedLoad::kObservationAge; what has queued up in a pause takes as long
     * again to end.
     */
    static constexpr Duration kLatencyGroup = 110ms;
    /** An upstream that becomes slow or sheds is reported at once, but not sooner after the last report. */
    static constexpr Duration kMinReportInterval = 50ms;

    /** Identifies an entry's session; not dereferenced. */
    using SessionKey = const void *;

    /** Replaces the entry's report. Rows beyond kMaxLoadRows are ignored. */
    void record(TimePoint now, SessionKey session, const NodeId &entry, const std::vector<LoadRow> &rows);
    /** Forgets the entry, unless it has reported on another session since. */
    void removeSession(SessionKey session);
    /** Whether an upstream has become slow or has begun to shed and that should be reported now. */
    bool isReportUrgent(TimePoint now) const { return m_isUrgent && now - m_reportedAt >= kMinReportInterval; }
    /**
     * The notable upstreams, the slow and shedding ones first, then by load; at most kMaxSharedLoadRows. Nullopt if
     * there are none and the last report had none either, so nothing is sent.
     */
    std::optional<SharedLoadReport> report(TimePoint now, uint64_t term);
    void clear() { *this = LoadTotals(); }

private:
    struct Report
    {
        SessionKey session = nullptr;
        TimePoint at;
        std::vector<LoadRow> rows;
    };
    /** Slow answers that arrived within one group. */
    struct LatencyGroup
    {
        uint64_t sum = 0;
        uint32_t count = 0;

        uint32_t mean() const { return static_cast<uint32_t>(sum / count); }
    };
    struct Upstream
    {
        std::optional<LatencyGroup> previous;
        std::optional<LatencyGroup> current;
        TimePoint groupStart;
        TimePoint lastAnswer;
        TimePoint lastShed;
        /** Of the sum over all entries: at normal load it exceeds half of the slots for a moment now and then. */
        double averageRunning = 0;
        bool isSlow = false;
    };
    /** Of all entries. */
    struct Sum
    {
        uint32_t slots = 0;
        uint32_t running = 0;
        uint32_t demand = 0;
    };

    void recordLatency(TimePoint now, Upstream &upstream, uint32_t percent);
    /** In percent, lower with the age of the last answer; zero unless the upstream is slow. */
    static uint32_t slowPercent(TimePoint now, const Upstream &upstream);
    static bool isShedding(TimePoint now, const Upstream &upstream);
    std::unordered_map<UpstreamId, Sum> sums() const;
    void forgetOld(TimePoint now);
    void logChange(TimePoint now, const SharedLoadReport &report);

    std::map<NodeId, Report> m_reports;
    std::unordered_map<UpstreamId, Upstream> m_upstreams;
    TimePoint m_reportedAt;
    TimePoint m_nextLogLine;
    bool m_isUrgent = false;
    bool m_lastHadRows = false;
    bool m_isLogged = false;
};

} // namespace hickoryspur
