// Which accepted state an entry has applied, and whether a state that a control host sends replaces it.
// An entry that starts while there is no leader takes the state from the logs of a majority (LogQuorum).
// Those logs may end in commands that are never committed, so a state from logs is provisional: what a
// confirmed leader sends replaces it, also if it has the same number or a lower log index. Otherwise an
// entry never goes back to an older state. The class does no I/O and reads no clock.
#pragma once

#include <cstdint>

namespace hickoryspur {

/** Identifies accepted routes. Two operators may use one number; the digest tells their routes apart. */
struct RoutesVersion
{
    uint64_t number = 0;
    /** hash64() of the text; zero if it comes from a host of an earlier release, and then only numbers are compared. */
    uint64_t digest = 0;

    bool isSameAs(const RoutesVersion &other) const
    {
        return number == other.number && (digest == other.digest || digest == 0 || other.digest == 0);
    }
};

/** What a control host sends is committed; what comes from its log may not be. */
enum class StateOrigin { Committed, Logs };

class AppliedState
{
public:
    /** Whether committed routes replace the applied ones. */
    bool isReplacedBy(const RoutesVersion &routes) const;
    /**
     * Whether a committed log state replaces the applied one.
     * @param index Its log index.
     * @param confirmed It is from a leader that a majority confirms.
     */
    bool isReplacedBy(uint64_t index, bool confirmed) const;
    void recordRoutes(const RoutesVersion &routes, StateOrigin origin);
    void recordLogState(uint64_t index, StateOrigin origin);
    /** Whether nothing is missing here that is in force at the sender of this log index and these routes. */
    bool covers(uint64_t index, const RoutesVersion &routes) const;

    const RoutesVersion &routes() const { return m_routes; }

private:
    RoutesVersion m_routes;
    uint64_t m_index = 0;
    StateOrigin m_routesOrigin = StateOrigin::Committed;
    StateOrigin m_indexOrigin = StateOrigin::Committed;
};

} // namespace hickoryspur
