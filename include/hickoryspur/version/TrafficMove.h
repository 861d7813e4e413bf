// Moves a service's queries from one version of its upstreams to another in stages, watches the new
// one beside the old one all the while, and takes it back once it is found badVersions. It is owned by the
// leader; what it decides goes through the log as a MoveState, so the next leader goes on from there.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"
#include "hickoryspur/version/Document.h"
#include "hickoryspur/version/VersionEvaluator.h"

#include <optional>
#include <set>
#include <string>

namespace hickoryspur {

enum class MoveStatus : uint8_t {
    /** One version only, nothing to move. */
    Settled = 0,
    Moving = 1,
    /** All queries are on the new version; the old one is still up and watched against. */
    Done = 2,
    TakenBack = 3,
    /** Suspicion after the move was done: a part goes back to the old version to compare them. */
    Confirming = 4,
};

std::string_view moveStatusName(MoveStatus status);

/** The durable part of a move; what is in force for the entries follows from it. */
struct MoveState
{
    std::string from;
    std::string to;
    uint64_t documentNumber = 0;
    uint8_t status = 0;
    uint32_t stage = 0;
    /** Share of queries for `to`, in millionths. */
    uint32_t sharePpm = 0;
    int64_t startedSeconds = 0;
    int64_t dueSeconds = 0;
    bool late = false;
    bool tooLittleTraffic = false;
    std::string reason;
    std::set<std::string> badVersions;
    MSGPACK_DEFINE(from, to, documentNumber, status, stage, sharePpm, startedSeconds, dueSeconds, late,
                   tooLittleTraffic, reason, badVersions)
    bool operator==(const MoveState &) const = default;

    MoveStatus kind() const { return static_cast<MoveStatus>(status); }
    double share() const { return static_cast<double>(sharePpm) / 1e6; }
};

struct MoveTiming
{
    /** A stage lasts at least this long, and longer where the time given allows it. */
    Duration minStageDuration = 10s;
    Duration maxStageDuration = 5min;
    /** New upstreams may be slow for this long after the move has started, since they start cold. */
    Duration warmUpDuration = 40s;
    /** Requests of the new version that a stage must have seen to count as evidence. */
    uint64_t minStageRequests = 200;
    /** Suspicion above this share of the threshold holds the stage. */
    double holdThreshold = 0.3;
    /** A larger share of refusals for load means that the new upstreams are not warm yet. */
    double maxRefusedShare = 0.02;
};

class TrafficMove
{
public:
    TrafficMove(MoveState state, double firstShare, MoveTiming timing, EvaluatorSettings settings, TimePoint now);

    /** One window, about a second, of both versions. */
    void observe(TimePoint now, const VersionObservation &oldVersion, const VersionObservation &newVersion);
    /** The changed state to put into the log, or nothing. */
    std::optional<MoveState> tick(TimePoint now, int64_t wallSeconds);
    /** The log holds this state now. */
    void setState(const MoveState &state, TimePoint now);

    const MoveState &state() const { return m_state; }
    double suspicion() const { return m_evaluator.suspicion(); }
    uint64_t stageRequests() const { return m_evaluator.stageRequests(); }

    /** The shares of the stages after the first; after the last of them the move is done. */
    static const std::vector<double> &stageShares();

private:
    MoveState takeBack(const std::string &reason) const;
    std::optional<MoveState> advance(TimePoint now, int64_t wallSeconds) const;
    std::optional<MoveState> confirmIfSuspicious() const;
    Duration stageLength(int64_t wallSeconds) const;
    double stageShare(uint32_t stage) const;
    size_t stageCount() const { return stageShares().size() + 1; }

    MoveState m_state;
    double m_firstShare;
    MoveTiming m_timing;
    EvaluatorSettings m_evaluatorSettings;
    VersionEvaluator m_evaluator;
    TimePoint m_stageStart;
};

/** Where a service stands when its document wants a version: the next state, or nothing to change. */
std::optional<MoveState> startMove(const std::optional<MoveState> &current, const WantedVersion &wanted,
                                   uint64_t documentNumber, int64_t wallSeconds);

} // namespace hickoryspur
