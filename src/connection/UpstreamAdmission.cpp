#include "hickoryspur/connection/UpstreamAdmission.h"

#include <algorithm>

namespace hickoryspur {

void UpstreamAdmission::setEntryCount(TimePoint now, uint32_t entries)
{
    m_entries = std::max<uint32_t>(1, entries);
    updateShares(now);
}

void UpstreamAdmission::updateShares(TimePoint now)
{
    for (auto &[id, record] : m_records)
        if (record.pace)
            record.pace->setInterval(now, intervalOf(id, *record.limit));
}

double UpstreamAdmission::shareOf(const UpstreamId &id) const
{
    const Group group = m_groupOf(id);
    if (group.holders == 0)
        return 1.0 / m_entries;
    return group.isHolder ? kGroupShare / static_cast<double>(group.holders) : (1 - kGroupShare) / m_entries;
}

Duration UpstreamAdmission::intervalOf(const UpstreamId &id, double limit) const
{
    const double seconds = 1 / (shareOf(id) * kUsableLimitShare * limit);
    return Duration(static_cast<int64_t>(seconds * static_cast<double>(Duration(1s).count())));
}

UpstreamAdmission::Record &UpstreamAdmission::recordOf(const UpstreamId &id, uint64_t incarnation)
{
    Record &record = m_records[id];
    if (record.incarnation != incarnation)
        record = Record();
    record.incarnation = incarnation;
    return record;
}

const UpstreamAdmission::Record *UpstreamAdmission::find(const AdmissionQuery &query) const
{
    const auto found = m_records.find(query.id);
    return found == m_records.end() || found->second.incarnation != query.incarnation ? nullptr : &found->second;
}

SignalChanges UpstreamAdmission::recordSignals(TimePoint now, const UpstreamId &id, uint64_t incarnation,
                                               const UpstreamSignals &signals)
{
    SignalChanges changes;
    const auto known = m_records.find(id);
    const bool saysSomething = signals.requestsPerSecond || signals.pause || signals.leaving;
    if (known == m_records.end() && !saysSomething)
        return changes;
    // An answer of an earlier incarnation says nothing about the present one.
    if (known != m_records.end() && known->second.incarnation > incarnation)
        return changes;
    Record &record = recordOf(id, incarnation);
    updateLimit(now, id, record, signals.requestsPerSecond, changes);
    if (signals.pause)
        updatePause(now, record, *signals.pause, changes);
    changes.leavingBegun = signals.leaving && !record.leavingSince;
    if (changes.leavingBegun)
        record.leavingSince = now;
    if (record.empty())
        m_records.erase(id);
    return changes;
}

void UpstreamAdmission::updateLimit(TimePoint now, const UpstreamId &id, Record &record, std::optional<double> limit,
                                    SignalChanges &changes)
{
    changes.limitNamed = limit && !record.limit;
    changes.limitEnded = !limit && record.limit;
    if (!limit)
        record.pace.reset();
    else if (!record.pace)
        record.pace.emplace(now, intervalOf(id, *limit), randomFraction());
    else if (record.limit != limit)
        record.pace->setInterval(now, intervalOf(id, *limit));
    record.limit = limit;
}

void UpstreamAdmission::updatePause(TimePoint now, Record &record, Duration pause, SignalChanges &changes)
{
    const Duration length = std::min(pause, kMaxPause);
    // Several requests may have been refused at the same time; the latest end counts.
    if (record.pausedUntil && *record.pausedUntil >= now + length)
        return;
    changes.pauseBegun = !record.pausedUntil;
    const double ramp = randomFraction() * static_cast<double>(std::min(length / 2, kMaxRamp).count());
    record.pausedUntil = now + length + Duration(static_cast<int64_t>(ramp));
}

TimePoint UpstreamAdmission::nextSendToCold(TimePoint now, const AdmissionQuery &query, const Record *record)
{
    if (query.coldRequestsPerSecond <= 0)
        return now;
    if (!query.isHome)
        return TimePoint::max();
    const auto allowed = static_cast<size_t>(std::max(1.0, kUsableColdShare * query.coldRequestsPerSecond));
    if (!record || record->sentCold.size() < allowed)
        return now;
    return std::max(now, record->sentCold[record->sentCold.size() - allowed] + kColdWindow);
}

TimePoint UpstreamAdmission::nextByRate(TimePoint now, const AdmissionQuery &query, const Record *record)
{
    TimePoint next = nextSendToCold(now, query, record);
    if (record && record->pace)
        next = std::max(next, record->pace->nextSlot(now));
    if (record && record->pausedUntil)
        next = std::max(next, *record->pausedUntil);
    return next;
}

TimePoint UpstreamAdmission::nextSend(TimePoint now, const AdmissionQuery &query) const
{
    const Record *record = find(query);
    if (record && record->leavingSince)
        return TimePoint::max();
    return nextByRate(now, query, record);
}

bool UpstreamAdmission::maySendToLastReplica(TimePoint now, const AdmissionQuery &query) const
{
    const Record *record = find(query);
    if (!record || !record->leavingSince)
        return maySend(now, query);
    return servesAsLast(now, *record) && nextByRate(now, query, record) <= now;
}

bool UpstreamAdmission::servesAsLast(TimePoint now, const Record &record) const
{
    const Duration usable(static_cast<int64_t>(kLastReplicaShare * static_cast<double>(m_drainTime.count())));
    return now - *record.leavingSince < usable;
}

bool UpstreamAdmission::mayStillSend(TimePoint now, TimePoint chosenAt, const AdmissionQuery &query) const
{
    const Record *record = find(query);
    if (!record)
        return true;
    if (record->pausedUntil && now < *record->pausedUntil)
        return false;
    return !record->leavingSince || (chosenAt > *record->leavingSince && servesAsLast(now, *record));
}

void UpstreamAdmission::recordSent(TimePoint now, const AdmissionQuery &query)
{
    if (query.coldRequestsPerSecond > 0) {
        std::deque<TimePoint> &sent = recordOf(query.id, query.incarnation).sentCold;
        while (!sent.empty() && now - sent.front() >= kColdWindow)
            sent.pop_front();
        sent.push_back(now);
    }
    const auto found = m_records.find(query.id);
    if (found != m_records.end() && found->second.incarnation == query.incarnation && found->second.pace)
        found->second.pace->recordStart(now);
}

void UpstreamAdmission::endCold(const UpstreamId &id)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return;
    found->second.sentCold.clear();
    if (found->second.empty())
        m_records.erase(found);
}

bool UpstreamAdmission::isWithdrawn(TimePoint now, const UpstreamId &id, uint64_t incarnation) const
{
    const Record *record = find({id, incarnation});
    return record && (record->leavingSince || (record->pausedUntil && now < *record->pausedUntil));
}

std::vector<UpstreamId> UpstreamAdmission::takeEndedPauses(TimePoint now)
{
    std::vector<UpstreamId> ended;
    for (auto item = m_records.begin(); item != m_records.end();) {
        const auto current = item++;
        Record &record = current->second;
        if (!record.pausedUntil || now < *record.pausedUntil)
            continue;
        ended.push_back(current->first);
        record.pausedUntil.reset();
        if (record.empty())
            m_records.erase(current);
    }
    return ended;
}

void UpstreamAdmission::keepOnly(const std::function<bool(const UpstreamId &)> &isKnown)
{
    std::erase_if(m_records, [&](const auto &item) { return !isKnown(item.first); });
}

std::optional<double> UpstreamAdmission::limitOf(const UpstreamId &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? std::nullopt : found->second.limit;
}

UpstreamAdmission::Counts UpstreamAdmission::counts() const
{
    Counts counts;
    for (const auto &[id, record] : m_records) {
        counts.limited += record.limit ? 1 : 0;
        counts.paused += record.pausedUntil ? 1 : 0;
        counts.leaving += record.leavingSince ? 1 : 0;
    }
    return counts;
}

} // namespace hickoryspur
