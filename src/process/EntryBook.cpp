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

const std::vector<std::string> &EntryBook::known(TimePoint now) const
{
    static const std::vector<std::string> kNone;
    const std::vector<std::string> *longest = &kNone;
    for (const auto &[id, source] : m_sources)
        if (now - source.heard <= kFresh && source.addresses.size() > longest->size())
            longest = &source.addresses;
    for (const auto &[id, source] : m_sources)
        if (longest->empty())
            longest = &source.addresses;
    return *longest;
}

} // namespace hickoryspur
