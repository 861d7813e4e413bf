#include "hickoryspur/connection/ConnectionPolicy.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/** A new sample has a weight of one in this many in the moving average of the latency. */
constexpr int kLatencyWeight = 8;

} // namespace

std::optional<ConnectionId> ConnectionPolicy::claimIdle(TimePoint now)
{
    auto best = m_connections.end();
    for (auto item = m_connections.begin(); item != m_connections.end(); ++item) {
        const Connection &connection = item->second;
        if (connection.state != State::Idle || connection.lastByte < m_suspectBefore)
            continue;
        if (best == m_connections.end() || connection.lastByte > best->second.lastByte)
            best = item;
    }
    if (best == m_connections.end())
        return std::nullopt;
    best->second.state = State::Busy;
    best->second.busySince = now;
    best->second.lastUse = now;
    return best->first;
}

std::optional<ConnectionId> ConnectionPolicy::add(TimePoint now)
{
    if (m_connections.size() >= m_limit)
        return std::nullopt;
    const ConnectionId id = m_nextId++;
    m_connections[id] = {State::Busy, now, now, now};
    return id;
}

void ConnectionPolicy::recordBytes(TimePoint now, ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end())
        found->second.lastByte = now;
}

void ConnectionPolicy::markIdle(TimePoint now, ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    found->second.state = State::Idle;
    found->second.lastByte = now;
}

void ConnectionPolicy::recordLatency(Duration latency)
{
    m_averageLatency = m_averageLatency == Duration::zero()
        ? latency
        : m_averageLatency + (latency - m_averageLatency) / kLatencyWeight;
}

Duration ConnectionPolicy::silenceTimeout() const
{
    return std::max(kMinSilenceTimeout, kSilenceFactor * m_averageLatency);
}

ConnectionActions ConnectionPolicy::tick(TimePoint now)
{
    ConnectionActions actions;
    for (auto &[id, connection] : m_connections) {
        const TimePoint silentSince = std::max(connection.lastByte, connection.busySince);
        switch (connection.state) {
        case State::Busy:
            if (now - silentSince > silenceTimeout())
                actions.abandon.push_back(id);
            break;
        case State::Probing:
            if (now - silentSince > kProbeTimeout)
                actions.abandon.push_back(id);
            break;
        case State::Idle:
            if (now - connection.lastUse > kIdleTimeout) {
                actions.abandon.push_back(id);
            } else if (now - connection.lastByte > kProbeAfter || connection.lastByte < m_suspectBefore) {
                connection.state = State::Probing;
                connection.busySince = now;
                actions.probe.push_back(id);
            }
            break;
        }
    }
    for (const ConnectionId id : actions.abandon) {
        const Connection &connection = m_connections.at(id);
        if (connection.state != State::Idle)
            m_suspectBefore = std::max(m_suspectBefore, connection.busySince);
        m_connections.erase(id);
    }
    return actions;
}

} // namespace hickoryspur
