#include "hickoryspur/process/ControlHostBook.h"

#include <set>

namespace hickoryspur {

bool ControlHostBook::setSeeds(const std::vector<NodeId> &seeds)
{
    const bool changed = m_seeds != seeds;
    m_seeds = seeds;
    return changed;
}

bool ControlHostBook::noteNamed(const NodeId &from, const std::vector<NodeId> &named)
{
    std::vector<NodeId> &known = m_named[from];
    const bool changed = known != named;
    known = named;
    return changed;
}

bool ControlHostBook::noteGuest(TimePoint now, const NodeId &guest)
{
    const auto found = m_guests.find(guest);
    const bool changed = found == m_guests.end() || now - found->second > kGuestLife;
    m_guests[guest] = now;
    return changed;
}

bool ControlHostBook::forgetSource(const NodeId &from)
{
    // The last one's word is all that leads beyond the seeds, so it is kept.
    return m_named.size() > 1 && m_named.erase(from) > 0;
}

std::vector<NodeId> ControlHostBook::hosts(TimePoint now) const
{
    std::set<NodeId> all(m_seeds.begin(), m_seeds.end());
    for (const auto &[from, named] : m_named)
        all.insert(named.begin(), named.end());
    for (const auto &[guest, at] : m_guests)
        if (now - at <= kGuestLife)
            all.insert(guest);
    return {all.begin(), all.end()};
}

} // namespace hickoryspur
