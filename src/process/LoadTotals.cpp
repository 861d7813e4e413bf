#include "hickoryspur/process/LoadTotals.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"

#include <algorithm>
#include <utility>

namespace hickoryspur {

namespace {

/** Weight of the newest sum in the average. Regular reports are 200 ms apart; urgent ones count alike. */
constexpr double kRunningWeight = 0.3;
/** Part of the slots from which on an upstream is loaded. */
constexpr double kLoadedShare = 0.5;
/** Average running requests below which an upstream is not loaded, even if it has only one slot. */
constexpr double kUnloadedRequests = 0.25;
/** Minimum time between two log lines about the load, which changes with every report. */
constexpr Duration kLogInterval = 5s;

} // namespace

void LoadTotals::record(TimePoint now, SessionKey session, const NodeId &entry, const std::vector<LoadRow> &rows)
{
    if (rows.empty()) {
        m_reports.erase(entry);
        return;
    }
    Report &report = m_reports[entry];
    report.session = session;
    report.at = now;
    report.rows.assign(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(std::min(rows.size(), kMaxLoadRows)));
    for (const LoadRow &row : report.rows) {
        if (row.latencyPercent == 0 && row.shed == 0)
            continue;
        Upstream &upstream = m_upstreams[row.upstream];
        if (row.latencyPercent > 0)
            recordLatency(now, upstream, row.latencyPercent);
        if (row.shed > 0) {
            m_isUrgent = m_isUrgent || !isShedding(now, upstream);
            upstream.lastShed = now;
        }
    }
}

void LoadTotals::recordLatency(TimePoint now, Upstream &upstream, uint32_t percent)
{
    const bool isInTime = percent <= kSlowLatencyPercent;
    if (isInTime || now - upstream.lastAnswer > kLoadValidity) {
        upstream.previous.reset();
        upstream.current.reset();
    }
    upstream.lastAnswer = now;
    if (isInTime) {
        upstream.isSlow = false;
        return;
    }
    if (!upstream.current || now - upstream.groupStart >= kLatencyGroup) {
        upstream.previous = std::exchange(upstream.current, LatencyGroup());
        upstream.groupStart = now;
    }
    upstream.current->sum += percent;
    ++upstream.current->count;
    const bool wasSlow = std::exchange(upstream.isSlow, slowPercent(now, upstream) > 0);
    m_isUrgent = m_isUrgent || (upstream.isSlow && !wasSlow);
}

uint32_t LoadTotals::slowPercent(TimePoint now, const Upstream &upstream)
{
    const Duration age = now - upstream.lastAnswer;
    if (age >= kLoadValidity || !upstream.previous || !upstream.current)
        return 0;
    const auto percent = static_cast<double>(std::min(upstream.previous->mean(), upstream.current->mean()));
    const double weight = 1 - static_cast<double>(age.count()) / static_cast<double>(kLoadValidity.count());
    const auto aged = static_cast<uint32_t>(100 + (percent - 100) * weight);
    return aged >= kSlowLatencyPercent ? aged : 0;
}

bool LoadTotals::isShedding(TimePoint now, const Upstream &upstream)
{
    return upstream.lastShed != TimePoint() && now - upstream.lastShed < kLoadValidity;
}

void LoadTotals::removeSession(SessionKey session)
{
    std::erase_if(m_reports, [session](const auto &item) { return item.second.session == session; });
}

void LoadTotals::forgetOld(TimePoint now)
{
    std::erase_if(m_reports, [now](const auto &item) { return now - item.second.at >= kLoadValidity; });
    std::erase_if(m_upstreams, [now](const auto &item) {
        const Upstream &upstream = item.second;
        return now - upstream.lastAnswer >= kLoadValidity && !isShedding(now, upstream)
            && upstream.averageRunning < kUnloadedRequests;
    });
}

std::unordered_map<UpstreamId, LoadTotals::Sum> LoadTotals::sums() const
{
    std::unordered_map<UpstreamId, Sum> sums;
    for (const auto &[entry, report] : m_reports) {
        for (const LoadRow &row : report.rows) {
            Sum &sum = sums[row.upstream];
            sum.slots = std::max(sum.slots, row.slots);
            sum.running += row.running;
            sum.demand += row.running + row.waiting > 0 ? 1 : 0;
        }
    }
    return sums;
}

std::optional<SharedLoadReport> LoadTotals::report(TimePoint now, uint64_t term)
{
    struct Notable
    {
        SharedLoadRow row;
        bool isFirst = false;
        double load = 0;
    };
    m_reportedAt = now;
    m_isUrgent = false;
    forgetOld(now);
    const std::unordered_map<UpstreamId, Sum> all = sums();
    for (const auto &[id, sum] : all)
        m_upstreams.try_emplace(id);
    std::vector<Notable> notable;
    for (auto &[id, upstream] : m_upstreams) {
        const auto found = all.find(id);
        const Sum sum = found == all.end() ? Sum() : found->second;
        upstream.averageRunning += kRunningWeight * (sum.running - upstream.averageRunning);
        const uint32_t percent = slowPercent(now, upstream);
        upstream.isSlow = percent > 0;
        const bool isFirst = percent > 0 || isShedding(now, upstream);
        const bool isLoaded = sum.slots > 0
            && (upstream.averageRunning >= kLoadedShare * sum.slots || sum.demand > sharedLimit(sum.slots, false));
        if (isFirst || isLoaded)
            notable.push_back({{id, sum.running, sum.demand, percent},
                               isFirst,
                               sum.slots > 0 ? static_cast<double>(sum.running) / sum.slots : 0});
    }
    std::sort(notable.begin(), notable.end(), [](const Notable &left, const Notable &right) {
        return std::pair(left.isFirst, left.load) > std::pair(right.isFirst, right.load);
    });
    notable.resize(std::min(notable.size(), kMaxSharedLoadRows));
    SharedLoadReport report{term, {}};
    for (Notable &item : notable)
        report.rows.push_back(std::move(item.row));
    logChange(now, report);
    const bool isNews = !report.rows.empty() || m_lastHadRows;
    m_lastHadRows = !report.rows.empty();
    return isNews ? std::optional(std::move(report)) : std::nullopt;
}

void LoadTotals::logChange(TimePoint now, const SharedLoadReport &report)
{
    static Counter &rows = Metrics::counter("hickoryspur_shared_load_rows");
    rows.set(static_cast<int64_t>(report.rows.size()));
    if (now < m_nextLogLine || (report.rows.empty() && !m_isLogged))
        return;
    m_nextLogLine = now + kLogInterval;
    m_isLogged = !report.rows.empty();
    if (report.rows.empty()) {
        HS_LOG(INFO, LogEvent::UpstreamLoadNormal) << "no upstream is loaded, slow or shedding any more";
        return;
    }
    const auto slow = std::count_if(report.rows.begin(), report.rows.end(),
                                    [](const SharedLoadRow &row) { return row.latencyPercent > 0; });
    const SharedLoadRow &first = report.rows.front();
    HS_LOG(INFO, LogEvent::UpstreamsLoaded)
        << "upstreams=" << report.rows.size() << " slow=" << slow << " entries=" << m_reports.size()
        << " first=" << first.upstream << " running=" << first.running << " demand=" << first.demand
        << " latency-percent=" << first.latencyPercent;
}

} // namespace hickoryspur
