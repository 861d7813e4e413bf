// Decides which connection to an upstream carries the next request, which idle ones to probe or
// close, and which have gone silent and are abandoned. A silent connection says nothing about the
// upstream: something between the two ends may have forgotten just that connection.
#pragma once

#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hickoryspur {

using ConnectionId = uint64_t;

struct ConnectionActions
{
    std::vector<ConnectionId> abandon;
    std::vector<ConnectionId> probe;
};

class ConnectionPolicy
{
public:
    /** An idle connection is probed after this long without a byte. */
    static constexpr Duration kProbeAfter = 1s;
    static constexpr Duration kProbeTimeout = 300ms;
    /** With a request in flight, silence this many times the usual latency counts as silent. */
    static constexpr int kSilenceFactor = 8;
    static constexpr Duration kMinSilenceTimeout = 150ms;
    /** A connection that has carried nothing but probes this long is closed. */
    static constexpr Duration kIdleTimeout = 60s;

    explicit ConnectionPolicy(uint32_t connectionLimit)
        : m_limit(connectionLimit)
    {
    }

    /** An idle connection with the latest sign of life, now busy; nothing where a new one is needed. */
    std::optional<ConnectionId> claimIdle(TimePoint now);
    /** A new connection, counted as busy, where the upstream's limit leaves room. */
    std::optional<ConnectionId> add(TimePoint now);
    void recordBytes(TimePoint now, ConnectionId id);
    void markIdle(TimePoint now, ConnectionId id);
    void remove(ConnectionId id) { m_connections.erase(id); }
    void recordLatency(Duration latency);
    ConnectionActions tick(TimePoint now);
    size_t size() const { return m_connections.size(); }

private:
    enum class State { Idle, Busy, Probing };
    struct Connection
    {
        State state = State::Busy;
        TimePoint lastByte;
        TimePoint busySince;
        TimePoint lastUse;
    };

    Duration silenceTimeout() const;

    uint32_t m_limit;
    ConnectionId m_nextId = 1;
    Duration m_averageLatency = Duration::zero();
    /** Idle connections older than this were open when another one went silent. */
    TimePoint m_suspectBefore;
    std::map<ConnectionId, Connection> m_connections;
};

} // namespace hickoryspur
