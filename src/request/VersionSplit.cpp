#include "hickoryspur/request/VersionSplit.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/version/MoveCoordinator.h"

namespace hickoryspur {

void VersionSplit::setMoves(const std::map<std::string, std::string> &packed)
{
    for (const auto &[name, bytes] : packed) {
        const std::optional<MoveState> state = unpackMoveState(bytes);
        if (!state) {
            HS_LOG(WARNING, LogEvent::MessageUndecodable)
                << "the move of service " << name << " cannot be decoded; keeping its previous state";
            continue;
        }
        const ServiceName service(name);
        const auto found = m_moves.find(service);
        if (found != m_moves.end()) {
            found->second.state = *state;
            continue;
        }
        const double credit = std::uniform_real_distribution<double>(0, 1)(m_random);
        m_moves.emplace(service, Move{*state, VersionPicker(credit)});
    }
}

const VersionSplit::Move *VersionSplit::findMove(const ServiceName &service) const
{
    const auto found = m_moves.find(service);
    return found == m_moves.end() ? nullptr : &found->second;
}

VersionGroup VersionSplit::pick(TimePoint now, const ServiceName &service)
{
    const auto found = m_moves.find(service);
    if (found == m_moves.end())
        return VersionGroup::Any;
    Move &move = found->second;
    if (move.state.kind() == MoveStatus::TakenBack)
        return VersionGroup::Old;
    const bool isDone = move.state.kind() == MoveStatus::Done || move.state.kind() == MoveStatus::Settled;
    if (!isDone && now - m_lastLeaderContact > kShareValidity)
        return VersionGroup::Old;
    const VersionShare share{VersionName(move.state.from), VersionName(move.state.to), move.state.share(), {}};
    return move.picker.pick(share) == share.to ? VersionGroup::New : VersionGroup::Old;
}

VersionGroup VersionSplit::pickForExtra(const ServiceName &service, VersionGroup first) const
{
    const Move *move = findMove(service);
    // A request that the new version has not served well goes to the version that is known to be good.
    return move && move->state.kind() == MoveStatus::Moving && move->state.share() < 1 ? VersionGroup::Old : first;
}

bool VersionSplit::isInGroup(const ServiceName &service, const VersionName &version, VersionGroup group) const
{
    if (group == VersionGroup::Any)
        return true;
    const Move *move = findMove(service);
    if (!move)
        return true;
    return (version.value() == move->state.to) == (group == VersionGroup::New);
}

bool VersionSplit::isTakenBack(const ServiceName &service, const VersionName &version) const
{
    const Move *move = findMove(service);
    return move && move->state.kind() == MoveStatus::TakenBack && version.value() == move->state.to;
}

std::optional<VersionGroup> VersionSplit::fallback(const ServiceName &service, VersionGroup group) const
{
    const Move *move = findMove(service);
    if (!move || group == VersionGroup::Any)
        return std::nullopt;
    if (group == VersionGroup::New)
        return VersionGroup::Old;
    // A version that was found bad gets no requests, even if nothing else is left.
    return move->state.kind() == MoveStatus::TakenBack ? std::nullopt : std::optional(VersionGroup::New);
}

void VersionSplit::record(const VersionSample &sample)
{
    const Move *move = findMove(sample.service);
    const bool ran = sample.outcome == AttemptOutcome::Answered || sample.outcome == AttemptOutcome::Failed
        || sample.outcome == AttemptOutcome::Lost || sample.outcome == AttemptOutcome::NoResponse;
    if (!move || (!ran && sample.outcome != AttemptOutcome::Refused))
        return;
    const bool isNew = sample.version.value() == move->state.to;
    ServiceObservation &service = m_observations.services[sample.service.value()];
    RouteObservation &route = service.versions[isNew ? move->state.to : move->state.from][sample.route];
    SubRequestTally &tally = route.byUpstream[sample.upstream.value()];
    if (!ran) {
        ++tally.refused;
        return;
    }
    ++tally.requests;
    tally.failures += sample.outcome == AttemptOutcome::Answered ? 0 : 1;
    if (!sample.cold)
        tally.latency.add(sample.latency);
}

ObservationBatch VersionSplit::drainObservations()
{
    ObservationBatch batch = std::move(m_observations);
    m_observations = ObservationBatch();
    return batch;
}

} // namespace hickoryspur
