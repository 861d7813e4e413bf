#include "hickoryspur/connection/UpstreamAdmission.h"

#include <algorithm>
#include <cmath>

namespace hickoryspur {

void UpstreamAdmission::setEntryCount(TimePoint now, uint32_t entries)
{
    m_entries = std::max<uint32_t>(1, entries);
    for (auto &[id, record] : m_records)
        if (record.pace)
            record.pace->setInterval(now, intervalOf(*record.limit));
}

Duration UpstreamAdmission::intervalOf(double limit) const
{
    const double seconds = m_entries / (kUsableLimitShare * limit);
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

SignalChange UpstreamAdmission::recordSignals(TimePoint now, const UpstreamId &id, uint64_t incarnation,
                                              const UpstreamSignals &signals)
{
    const auto known = m_records.find(id);
    if (!signals.requestsPerSecond) {
        // An answer of an earlier incarnation says nothing about the present one.
        if (known == m_records.end() || known->second.incarnation != incarnation || !known->second.limit)
            return SignalChange::None;
        known->second.limit.reset();
        known->second.pace.reset();
        if (known->second.sentCold.empty())
            m_records.erase(known);
        return SignalChange::LimitEnded;
    }
    if (known != m_records.end() && known->second.incarnation > incarnation)
        return SignalChange::None;
    Record &record = recordOf(id, incarnation);
    const bool isNew = !record.limit;
    const Duration interval = intervalOf(*signals.requestsPerSecond);
    if (isNew)
        record.pace.emplace(now, interval, std::uniform_real_distribution<double>(0, 1)(m_random));
    else if (record.limit != signals.requestsPerSecond)
        record.pace->setInterval(now, interval);
    record.limit = signals.requestsPerSecond;
    return isNew ? SignalChange::LimitNamed : SignalChange::None;
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

TimePoint UpstreamAdmission::nextSend(TimePoint now, const AdmissionQuery &query) const
{
    const Record *record = find(query);
    const TimePoint cold = nextSendToCold(now, query, record);
    const TimePoint paced = record && record->pace ? record->pace->nextSlot(now) : now;
    return std::max(cold, paced);
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
    if (!found->second.limit)
        m_records.erase(found);
}

std::optional<double> UpstreamAdmission::limitOf(const UpstreamId &id) const
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? std::nullopt : found->second.limit;
}

size_t UpstreamAdmission::limitedCount() const
{
    return static_cast<size_t>(std::count_if(m_records.begin(), m_records.end(),
                                             [](const auto &item) { return item.second.limit.has_value(); }));
}

} // namespace hickoryspur
