#include "hickoryspur/version/MoveCoordinator.h"

#include "hickoryspur/process/MessageCodec.h"

namespace hickoryspur {

namespace {

/** The old version's requests of this time are what the new version is compared with. */
constexpr Duration kBaselineTime = 30s;

} // namespace

std::optional<MoveState> unpackMoveState(const std::string &packed)
{
    return unpack<MoveState>(packed);
}

void MoveCoordinator::updateStates(TimePoint now, const std::map<std::string, std::string> &packed)
{
    if (packed == m_packed)
        return;
    m_packed = packed;
    for (const auto &[service, bytes] : packed) {
        const std::optional<MoveState> state = unpackMoveState(bytes);
        if (!state)
            continue;
        m_states[service] = *state;
        const auto move = m_moves.find(service);
        if (move == m_moves.end())
            continue;
        // Another host has led meanwhile: the evidence on this one is of a stage that is long over.
        if (move->second.isNextStep(*state))
            move->second.setState(*state, now);
        else
            m_moves.erase(move);
    }
}

void MoveCoordinator::closeWindow(TimePoint now)
{
    for (auto &[service, move] : m_moves) {
        const auto found = m_window.services.find(service);
        if (found == m_window.services.end())
            continue;
        auto &versions = found->second.versions;
        move.observe(now, versions[move.state().from], versions[move.state().to]);
    }
    m_window = ObservationBatch();
}

std::optional<std::pair<std::string, MoveState>>
MoveCoordinator::nextChange(TimePoint now, int64_t wallSeconds, const Document &document, uint64_t documentNumber)
{
    for (const auto &[name, config] : document.services) {
        if (!config.version)
            continue;
        const auto found = m_states.find(name.value());
        const std::optional<MoveState> current = found == m_states.end() ? std::nullopt : std::optional(found->second);
        if (const auto started = startMove(current, *config.version, documentNumber, wallSeconds))
            return std::make_pair(name.value(), *started);
        follow(now, name.value(), *current, config.version->firstShare);
    }
    return nextStep(now, wallSeconds);
}

std::optional<std::pair<std::string, MoveState>> MoveCoordinator::nextOrderedChange(TimePoint now, int64_t wallSeconds,
                                                                                    double firstShare)
{
    for (const auto &[service, state] : m_states)
        follow(now, service, state, firstShare);
    return nextStep(now, wallSeconds);
}

void MoveCoordinator::follow(TimePoint now, const std::string &service, const MoveState &state, double firstShare)
{
    EvaluatorSettings settings;
    settings.baselineWindows = static_cast<size_t>(kBaselineTime / m_timing.window);
    m_moves.try_emplace(service, state, firstShare, m_timing, settings, now);
}

std::optional<std::pair<std::string, MoveState>> MoveCoordinator::nextStep(TimePoint now, int64_t wallSeconds)
{
    if (now < m_windowEnd)
        return std::nullopt;
    m_windowEnd = now + m_timing.window;
    closeWindow(now);
    for (auto &[service, move] : m_moves)
        if (const auto changed = move.tick(now, wallSeconds))
            return std::make_pair(service, *changed);
    return std::nullopt;
}

std::optional<MoveState> orderMove(const std::optional<MoveState> &current, const WantedVersion &wanted,
                                   int64_t wallSeconds)
{
    const MoveState none;
    const MoveState &previous = current ? *current : none;
    if (current && previous.to == wanted.name.value())
        return std::nullopt;
    return startMove(previous, wanted, previous.documentNumber + 1, wallSeconds);
}

double MoveCoordinator::suspicion(const std::string &service) const
{
    const auto found = m_moves.find(service);
    return found == m_moves.end() ? 0 : found->second.suspicion();
}

uint64_t MoveCoordinator::stageRequests(const std::string &service) const
{
    const auto found = m_moves.find(service);
    return found == m_moves.end() ? 0 : found->second.stageRequests();
}

} // namespace hickoryspur
