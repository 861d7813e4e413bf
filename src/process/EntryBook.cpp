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

std::vector<const EntryBook::Source *> EntryBook::counting(TimePoint now) const
{
    std::vector<const Source *> fresh;
    std::vector<const Source *> all;
    for (const auto &[id, source] : m_sources) {
        all.push_back(&source);
        if (now - source.heard <= kFresh)
            fresh.push_back(&source);
    }
    return fresh.empty() ? all : fresh;
}

std::vector<std::string> EntryBook::addresses(TimePoint now) const
{
    std::set<std::string> all;
    for (const Source *source : counting(now))
        all.insert(source->addresses.begin(), source->addresses.end());
    return {all.begin(), all.end()};
}

uint32_t EntryBook::count(TimePoint now) const
{
    size_t most = 0;
    for (const Source *source : counting(now))
        most = std::max(most, source->addresses.size());
    return static_cast<uint32_t>(most);
}

} // namespace hickoryspur
