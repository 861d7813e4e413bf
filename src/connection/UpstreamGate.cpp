#include "hickoryspur/connection/UpstreamGate.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>

namespace hickoryspur {

UpstreamGate::UpstreamGate(uint32_t slots, uint64_t incarnation)
    : m_limit(slots)
    , m_incarnation(incarnation)
    , m_slots(slots)
{
}

void UpstreamGate::update(uint32_t slots, uint64_t incarnation, bool saysCold)
{
    if (slots != m_slots)
        m_limit.setSlots(slots);
    // Its word that it is ready proves nothing, but an upstream that calls itself cold is believed.
    if (incarnation != m_incarnation || (saysCold && !m_limit.isWarm()))
        m_limit.turnedCold();
    m_slots = slots;
    m_incarnation = incarnation;
    m_closed = false;
}

GateActions UpstreamGate::submit(TimePoint now, const GateRequest &request)
{
    GateActions actions;
    if (m_closed || m_waiting.size() >= kMostWaiting) {
        actions.refuse.push_back(request.key);
        return actions;
    }
    m_waiting.insert({request.deadline, request.key});
    pump(now, actions);
    return actions;
}

GateActions UpstreamGate::completed(TimePoint now, GateKey key, SubOutcome outcome, Duration latency)
{
    GateActions actions;
    if (m_running.erase(key) == 0)
        return actions;
    switch (outcome) {
    case SubOutcome::Ok:
    case SubOutcome::SnapshotGone:
        m_limit.answered(now, latency);
        break;
    case SubOutcome::Shed:
    case SubOutcome::NotSent:
        m_limit.refused(now);
        break;
    case SubOutcome::Failed:
        m_limit.turnedCold();
        break;
    case SubOutcome::Unknown:
    case SubOutcome::Cancelled:
    case SubOutcome::Draining:
        // A silent connection or an impatient caller says nothing of what the upstream can bear.
        break;
    }
    pump(now, actions);
    return actions;
}

bool UpstreamGate::cancel(GateKey key)
{
    const auto found =
        std::find_if(m_waiting.begin(), m_waiting.end(), [key](const Waiting &item) { return item.key == key; });
    if (found == m_waiting.end())
        return false;
    m_waiting.erase(found);
    return true;
}

GateActions UpstreamGate::tick(TimePoint now)
{
    GateActions actions;
    pump(now, actions);
    return actions;
}

GateActions UpstreamGate::close()
{
    GateActions actions;
    m_closed = true;
    for (const Waiting &item : m_waiting)
        actions.refuse.push_back(item.key);
    m_waiting.clear();
    return actions;
}

void UpstreamGate::pump(TimePoint now, GateActions &actions)
{
    while (!m_waiting.empty() && m_waiting.begin()->deadline <= now + m_limit.floor()) {
        actions.refuse.push_back(m_waiting.begin()->key);
        m_waiting.erase(m_waiting.begin());
    }
    if (now < openAt())
        return;
    while (!m_waiting.empty() && m_running.size() < m_limit.limit()) {
        const GateKey key = m_waiting.begin()->key;
        m_waiting.erase(m_waiting.begin());
        m_running.insert(key);
        HS_INVARIANT(GrantWithinLimit, m_running.size() <= m_slots)
            << m_running.size() << " sub-requests run on " << m_slots << " slots";
        actions.dispatch.push_back(key);
    }
}

std::optional<TimePoint> UpstreamGate::wakeAt(TimePoint now) const
{
    if (m_waiting.empty())
        return std::nullopt;
    const TimePoint doomed = m_waiting.begin()->deadline - m_limit.floor();
    if (openAt() > now)
        return std::min(doomed, openAt());
    return doomed;
}

} // namespace hickoryspur
