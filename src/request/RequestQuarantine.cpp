#include "hickoryspur/request/RequestQuarantine.h"

#include <algorithm>

namespace hickoryspur {

bool RequestQuarantine::addLoss(Suspect &suspect, const UpstreamKey &upstream, Loss loss)
{
    const auto found = suspect.losses.find(upstream);
    if (found != suspect.losses.end()) {
        if (found->second.inProbe || !loss.inProbe)
            return false;
        found->second = loss;
        return true;
    }
    if (suspect.losses.size() >= kMaxLossesPerRequest && !loss.inProbe)
        return false;
    suspect.losses.emplace(upstream, loss);
    return true;
}

TimePoint RequestQuarantine::lastLoss(const Suspect &suspect)
{
    TimePoint last;
    for (const auto &[upstream, loss] : suspect.losses)
        last = std::max(last, loss.at);
    return last;
}

bool RequestQuarantine::isExplained(const Suspect &suspect, const UpstreamKey &upstream) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto &item) {
        const Suspect &other = item.second;
        return other.losses.size() > suspect.losses.size() && other.losses.contains(upstream);
    });
}

RequestQuarantine::Blame RequestQuarantine::blame(const Suspect &suspect) const
{
    Blame blame;
    std::map<uint64_t, size_t> lossesOfRequest;
    for (const auto &[upstream, loss] : suspect.losses) {
        if (isExplained(suspect, upstream))
            continue;
        ++blame.losses;
        blame.probes += loss.inProbe ? 1 : 0;
        blame.requests += ++lossesOfRequest[loss.request] == kSuspectLosses ? 1 : 0;
        blame.last = std::max(blame.last, loss.at);
    }
    return blame;
}

TimePoint RequestQuarantine::quarantineEnd(const Blame &blame)
{
    if (blame.probes == 0 && blame.requests < 2)
        return TimePoint();
    Duration length = kFirstQuarantine;
    for (size_t probe = 1; probe < blame.probes && length < kMaxQuarantine; ++probe)
        length *= 2;
    return blame.last + std::min<Duration>(length, kMaxQuarantine);
}

QuarantineVerdict RequestQuarantine::admit(TimePoint now, const RequestFingerprint &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end())
        return {};
    Suspect &suspect = found->second;
    const Blame evidence = blame(suspect);
    if (evidence.losses < kSuspectLosses)
        return {};
    const TimePoint end = quarantineEnd(evidence);
    if (now < end)
        return {QuarantineDecision::Reject, end - now};
    if (suspect.probeRunning)
        return {QuarantineDecision::Reject, kProbeRetryAfter};
    suspect.probeRunning = true;
    return {QuarantineDecision::Probe, Duration::zero()};
}

void RequestQuarantine::endProbe(const RequestFingerprint &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end())
        found->second.probeRunning = false;
}

void RequestQuarantine::recordLosses(TimePoint now, const RequestFingerprint &fingerprint,
                                     const std::vector<UpstreamLoss> &losses)
{
    for (const UpstreamLoss &loss : losses)
        addLoss(m_suspects[fingerprint], {loss.upstream, loss.incarnation}, {now, loss.request, loss.inProbe, true});
}

bool RequestQuarantine::recordAnswer(const RequestFingerprint &fingerprint)
{
    const bool wasSuspect = isSuspect(fingerprint);
    m_suspects.erase(fingerprint);
    return wasSuspect;
}

void RequestQuarantine::recordHeartbeat(TimePoint now, const UpstreamId &upstream, uint64_t incarnation)
{
    for (auto next = m_suspects.begin(); next != m_suspects.end();) {
        const auto current = next++;
        const auto loss = current->second.losses.find({upstream, incarnation});
        if (loss == current->second.losses.end() || now - loss->second.at < kHeartbeatSettleTime)
            continue;
        current->second.losses.erase(loss);
        if (current->second.losses.empty())
            m_suspects.erase(current);
    }
}

bool RequestQuarantine::merge(TimePoint now, const std::vector<SuspectReport> &reports)
{
    bool isNew = false;
    for (const SuspectReport &report : reports)
        for (const UpstreamLoss &loss : report.losses) {
            const Duration age = std::chrono::milliseconds(loss.ageMillis);
            if (age < kEvidenceLifetime)
                isNew |= addLoss(m_suspects[report.fingerprint], {loss.upstream, loss.incarnation},
                                 {now - age, loss.request, loss.inProbe, false});
        }
    return isNew;
}

std::vector<SuspectReport> RequestQuarantine::reports(TimePoint now) const
{
    return makeReports(now, false);
}

std::vector<SuspectReport> RequestQuarantine::ownReports(TimePoint now) const
{
    return makeReports(now, true);
}

std::vector<SuspectReport> RequestQuarantine::makeReports(TimePoint now, bool onlyOwn) const
{
    std::vector<std::pair<TimePoint, SuspectReport>> byTime;
    for (const auto &[fingerprint, suspect] : m_suspects) {
        const Blame evidence = blame(suspect);
        if (evidence.losses < kSuspectLosses)
            continue;
        SuspectReport report{fingerprint, {}};
        for (const auto &[upstream, loss] : suspect.losses) {
            const Duration age = std::max<Duration>(now - loss.at, Duration::zero());
            if (loss.isOwn || !onlyOwn)
                report.losses.push_back(
                    {upstream.first, upstream.second, loss.request, loss.inProbe, static_cast<uint32_t>(age / 1ms)});
        }
        if (!report.losses.empty())
            byTime.emplace_back(evidence.last, std::move(report));
    }
    std::sort(byTime.begin(), byTime.end(),
              [](const auto &left, const auto &right) { return left.first > right.first; });
    byTime.resize(std::min(byTime.size(), kMaxReports));
    std::vector<SuspectReport> reports;
    reports.reserve(byTime.size());
    for (auto &[at, report] : byTime)
        reports.push_back(std::move(report));
    return reports;
}

bool RequestQuarantine::isSuspect(const RequestFingerprint &fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && found->second.losses.size() >= kSuspectLosses;
}

bool RequestQuarantine::isInQuarantine(TimePoint now, const RequestFingerprint &fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && now < quarantineEnd(blame(found->second));
}

void RequestQuarantine::tick(TimePoint now)
{
    std::erase_if(m_suspects, [now](const auto &item) { return now - lastLoss(item.second) > kEvidenceLifetime; });
    while (m_suspects.size() > kMaxSuspects)
        m_suspects.erase(
            std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
                return lastLoss(left.second) < lastLoss(right.second);
            }));
}

} // namespace hickoryspur
