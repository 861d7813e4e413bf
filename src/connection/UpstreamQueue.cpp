#include "hickoryspur/connection/UpstreamQueue.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>

namespace hickoryspur {

UpstreamQueue::UpstreamQueue(uint32_t slots, uint64_t incarnation)
    : m_limit(slots)
    , m_incarnation(incarnation)
    , m_slots(slots)
{
}

void UpstreamQueue::update(uint32_t slots, uint64_t incarnation, bool announcedCold)
{
    if (slots != m_slots)
        m_limit.setSlots(slots);
    // An announced Ready state does not raise the limit: only observed answers do. A Cold state lowers it.
    if (incarnation != m_incarnation || (announcedCold && !m_limit.isWarm()))
        m_limit.reset();
    m_slots = slots;
    m_incarnation = incarnation;
    m_closed = false;
}

DispatchActions UpstreamQueue::submit(TimePoint now, const DispatchRequest &request)
{
    DispatchActions actions;
    if (m_closed || m_waiting.size() >= kMaxWaiting) {
        actions.refuse.push_back(request.id);
        return actions;
    }
    m_waiting.insert({request.deadline, request.id});
    dispatchWaiting(now, actions);
    return actions;
}

DispatchActions UpstreamQueue::completed(TimePoint now, DispatchId id, SubOutcome outcome, Duration latency)
{
    DispatchActions actions;
    if (m_running.erase(id) == 0)
        return actions;
    switch (outcome) {
    case SubOutcome::Ok:
    case SubOutcome::SnapshotGone:
        m_limit.recordAnswer(now, latency);
        break;
    case SubOutcome::Shed:
    case SubOutcome::NotSent:
        m_limit.recordRefusal(now);
        break;
    case SubOutcome::Failed:
        m_limit.reset();
        break;
    case SubOutcome::Unknown:
    case SubOutcome::Cancelled:
    case SubOutcome::Draining:
        // A lost connection, a cancelled request or a draining upstream gives no information on its capacity.
        break;
    }
    dispatchWaiting(now, actions);
    return actions;
}

bool UpstreamQueue::cancel(DispatchId id)
{
    const auto found =
        std::find_if(m_waiting.begin(), m_waiting.end(), [id](const Waiting &item) { return item.id == id; });
    if (found == m_waiting.end())
        return false;
    m_waiting.erase(found);
    return true;
}

DispatchActions UpstreamQueue::tick(TimePoint now)
{
    DispatchActions actions;
    dispatchWaiting(now, actions);
    return actions;
}

DispatchActions UpstreamQueue::close()
{
    DispatchActions actions;
    m_closed = true;
    for (const Waiting &item : m_waiting)
        actions.refuse.push_back(item.id);
    m_waiting.clear();
    return actions;
}

void UpstreamQueue::dispatchWaiting(TimePoint now, DispatchActions &actions)
{
    while (!m_waiting.empty() && m_waiting.begin()->deadline <= now + m_limit.floor()) {
        actions.refuse.push_back(m_waiting.begin()->id);
        m_waiting.erase(m_waiting.begin());
    }
    if (now < dispatchAllowedAt())
        return;
    while (!m_waiting.empty() && m_running.size() < m_limit.limit()) {
        const DispatchId id = m_waiting.begin()->id;
        m_waiting.erase(m_waiting.begin());
        m_running.insert(id);
        HS_INVARIANT(GrantWithinLimit, m_running.size() <= m_slots)
            << m_running.size() << " sub-requests run on " << m_slots << " slots";
        actions.dispatch.push_back(id);
    }
}

} // namespace hickoryspur
