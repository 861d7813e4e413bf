#include "hickoryspur/connection/ColdUpstreamLimit.h"

#include <algorithm>

namespace hickoryspur {

bool ColdUpstreamLimit::maySend(TimePoint now, const UpstreamId &upstream, bool isHome, double ratePerSecond) const
{
    if (ratePerSecond <= 0)
        return true;
    if (!isHome)
        return false;
    const auto found = m_sent.find(upstream);
    if (found == m_sent.end())
        return true;
    const auto recent =
        std::count_if(found->second.begin(), found->second.end(), [now](TimePoint at) { return now - at < kWindow; });
    return static_cast<double>(recent) + 1 <= std::max(1.0, kUsableShare * ratePerSecond);
}

void ColdUpstreamLimit::recordSent(TimePoint now, const UpstreamId &upstream)
{
    std::deque<TimePoint> &sent = m_sent[upstream];
    while (!sent.empty() && now - sent.front() >= kWindow)
        sent.pop_front();
    sent.push_back(now);
}

} // namespace hickoryspur
