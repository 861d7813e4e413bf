// Moves a service's queries from one version of its upstreams to another in stages, compares the new
// version with the old one throughout, and takes the move back if the new version is found bad. It runs
// on the leading control host. Its decisions are written to the log as a MoveState, so that the next
// leader continues from them.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"
#include "hickoryspur/version/Document.h"
#include "hickoryspur/version/VersionEvaluator.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickoryspur {

enum class MoveStatus : uint8_t {
    /** There is only one version. */
    Settled = 0,
    Moving = 1,
    /** All queries go to the new version, which is still compared with the old one's past. */
    Done = 2,
    TakenBack = 3,
    /** Suspected after Done: a share of the queries goes to the old version again, to compare the two. */
    Confirming = 4,
};

std::string_view moveStatusName(MoveStatus status);

/** The persistent state of a move, from which the shares in force on the entries are derived. */
struct MoveState
{
    std::string from;
    std::string to;
    uint64_t documentNumber = 0;
    uint8_t status = 0;
    uint32_t stage = 0;
    /** Share of queries for `to`, in millionths. */
    uint32_t sharePpm = 0;
    /** Wall clock, in seconds. */
    int64_t startedSeconds = 0;
    int64_t dueSeconds = 0;
    /** The remaining stages no longer fit before the due time. */
    bool late = false;
    bool tooLittleTraffic = false;
    /** Why the move was taken back or refused; empty otherwise. */
    std::string reason;
    /** Versions that were found bad and not revived since. */
    std::set<std::string> badVersions;
    MSGPACK_DEFINE(from, to, documentNumber, status, stage, sharePpm, startedSeconds, dueSeconds, late,
                   tooLittleTraffic, reason, badVersions)
    bool operator==(const MoveState &) const = default;

    MoveStatus kind() const { return static_cast<MoveStatus>(status); }
    double share() const { return static_cast<double>(sharePpm) / 1e6; }
};

struct MoveTiming
{
    /** Length of the windows in which the versions are compared. */
    Duration window = 1s;
    /** Minimum duration of a stage, which lasts longer if the due time allows it. */
    Duration minStageDuration = 10s;
    Duration maxStageDuration = 5min;
    /** Slow answers are not counted for this long after the start of a move, since new upstreams start cold. */
    Duration warmUpDuration = 40s;
    /** Minimum number of requests of the new version in a stage before the next stage may start. */
    uint64_t minStageRequests = 200;
    /** Evidence from this share of the threshold on keeps the next stage from starting. */
    double holdThreshold = 0.3;
    /** A larger share of requests refused for load means that the new upstreams are still warming up. */
    double maxRefusedShare = 0.02;
    /** Shares of the stages after the first. The move is done after the last one. */
    std::vector<double> stageShares = {0.05, 0.15, 0.4, 0.75};
    /** Part of the time until the move is due that the first stage takes; zero if the stages are equally long. */
    double firstStageTimeShare = 0;
    /** The old version's upstreams still run after the move is done, so a suspicion can be confirmed against them. */
    bool keepsOldVersion = true;
};

/** Timing of a move that is ordered with a due time of seconds, after which the old upstreams are stopped. */
MoveTiming shortMoveTiming();

class TrafficMove
{
public:
    TrafficMove(MoveState state, double firstShare, MoveTiming timing, EvaluatorSettings settings, TimePoint now);

    /** Adds one window of both versions. */
    void observe(TimePoint now, const VersionObservation &oldVersion, const VersionObservation &newVersion);
    /** The new state to append to the log, or nothing if it is unchanged. */
    std::optional<MoveState> tick(TimePoint now, int64_t wallSeconds);
    /** Whether the state is at most one stage further, as each single step of a move is. */
    bool isNextStep(const MoveState &state) const;
    /** Adopts a state that the log has committed and that is the next step. */
    void setState(const MoveState &state, TimePoint now);

    const MoveState &state() const { return m_state; }
    double suspicion() const { return m_evaluator.suspicion(); }
    uint64_t stageRequests() const { return m_evaluator.stageRequests(); }

private:
    MoveState takeBack(const std::string &reason) const;
    std::optional<MoveState> advance(TimePoint now, int64_t wallSeconds) const;
    std::optional<MoveState> confirmIfSuspicious() const;
    Duration stageLength(int64_t wallSeconds) const;
    double stageShare(uint32_t stage) const;
    size_t stageCount() const { return m_timing.stageShares.size() + 1; }

    MoveState m_state;
    double m_firstShare;
    MoveTiming m_timing;
    EvaluatorSettings m_evaluatorSettings;
    VersionEvaluator m_evaluator;
    TimePoint m_stageStart;
};

/** The state that follows when a document wants this version, or nothing if the state is unchanged. */
std::optional<MoveState> startMove(const std::optional<MoveState> &current, const WantedVersion &wanted,
                                   uint64_t documentNumber, int64_t wallSeconds);

} // namespace hickoryspur
