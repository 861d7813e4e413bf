#include "hickoryspur/process/SaveTracker.h"

#include <algorithm>
#include <utility>

namespace hickoryspur {

void SaveTracker::await(Done done)
{
    if (!hasUnsaved())
        return done(true);
    m_waiters.push_back({m_changes, std::move(done)});
}

void SaveTracker::end(uint64_t covered, bool saved)
{
    if (saved)
        m_saved = std::max(m_saved, covered);
    const auto firstCovered = std::stable_partition(
        m_waiters.begin(), m_waiters.end(), [covered](const Waiter &waiter) { return waiter.change > covered; });
    const std::vector<Waiter> ended(std::make_move_iterator(firstCovered), std::make_move_iterator(m_waiters.end()));
    m_waiters.erase(firstCovered, m_waiters.end());
    for (const Waiter &waiter : ended)
        waiter.done(saved);
}

} // namespace hickoryspur
