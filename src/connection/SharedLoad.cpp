#include "hickoryspur/connection/SharedLoad.h"

#include "hickoryspur/process/Metrics.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace hickoryspur {

namespace {

/** Weight of a new duration in the averages. */
constexpr double kDurationWeight = 0.2;
/** Duration until a request has been answered: that of an ordinary sub-request. */
constexpr Duration kInitialDuration = 20ms;
/** Reports that may be triggered in a row; each regular report allows one more. */
constexpr uint32_t kMaxUrgentReports = 3;
/** Part of a deficit that one report corrects: the starts since the entries' own reports are not in its sum yet. */
constexpr double kCorrection = 0.5;
/** Averages of upstreams that are no longer used are forgotten, since upstreams come and go. */
constexpr Duration kOwnRetention = 60s;
constexpr double kPercent = 100;
/** A latency beyond this says no more, and keeps the row short. */
constexpr double kMaxLatencyPercent = 10000;

void average(Duration &value, Duration observed)
{
    if (value == Duration::zero())
        value = observed;
    value += Duration(static_cast<int64_t>(kDurationWeight * static_cast<double>((observed - value).count())));
}

} // namespace

void SharedLoad::recordChosen(TimePoint now, const UpstreamId &id, int priority)
{
    if (!m_enabled)
        return;
    Own &own = m_own[id];
    ++own.waiting;
    own.usedAt = now;
    own.deniedAt = TimePoint();
    const auto shared = m_shared.find(id);
    if (shared == m_shared.end())
        return;
    // Down to minus one, so that what is sent although there is no room counts against the next request.
    shared->second.normal.value = std::max(-1.0, shared->second.normal.value - 1);
    if (priority == 0)
        shared->second.urgent.value = std::max(-1.0, shared->second.urgent.value - 1);
}

void SharedLoad::recordWritten(const UpstreamId &id)
{
    if (!m_enabled)
        return;
    Own &own = m_own[id];
    own.waiting -= std::min<uint32_t>(own.waiting, 1);
    ++own.running;
}

void SharedLoad::recordOverdue(const UpstreamId &id)
{
    if (!m_enabled)
        return;
    ++m_own[id].overdue;
    m_isUrgent = true;
}

void SharedLoad::recordEnd(TimePoint now, const UpstreamId &id, const End &end)
{
    if (!m_enabled)
        return;
    Own &own = m_own[id];
    own.usedAt = now;
    uint32_t &open = end.wasWritten ? own.running : own.waiting;
    open -= std::min<uint32_t>(open, 1);
    if (end.wasOverdue)
        own.overdue -= std::min<uint32_t>(own.overdue, 1);
    if (end.wasShed) {
        ++own.shed;
        m_isUrgent = true;
    }
    if (!end.took)
        return;
    average(own.duration, *end.took);
    average(m_duration, *end.took);
    const auto percent = static_cast<uint32_t>(std::clamp<double>(end.latencyRatio * kPercent, 1, kMaxLatencyPercent));
    const bool isFirst = own.latencyPercent == 0 || now - own.answeredAt > kObservationAge;
    own.latencyPercent = isFirst ? percent : std::min(own.latencyPercent, percent);
    own.answeredAt = now;
    m_isUrgent = m_isUrgent || percent > kSlowLatencyPercent;
}

bool SharedLoad::isWanted(TimePoint now, const Own &own)
{
    return own.deniedAt != TimePoint() && now - own.deniedAt < kDemandTime;
}

LoadRow SharedLoad::makeRow(TimePoint now, const UpstreamId &id, const Own &own) const
{
    LoadRow row;
    row.upstream = id;
    row.running = own.running;
    row.overdue = own.overdue;
    row.waiting = std::max<uint32_t>(own.waiting, isWanted(now, own) ? 1 : 0);
    row.shed = own.shed;
    row.latencyPercent = now - own.answeredAt <= kObservationAge ? own.latencyPercent : 0;
    return row;
}

std::vector<LoadRow> SharedLoad::takeRows(TimePoint now, const std::function<uint32_t(const UpstreamId &)> &slotsOf)
{
    if (!m_enabled)
        return {};
    forgetUnused(now);
    m_urgentReports =
        m_isUrgent && m_urgentReports > 0 ? m_urgentReports - 1 : std::min(m_urgentReports + 1, kMaxUrgentReports);
    m_isUrgent = false;
    m_reportedAt = now;
    const auto loadOf = [](const LoadRow &row) { return row.running + row.waiting + row.overdue + row.shed; };
    std::vector<LoadRow> rows;
    std::vector<LoadRow> latencyRows;
    for (auto &[id, own] : m_own) {
        LoadRow row = makeRow(now, id, own);
        const uint32_t load = loadOf(row);
        if (load > 0 || row.latencyPercent > 0)
            (load > 0 ? rows : latencyRows).push_back(std::move(row));
        own.latencyPercent = 0;
        own.shed = 0;
    }
    std::sort(rows.begin(), rows.end(),
              [loadOf](const LoadRow &left, const LoadRow &right) { return loadOf(left) > loadOf(right); });
    std::sample(latencyRows.begin(), latencyRows.end(), std::back_inserter(rows), kMaxLatencyRows, m_random);
    rows.resize(std::min(rows.size(), kMaxLoadRows));
    for (LoadRow &row : rows)
        row.slots = slotsOf(row.upstream);
    return rows;
}

void SharedLoad::forgetUnused(TimePoint now)
{
    std::erase_if(m_own, [now](const auto &item) {
        const Own &own = item.second;
        return own.running + own.waiting == 0 && !isWanted(now, own) && now - own.usedAt > kOwnRetention;
    });
    std::erase_if(m_shared, [now](const auto &item) { return now - item.second.at >= kLoadValidity; });
}

void SharedLoad::apply(TimePoint now, const SharedLoadReport &report)
{
    static Counter &upstreams = Metrics::counter("hickoryspur_shared_load_upstreams");
    if (!m_enabled || (report.term < m_term && now - m_appliedAt < kLoadValidity))
        return;
    m_term = report.term;
    m_appliedAt = now;
    std::unordered_map<UpstreamId, Shared> shared;
    const size_t count = std::min(report.rows.size(), kMaxSharedLoadRows);
    for (size_t i = 0; i < count; ++i) {
        const SharedLoadRow &row = report.rows[i];
        const auto known = m_shared.find(row.upstream);
        Shared &entry = shared[row.upstream];
        if (known != m_shared.end()) {
            entry = std::move(known->second);
        } else {
            std::uniform_real_distribution<double> fraction(0, 1);
            entry.normal = {fraction(m_random), now};
            entry.urgent = {fraction(m_random), now};
        }
        entry.row = row;
        entry.at = now;
        entry.isNew = true;
    }
    m_shared = std::move(shared);
    upstreams.set(static_cast<int64_t>(m_shared.size()));
}

const SharedLoad::Shared *SharedLoad::findValid(TimePoint now, const UpstreamId &id) const
{
    const auto found = m_shared.find(id);
    return found == m_shared.end() || now - found->second.at >= kLoadValidity ? nullptr : &found->second;
}

size_t SharedLoad::sharedUpstreams(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(m_shared.begin(), m_shared.end(),
                                             [now](const auto &item) { return now - item.second.at < kLoadValidity; }));
}

double SharedLoad::latencyRatio(TimePoint now, const UpstreamId &id) const
{
    const Shared *shared = findValid(now, id);
    if (!shared || shared->row.latencyPercent <= kSlowLatencyPercent)
        return 1;
    const double weight =
        1 - static_cast<double>((now - shared->at).count()) / static_cast<double>(kLoadValidity.count());
    return 1 + (shared->row.latencyPercent / kPercent - 1) * weight;
}

Duration SharedLoad::usualDuration(const UpstreamId &id) const
{
    const auto own = m_own.find(id);
    if (own != m_own.end() && own->second.duration > Duration::zero())
        return own->second.duration;
    return m_duration > Duration::zero() ? m_duration : kInitialDuration;
}

bool SharedLoad::hasRoom(TimePoint now, const UpstreamId &id, uint32_t slots, int priority)
{
    static Counter &denied = Metrics::counter("hickoryspur_shared_room_denied_total");
    if (!m_enabled || slots == 0)
        return true;
    const auto found = m_shared.find(id);
    if (found == m_shared.end() || now - found->second.at >= kLoadValidity)
        return true;
    Shared &shared = found->second;
    Own &own = m_own[id];
    const Duration duration = usualDuration(id);
    for (const bool isUrgent : {false, true}) {
        Credit &credit = isUrgent ? shared.urgent : shared.normal;
        const uint32_t limit = sharedLimit(slots, isUrgent);
        accrue(now, shared, credit, limit, duration);
        if (!shared.isNew)
            continue;
        correct(shared, credit, limit);
        if (shared.row.running <= limit)
            continue;
        // The excess is worked off by then: by Little's law, all that run end within one duration.
        const double excess = static_cast<double>(shared.row.running - limit) / shared.row.running;
        const Duration pause(static_cast<int64_t>(static_cast<double>(duration.count()) * excess));
        credit.at = std::max(credit.at, shared.at + pause);
    }
    shared.isNew = false;
    const bool isUrgent = priority == 0;
    if (hasCredit(now, shared, isUrgent ? shared.urgent : shared.normal, sharedLimit(slots, isUrgent), own))
        return true;
    own.deniedAt = now;
    own.usedAt = now;
    denied.add();
    return false;
}

void SharedLoad::correct(const Shared &shared, Credit &credit, uint32_t limit)
{
    if (shared.row.running >= limit)
        return;
    const double deficit = limit - shared.row.running;
    credit.value = std::min(1.0, credit.value + kCorrection * deficit / std::max<uint32_t>(1, shared.row.demand));
}

void SharedLoad::accrue(TimePoint now, const Shared &shared, Credit &credit, uint32_t limit, Duration duration)
{
    if (now <= credit.at)
        return;
    const double share = static_cast<double>(limit) / std::max<uint32_t>(1, shared.row.demand);
    const double durations =
        static_cast<double>((now - credit.at).count()) / static_cast<double>(std::max<Duration>(duration, 1ms).count());
    credit.value = std::min(1.0, credit.value + (share - std::floor(share)) * durations);
    credit.at = now;
}

bool SharedLoad::hasCredit(TimePoint now, const Shared &shared, const Credit &credit, uint32_t limit, const Own &own)
{
    // While starts are stopped, the time of the credit lies ahead.
    if (now < credit.at)
        return false;
    const uint32_t wholeShare = limit / std::max<uint32_t>(1, shared.row.demand);
    return own.running + own.waiting < wholeShare || credit.value >= 1;
}

} // namespace hickoryspur
