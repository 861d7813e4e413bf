#include "hickoryspur/process/ActiveEntries.h"

#include "hickoryspur/process/Digest.h"

#include <algorithm>
#include <cmath>

namespace hickoryspur {

namespace {

struct Ranked
{
    /** Lower comes first: the place within its data centre, divided by that data centre's share. */
    double order = 0;
    uint64_t hash = 0;
    const OfferedEntry *entry = nullptr;
};

/** A data centre without upstreams still gets some places, for callers near it. */
constexpr double kMinDataCentreShare = 0.02;

double shareOf(const std::map<DataCentreName, size_t> &upstreams, const DataCentreName &dataCentre, size_t total)
{
    const auto found = upstreams.find(dataCentre);
    const double count = found == upstreams.end() ? 0 : static_cast<double>(found->second);
    return total == 0 ? 1 : std::max(kMinDataCentreShare, count / static_cast<double>(total));
}

std::vector<Ranked> rank(const std::vector<OfferedEntry> &entries, const std::map<DataCentreName, size_t> &upstreams)
{
    std::vector<Ranked> ranked;
    ranked.reserve(entries.size());
    for (const OfferedEntry &entry : entries)
        ranked.push_back({0, hash64(entry.location.address), &entry});
    std::sort(ranked.begin(), ranked.end(),
              [](const Ranked &left, const Ranked &right) { return left.hash < right.hash; });
    size_t total = 0;
    for (const auto &[dataCentre, count] : upstreams)
        total += count;
    std::map<DataCentreName, size_t> places;
    for (Ranked &item : ranked)
        item.order = static_cast<double>(++places[item.entry->location.dataCentre])
            / shareOf(upstreams, item.entry->location.dataCentre, total);
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const Ranked &left, const Ranked &right) { return left.order < right.order; });
    return ranked;
}

} // namespace

size_t ActiveEntries::targetCount(TimePoint now, const std::vector<OfferedEntry> &entries)
{
    double load = 0;
    for (const OfferedEntry &entry : entries)
        load += entry.subRequestsPerSecond;
    const size_t needed = std::max(kMinEntries, static_cast<size_t>(std::ceil(load / kSubRequestsPerEntry)));
    if (needed < m_target && now - m_lastNeeded < kShrinkDelay)
        return m_target;
    m_target = needed;
    m_lastNeeded = now;
    return m_target;
}

std::vector<EntryLocation> ActiveEntries::select(TimePoint now, const std::vector<OfferedEntry> &entries,
                                                 const std::map<DataCentreName, size_t> &upstreams)
{
    const size_t count = std::min(entries.size(), targetCount(now, entries));
    const std::vector<Ranked> ranked = rank(entries, upstreams);
    std::vector<EntryLocation> selected;
    for (size_t i = 0; i < count; ++i)
        selected.push_back(ranked[i].entry->location);
    std::sort(selected.begin(), selected.end());
    return selected;
}

} // namespace hickoryspur
