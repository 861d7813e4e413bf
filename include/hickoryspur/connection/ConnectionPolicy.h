// Decides which connection to an upstream carries the next request, which idle connections are probed
// or closed, and which silent ones are abandoned. A silent connection is not evidence that the upstream
// has failed: a NAT or firewall on the path may have dropped the state of just that connection.
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
    /** Connections to close: silent ones, and those that were idle for too long. */
    std::vector<ConnectionId> abandon;
    /** Idle connections on which a probe is to be sent. */
    std::vector<ConnectionId> probe;
};

class ConnectionPolicy
{
public:
    /** An idle connection is probed after this time without received bytes. */
    static constexpr Duration kProbeAfter = 1s;
    /** A probe without an answer for this long ends the connection. */
    static constexpr Duration kProbeTimeout = 300ms;
    /** A connection with a request in flight is silent after this many times the average latency without a byte. */
    static constexpr int kSilenceFactor = 8;
    /** Lower bound of that time. */
    static constexpr Duration kMinSilenceTimeout = 150ms;
    /** A connection that has carried only probes for this long is closed. */
    static constexpr Duration kIdleTimeout = 60s;

    explicit ConnectionPolicy(uint32_t connectionLimit)
        : m_limit(connectionLimit)
    {
    }

    /** Marks the idle connection with the most recent byte busy and returns it; nullopt if none is usable. */
    std::optional<ConnectionId> claimIdle(TimePoint now);
    /** Adds a busy connection; nullopt if the upstream's connection limit is reached. */
    std::optional<ConnectionId> add(TimePoint now);
    void recordBytes(TimePoint now, ConnectionId id);
    void markIdle(TimePoint now, ConnectionId id);
    void remove(ConnectionId id) { m_connections.erase(id); }
    void recordLatency(Duration latency);
    /** Connections in `abandon` are already removed; those in `probe` are marked as being probed. */
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
    /** An idle connection without a byte since this time was open when another went silent; it is probed before reuse.
     */
    TimePoint m_suspectBefore;
    std::map<ConnectionId, Connection> m_connections;
};

} // namespace hickoryspur
