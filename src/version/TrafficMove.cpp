#include "hickoryspur/version/TrafficMove.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>

namespace hickoryspur {

namespace {

constexpr uint32_t kFullSharePpm = 1'000'000;
/** The new version's share while a suspicion after Done is confirmed; the rest goes to the old version. */
constexpr uint32_t kConfirmSharePpm = 750'000;
/** Share of the time until the due time that is divided among the stages; the rest is a reserve. */
constexpr double kStageTimeShare = 0.8;

uint32_t toPpm(double share)
{
    return static_cast<uint32_t>(share * kFullSharePpm);
}

} // namespace

std::string_view moveStatusName(MoveStatus status)
{
    switch (status) {
    case MoveStatus::Settled:
        return "settled";
    case MoveStatus::Moving:
        return "moving";
    case MoveStatus::Done:
        return "done";
    case MoveStatus::TakenBack:
        return "taken back";
    case MoveStatus::Confirming:
        return "confirming";
    }
    return "unknown";
}

MoveTiming shortMoveTiming()
{
    MoveTiming timing;
    // A version that fails once it carries everything may get about a second of the service's requests.
    timing.window = 250ms;
    timing.minStageDuration = 1200ms;
    timing.maxStageDuration = 1500ms;
    // The entries report no latencies of cold upstreams, so no time has to be left out.
    timing.warmUpDuration = Duration::zero();
    timing.minStageRequests = 5;
    timing.stageShares = {0.2, 1.0};
    timing.firstStageTimeShare = 0.5;
    timing.keepsOldVersion = false;
    return timing;
}

TrafficMove::TrafficMove(MoveState state, double firstShare, MoveTiming timing, EvaluatorSettings settings,
                         TimePoint now)
    : m_state(std::move(state))
    , m_firstShare(firstShare)
    , m_timing(std::move(timing))
    , m_evaluatorSettings(settings)
    , m_evaluator(settings)
    , m_stageStart(now)
{
}

double TrafficMove::stageShare(uint32_t stage) const
{
    if (stage == 0)
        return m_firstShare;
    return std::max(m_firstShare, m_timing.stageShares.at(stage - 1));
}

void TrafficMove::observe(TimePoint now, const VersionObservation &oldVersion, const VersionObservation &newVersion)
{
    EvaluationScope scope;
    const bool movingAtFullShare = m_state.kind() == MoveStatus::Moving && m_state.sharePpm == kFullSharePpm;
    scope.oldHasNoTraffic = m_state.kind() == MoveStatus::Done || movingAtFullShare;
    scope.onlyClearFailures = movingAtFullShare;
    // Under the whole load a good version may be slower than the old one was without the move.
    scope.countSlow = !movingAtFullShare && (m_state.stage > 0 || now - m_stageStart > m_timing.warmUpDuration);
    m_evaluator.add(oldVersion, newVersion, scope);
}

bool TrafficMove::isNextStep(const MoveState &state) const
{
    const bool restarted = state.to != m_state.to || state.from != m_state.from;
    return restarted || state.stage <= m_state.stage + 1;
}

void TrafficMove::setState(const MoveState &state, TimePoint now)
{
    const bool restarted = state.to != m_state.to || state.from != m_state.from;
    const bool stageChanged = state.stage != m_state.stage || state.status != m_state.status;
    HS_INVARIANT(ShareWithinCap, isNextStep(state)) << "stage " << state.stage << " after " << m_state.stage;
    // The evidence so far was collected without traffic on the old version to compare with, so it is dropped.
    const bool startsConfirming = state.kind() == MoveStatus::Confirming && m_state.kind() != MoveStatus::Confirming;
    m_state = state;
    if (restarted || startsConfirming)
        m_evaluator = VersionEvaluator(m_evaluatorSettings);
    if (restarted || stageChanged) {
        m_stageStart = now;
        m_evaluator.startStage();
    }
}

MoveState TrafficMove::takeBack(const std::string &reason) const
{
    MoveState next = m_state;
    next.status = static_cast<uint8_t>(MoveStatus::TakenBack);
    next.sharePpm = 0;
    next.reason = reason;
    next.badVersions.insert(m_state.to);
    return next;
}

Duration TrafficMove::stageLength(int64_t wallSeconds) const
{
    if (m_state.stage == 0 && m_timing.firstStageTimeShare > 0) {
        const auto total = static_cast<double>(m_state.dueSeconds - m_state.startedSeconds);
        const double end = static_cast<double>(m_state.startedSeconds) + m_timing.firstStageTimeShare * total;
        // Counted from the order, so that a new leader does not start the stage again.
        return static_cast<double>(wallSeconds) < end ? Duration::max() : m_timing.minStageDuration;
    }
    const auto secondsLeft = static_cast<double>(std::max<int64_t>(0, m_state.dueSeconds - wallSeconds));
    const auto stagesLeft = static_cast<double>(stageCount() - m_state.stage);
    const Duration equalPart(static_cast<int64_t>(1e6 * kStageTimeShare * secondsLeft / stagesLeft));
    // The first stage outlasts the warm-up, so that it shows the latency of warm upstreams.
    const Duration minimum =
        m_state.stage == 0 ? m_timing.warmUpDuration + m_timing.minStageDuration : m_timing.minStageDuration;
    return std::clamp(equalPart, minimum, std::max(minimum, m_timing.maxStageDuration));
}

std::optional<MoveState> TrafficMove::tick(TimePoint now, int64_t wallSeconds)
{
    const MoveStatus status = m_state.kind();
    if (status == MoveStatus::Settled || status == MoveStatus::TakenBack)
        return std::nullopt;
    const std::optional<std::string> rejection = m_evaluator.rejectionReason();
    if (status == MoveStatus::Done)
        return m_timing.keepsOldVersion ? confirmIfSuspicious() : std::nullopt;
    if (rejection)
        return takeBack(*rejection);
    return advance(now, wallSeconds);
}

std::optional<MoveState> TrafficMove::confirmIfSuspicious() const
{
    // Without traffic on the old version, a fault that affects both versions looks like a fault of the new one.
    if (m_evaluator.suspicion() < 1)
        return std::nullopt;
    MoveState next = m_state;
    next.status = static_cast<uint8_t>(MoveStatus::Confirming);
    next.sharePpm = kConfirmSharePpm;
    return next;
}

std::optional<MoveState> TrafficMove::advance(TimePoint now, int64_t wallSeconds) const
{
    MoveState next = m_state;
    const uint64_t requests = m_evaluator.stageRequests();
    const uint64_t refused = m_evaluator.stageRefused();
    const bool enoughRequests = requests >= m_timing.minStageRequests;
    const bool warm =
        static_cast<double>(refused) <= m_timing.maxRefusedShare * static_cast<double>(requests + refused);
    const Duration stageAge = now - m_stageStart;
    const auto stagesLeft = static_cast<int64_t>(stageCount() - m_state.stage);
    const int64_t neededSeconds = stagesLeft * (m_timing.minStageDuration / 1s);
    next.late = wallSeconds + neededSeconds > m_state.dueSeconds;
    next.tooLittleTraffic = !enoughRequests && stageAge > 3 * m_timing.minStageDuration;
    const bool ready = enoughRequests && warm && stageAge >= stageLength(wallSeconds)
        && m_evaluator.suspicion() < m_timing.holdThreshold;
    if (ready && m_state.kind() == MoveStatus::Confirming) {
        next.status = static_cast<uint8_t>(MoveStatus::Done);
        next.sharePpm = kFullSharePpm;
        next.late = m_state.late;
    } else if (ready && m_state.stage + 1 < stageCount()) {
        next.stage = m_state.stage + 1;
        next.sharePpm = toPpm(stageShare(next.stage));
    } else if (ready) {
        next.status = static_cast<uint8_t>(MoveStatus::Done);
        next.sharePpm = kFullSharePpm;
    }
    if (next == m_state)
        return std::nullopt;
    return next;
}

std::optional<MoveState> startMove(const std::optional<MoveState> &current, const WantedVersion &wanted,
                                   uint64_t documentNumber, int64_t wallSeconds)
{
    MoveState next;
    next.documentNumber = documentNumber;
    next.startedSeconds = wallSeconds;
    if (!current) {
        next.from = wanted.name.value();
        next.to = wanted.name.value();
        next.sharePpm = kFullSharePpm;
        return next;
    }
    if (current->documentNumber == documentNumber)
        return std::nullopt;
    next = *current;
    next.documentNumber = documentNumber;
    if (wanted.name.value() == current->to)
        return next;
    // A version that was found bad is refused until an operator revives it by name.
    if (current->badVersions.contains(wanted.name.value())) {
        next.reason = wanted.name.value() + " was found bad before";
        return next;
    }
    const bool allOnCurrent = current->kind() == MoveStatus::Done || current->kind() == MoveStatus::Confirming
        || current->kind() == MoveStatus::Settled;
    next.from = allOnCurrent ? current->to : current->from;
    next.to = wanted.name.value();
    next.stage = 0;
    next.startedSeconds = wallSeconds;
    next.dueSeconds = wallSeconds + wanted.within / 1s;
    next.late = false;
    next.tooLittleTraffic = false;
    next.reason.clear();
    const bool returnsToOld = next.to == next.from;
    next.status = static_cast<uint8_t>(returnsToOld ? MoveStatus::Settled : MoveStatus::Moving);
    next.sharePpm = returnsToOld ? kFullSharePpm : toPpm(wanted.firstShare);
    return next;
}

} // namespace hickoryspur
