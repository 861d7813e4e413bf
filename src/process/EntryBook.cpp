#include "hickoryspur/process/EntryBook.h"

#include <algorithm>
#include <set>

namespace hickoryspur {

void EntryBook::note(TimePoint now, const NodeId &source, std::vector<std::string> addresses)
{
    m_sources[source] = {std::move(addresses), now};
}

void EntryBook::heard(TimePoint now, const NodeId &source)
{
    const auto found = m_sources.find(source);
    if (found != m_sources.end())
        found->second.heard = now;
}

std::vector<std::string> EntryBook::addresses(TimePoint now, size_t controlHosts) const
{
    std::set<std::string> near;
    std::set<std::string> lastKnown;
    size_t heard = 0;
    for (const auto &[id, source] : m_sources) {
        const bool fresh = now - source.heard <= kFresh;
        heard += fresh ? 1 : 0;
        (fresh ? near : lastKnown).insert(source.addresses.begin(), source.addresses.end());
    }
    if (heard > controlHosts / 2)
        return {near.begin(), near.end()};
    std::vector<std::string> others;
    std::set_difference(lastKnown.begin(), lastKnown.end(), near.begin(), near.end(), std::back_inserter(others));
    return others.empty() ? std::vector<std::string>(near.begin(), near.end()) : others;
}

uint32_t EntryBook::count(TimePoint now) const
{
    size_t most = 0;
    for (const auto &[id, source] : m_sources)
        most = std::max(most, now - source.heard <= kFresh ? source.addresses.size() : 0);
    for (const auto &[id, source] : m_sources)
        most = most > 0 ? most : source.addresses.size();
    return static_cast<uint32_t>(most);
}

} // namespace hickoryspur
