// An event loop in virtual time: runs events in the order of their due times without waiting for a real clock.
#pragma once

#include "hickoryspur/process/Time.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace hickoryspur {

class VirtualTime
{
public:
    TimePoint now() const { return m_now; }
    void after(Duration delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }
    void at(TimePoint time, std::function<void()> event) { m_events.emplace(std::max(time, m_now), std::move(event)); }

    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto first = m_events.extract(m_events.begin());
            m_now = first.key();
            first.mapped()();
        }
        m_now = std::max(m_now, end);
    }

private:
    TimePoint m_now{Duration(1'000'000'000)};
    std::multimap<TimePoint, std::function<void()>> m_events;
};

/** The given quantile (0 to 1) of the samples, in milliseconds. Sorts the samples. */
inline double percentileMs(std::vector<Duration> &samples, double quantile)
{
    if (samples.empty())
        return 0;
    std::sort(samples.begin(), samples.end());
    const auto position = static_cast<size_t>(quantile * static_cast<double>(samples.size() - 1));
    return toMilliseconds(samples[position]);
}

} // namespace hickoryspur
