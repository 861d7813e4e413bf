#include "hickoryspur/process/ClockOffset.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/** The year 5138; a later time comes from no clock, and multiplied by thousand could overflow. */
constexpr int64_t kMaxWallMillis = 100'000'000'000'000;

bool isTime(int64_t wallMillis)
{
    return wallMillis > 0 && wallMillis < kMaxWallMillis;
}

Duration offsetOf(TimePoint now, int64_t wallMillis)
{
    return std::chrono::milliseconds(wallMillis) - now.time_since_epoch();
}

} // namespace

void ClockOffset::record(TimePoint now, const NodeId &source, int64_t wallMillis)
{
    if (!isTime(wallMillis))
        return;
    m_samples[source] = {offsetOf(now, wallMillis), now};
    update(now);
}

void ClockOffset::recordOwn(TimePoint now, int64_t wallMillis)
{
    if (!m_hasOtherSource && isTime(wallMillis))
        m_offset = offsetOf(now, wallMillis);
    update(now);
}

void ClockOffset::update(TimePoint now)
{
    std::erase_if(m_samples, [now](const auto &item) { return now - item.second.at > kSourceValidity; });
    if (m_samples.empty())
        return;
    std::vector<Duration> offsets;
    offsets.reserve(m_samples.size());
    for (const auto &[source, sample] : m_samples)
        offsets.push_back(sample.offset);
    m_offset = median(std::move(offsets));
    m_hasOtherSource = true;
}

Duration ClockOffset::median(std::vector<Duration> offsets) const
{
    std::sort(offsets.begin(), offsets.end());
    const Duration lower = offsets[(offsets.size() - 1) / 2];
    const Duration upper = offsets[offsets.size() / 2];
    if (lower == upper)
        return lower;
    if (!m_hasOtherSource)
        return lower + (upper - lower) / 2;
    return std::chrono::abs(lower - m_offset) <= std::chrono::abs(upper - m_offset) ? lower : upper;
}

int64_t ClockOffset::trueMillis(TimePoint at) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch() + m_offset).count();
}

} // namespace hickoryspur
