// Coordinates the traffic moves of all services on the leading control host: passes each move its
// windows of observations, and returns the state changes to append to the log, one at a time. On the
// other control hosts it only applies the states in the log, so that it can continue the moves if its
// host is elected leader.
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
    explicit MoveCoordinator(MoveTiming timing = {})
        : m_timing(std::move(timing))
    {
    }

    /** Updates the moves to the states in the log, packed, by service. */
    void updateStates(TimePoint now, const std::map<std::string, std::string> &packed);
    void addObservations(const ObservationBatch &batch) { m_window.merge(batch); }
    /** The next state to append to the log, with its service. Only the leader may call this. */
    std::optional<std::pair<std::string, MoveState>> nextChange(TimePoint now, int64_t wallSeconds,
                                                                const Document &document, uint64_t documentNumber);
    /**
     * Like nextChange(), for moves that operators order one by one instead of by a document.
     * @param firstShare The new version's share of the queries in the first stage.
     */
    std::optional<std::pair<std::string, MoveState>> nextOrderedChange(TimePoint now, int64_t wallSeconds,
                                                                       double firstShare);
    /** Evidence against a service's new version, as a share of the threshold. */
    double suspicion(const std::string &service) const;
    /** Requests of the new version in the current stage. */
    uint64_t stageRequests(const std::string &service) const;

private:
    void closeWindow(TimePoint now);
    void follow(TimePoint now, const std::string &service, const MoveState &state, double firstShare);
    std::optional<std::pair<std::string, MoveState>> nextStep(TimePoint now, int64_t wallSeconds);

    MoveTiming m_timing;
    /** The packed states of the last update. */
    std::map<std::string, std::string> m_packed;
    std::map<std::string, MoveState> m_states;
    std::map<std::string, TrafficMove> m_moves;
    ObservationBatch m_window;
    TimePoint m_windowEnd;
};

/**
 * The state that follows when an operator orders a version, or nothing if that version is the target already: a
 * repeated order does not restart its move.
 */
std::optional<MoveState> orderMove(const std::optional<MoveState> &current, const WantedVersion &wanted,
                                   int64_t wallSeconds);

/** Unpacks a state from the log or a view; returns nothing if it cannot be decoded. */
std::optional<MoveState> unpackMoveState(const std::string &packed);

} // namespace hickoryspur
