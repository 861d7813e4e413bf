#include "hickoryspur/connection/UpstreamReachability.h"

#include <algorithm>

namespace hickoryspur {

void UpstreamReachability::recordSent(TimePoint now, const UpstreamId &upstream)
{
    m_silentSince.try_emplace(upstream, now);
}

void UpstreamReachability::recordAnswer()
{
    m_silentSince.clear();
}

void UpstreamReachability::recordLost(TimePoint now, const UpstreamId &upstream)
{
    m_silentSince[upstream] = now - kSilence;
}

void UpstreamReachability::recordConnected()
{
    m_silentSince.clear();
    m_connectFailures.clear();
}

void UpstreamReachability::recordConnectFailed(TimePoint now, const UpstreamId &upstream)
{
    m_connectFailures[upstream] = now;
}

void UpstreamReachability::recordProbe(TimePoint now, bool connected)
{
    if (m_probesRunning == 0)
        return;
    --m_probesRunning;
    m_probeConnected = m_probeConnected || connected;
    if (m_probesRunning == 0 || m_probeConnected)
        endRound(now);
}

void UpstreamReachability::endRound(TimePoint now)
{
    if (m_probeConnected) {
        recordConnected();
        m_cutOff = false;
        m_probePause = kFirstProbePause;
        return;
    }
    m_cutOff = true;
    const double jitter = std::uniform_real_distribution<double>(0.75, 1.25)(m_random);
    m_nextProbe = now + Duration(static_cast<int64_t>(jitter * static_cast<double>(m_probePause.count())));
    m_probePause = std::min(2 * m_probePause, kMaxProbePause);
}

bool UpstreamReachability::isSuspected(TimePoint now) const
{
    const auto silent = std::count_if(m_silentSince.begin(), m_silentSince.end(),
                                      [now](const auto &item) { return now - item.second >= kSilence; });
    return m_connectFailures.size() >= kMinFailed || static_cast<size_t>(silent) >= kMinFailed;
}

void UpstreamReachability::forgetOldFailures(TimePoint now)
{
    std::erase_if(m_connectFailures, [now](const auto &item) { return now - item.second > kFailureMemory; });
}

std::vector<UpstreamId> UpstreamReachability::tick(TimePoint now, const Alive &alive)
{
    forgetOldFailures(now);
    if (m_probesRunning > 0 || now < m_nextProbe || (!m_cutOff && !isSuspected(now)))
        return {};
    std::vector<UpstreamId> chosen = pick(alive());
    // The upstreams are gone, and so is what can tell more.
    if (chosen.size() < kProbes) {
        recordConnected();
        m_cutOff = false;
        return {};
    }
    m_probesRunning = chosen.size();
    m_probeConnected = false;
    return chosen;
}

std::vector<UpstreamId> UpstreamReachability::pick(std::vector<UpstreamId> alive)
{
    std::shuffle(alive.begin(), alive.end(), m_random);
    // Those that have not failed first: they tell whether it is the way that is lost.
    std::stable_partition(alive.begin(), alive.end(),
                          [this](const UpstreamId &id) { return !m_connectFailures.contains(id); });
    alive.resize(std::min(alive.size(), kProbes));
    return alive;
}

} // namespace hickoryspur
