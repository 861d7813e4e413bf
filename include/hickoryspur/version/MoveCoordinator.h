// The traffic moves of all services, on the host that leads: feeds each with its windows of
// observations and hands out the next change of state for the log, one at a time. On the other hosts
// it only follows the log, ready to go on if one of them comes to lead.
#pragma once

#include "hickoryspur/version/Observation.h"
#include "hickoryspur/version/TrafficMove.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace hickoryspur {

class MoveCoordinator
{
public:
    static constexpr Duration kWindow = 1s;

    explicit MoveCoordinator(MoveTiming timing = {})
        : m_timing(timing)
    {
    }

    /** The packed states as the log has them. */
    void updateStates(TimePoint now, const std::map<std::string, std::string> &packed);
    void addObservations(const ObservationBatch &batch) { m_window.merge(batch); }
    /** The next state to put into the log for some service; must be called by the leader alone. */
    std::optional<std::pair<std::string, MoveState>> nextChange(TimePoint now, int64_t wallSeconds,
                                                                const Document &document, uint64_t documentNumber);
    /** For the report on moves: how much evidence there is against a service's new version, 1 being enough. */
    double suspicion(const std::string &service) const;
    uint64_t stageRequests(const std::string &service) const;

private:
    void closeWindow(TimePoint now);

    MoveTiming m_timing;
    std::map<std::string, std::string> m_packed;
    std::map<std::string, MoveState> m_states;
    std::map<std::string, TrafficMove> m_moves;
    ObservationBatch m_window;
    TimePoint m_windowEnd;
};

/** Packed in the log and in views. */
std::optional<MoveState> unpackMoveState(const std::string &packed);

} // namespace hickoryspur
