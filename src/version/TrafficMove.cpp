#include "hickoryspur/version/TrafficMove.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>

namespace hickoryspur {

namespace {

constexpr uint32_t kWholeShare = 1'000'000;
/** The part that goes back to the old version to confirm a suspicion after the move was done. */
constexpr uint32_t kConfirmShare = 750'000;
/** The part of the time given that the stages may use, so that something is left at the end. */
constexpr double kTimeForStages = 0.8;

uint32_t toPpm(double share)
{
    return static_cast<uint32_t>(share * kWholeShare);
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

const std::vector<double> &TrafficMove::stageShares()
{
    static const std::vector<double> shares = {0.05, 0.15, 0.4, 0.75};
    return shares;
}

TrafficMove::TrafficMove(MoveState state, double firstShare, MoveTiming timing, JudgeSettings judge, TimePoint now)
    : m_state(std::move(state))
    , m_firstShare(firstShare)
    , m_timing(timing)
    , m_judgeSettings(judge)
    , m_judge(judge)
    , m_stageSince(now)
{
}

double TrafficMove::shareOf(uint32_t stage) const
{
    if (stage == 0)
        return m_firstShare;
    return std::max(m_firstShare, stageShares().at(stage - 1));
}

void TrafficMove::observe(TimePoint now, const VersionObservation &oldVersion, const VersionObservation &newVersion)
{
    JudgeScope scope;
    scope.oldIsGone = m_state.kind() == MoveStatus::Done;
    scope.countSlow = m_state.stage > 0 || now - m_stageSince > m_timing.warmUp;
    m_judge.add(oldVersion, newVersion, scope);
}

void TrafficMove::applied(const MoveState &state, TimePoint now)
{
    const bool restarted = state.to != m_state.to || state.from != m_state.from;
    const bool staged = state.stage != m_state.stage || state.status != m_state.status;
    HS_INVARIANT(ShareWithinCap, !staged || restarted || state.stage <= m_state.stage + 1)
        << "stage " << state.stage << " after " << m_state.stage;
    // What raised the suspicion was not seen beside the old version, so it is no evidence.
    const bool confirms = state.kind() == MoveStatus::Confirming && m_state.kind() != MoveStatus::Confirming;
    m_state = state;
    if (restarted || confirms)
        m_judge = VersionJudge(m_judgeSettings);
    if (restarted || staged) {
        m_stageSince = now;
        m_judge.startStage();
    }
}

MoveState TrafficMove::takeBack(const std::string &reason) const
{
    MoveState next = m_state;
    next.status = static_cast<uint8_t>(MoveStatus::TakenBack);
    next.sharePpm = 0;
    next.reason = reason;
    next.bad.insert(m_state.to);
    return next;
}

Duration TrafficMove::stageLength(int64_t wallSeconds) const
{
    const auto left = static_cast<double>(std::max<int64_t>(0, m_state.dueSeconds - wallSeconds));
    const auto stagesLeft = static_cast<double>(stages() - m_state.stage);
    const Duration even(static_cast<int64_t>(1e6 * kTimeForStages * left / stagesLeft));
    // The first stage shows whether the upstreams are quick once they are warm.
    const Duration least = m_state.stage == 0 ? m_timing.warmUp + m_timing.leastStage : m_timing.leastStage;
    return std::clamp(even, least, std::max(least, m_timing.mostStage));
}

std::optional<MoveState> TrafficMove::tick(TimePoint now, int64_t wallSeconds)
{
    const MoveStatus status = m_state.kind();
    if (status == MoveStatus::Settled || status == MoveStatus::TakenBack)
        return std::nullopt;
    const std::optional<std::string> badness = m_judge.badness();
    if (status == MoveStatus::Done)
        return watch();
    if (badness)
        return takeBack(*badness);
    return advance(now, wallSeconds);
}

std::optional<MoveState> TrafficMove::watch() const
{
    // With nothing on the old version any more, trouble of both looks like trouble of the new one.
    if (m_judge.suspicion() < 1)
        return std::nullopt;
    MoveState next = m_state;
    next.status = static_cast<uint8_t>(MoveStatus::Confirming);
    next.sharePpm = kConfirmShare;
    return next;
}

std::optional<MoveState> TrafficMove::advance(TimePoint now, int64_t wallSeconds) const
{
    MoveState next = m_state;
    const uint64_t requests = m_judge.stageRequests();
    const uint64_t refused = m_judge.stageRefused();
    const bool enough = requests >= m_timing.leastRequests;
    const bool warm = static_cast<double>(refused) <= m_timing.mostRefused * static_cast<double>(requests + refused);
    const Duration inStage = now - m_stageSince;
    const auto stagesLeft = static_cast<int64_t>(stages() - m_state.stage);
    const int64_t needed = stagesLeft * (m_timing.leastStage / 1s);
    next.late = wallSeconds + needed > m_state.dueSeconds;
    next.tooLittleTraffic = !enough && inStage > 3 * m_timing.leastStage;
    const bool ready = enough && warm && inStage >= stageLength(wallSeconds) && m_judge.suspicion() < m_timing.holdAt;
    if (ready && m_state.kind() == MoveStatus::Confirming) {
        next.status = static_cast<uint8_t>(MoveStatus::Done);
        next.sharePpm = kWholeShare;
        next.late = m_state.late;
    } else if (ready && m_state.stage + 1 < stages()) {
        next.stage = m_state.stage + 1;
        next.sharePpm = toPpm(shareOf(next.stage));
    } else if (ready) {
        next.status = static_cast<uint8_t>(MoveStatus::Done);
        next.sharePpm = kWholeShare;
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
        next.sharePpm = kWholeShare;
        return next;
    }
    if (current->documentNumber == documentNumber)
        return std::nullopt;
    next = *current;
    next.documentNumber = documentNumber;
    if (wanted.name.value() == current->to)
        return next;
    // A version that was found bad stays so until an operator revives it by name.
    if (current->bad.contains(wanted.name.value())) {
        next.reason = wanted.name.value() + " was found bad before";
        return next;
    }
    const bool onNew = current->kind() == MoveStatus::Done || current->kind() == MoveStatus::Confirming
        || current->kind() == MoveStatus::Settled;
    next.from = onNew ? current->to : current->from;
    next.to = wanted.name.value();
    next.stage = 0;
    next.startedSeconds = wallSeconds;
    next.dueSeconds = wallSeconds + wanted.within / 1s;
    next.late = false;
    next.tooLittleTraffic = false;
    next.reason.clear();
    const bool back = next.to == next.from;
    next.status = static_cast<uint8_t>(back ? MoveStatus::Settled : MoveStatus::Moving);
    next.sharePpm = back ? kWholeShare : toPpm(wanted.firstShare);
    return next;
}

} // namespace hickoryspur
