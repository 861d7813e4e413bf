// Which changes of a host's notes its disk holds. A change may be acknowledged to its sender only then: a host that is
// killed right after an acknowledgement must not have forgotten what it acknowledged when it comes back.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

namespace hickoryspur {

class SaveTracker
{
public:
    /** Called once with whether the change is on the disk. */
    using Done = std::function<void(bool saved)>;

    void recordChange() { ++m_changes; }
    /** Whether a change has come since the last save that succeeded. */
    bool hasUnsaved() const { return m_saved < m_changes; }
    /** Waits for all changes up to now; calls done at once if they are on the disk. */
    void await(Done done);
    /** Returns the number of changes that a save which begins now covers. */
    uint64_t begin() const { return m_changes; }
    /** A save that covers so many changes has ended; tells those who wait for it. */
    void end(uint64_t covered, bool saved);

private:
    struct Waiter
    {
        uint64_t change = 0;
        Done done;
    };

    uint64_t m_changes = 0;
    uint64_t m_saved = 0;
    std::vector<Waiter> m_waiters;
};

} // namespace hickoryspur
