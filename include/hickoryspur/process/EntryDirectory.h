// The entries that an entry may send callers to, as the control hosts report them. An address counts
// if any control host with a recent heartbeat reports it, so a control host that has lost its
// connection to an entry doesn't hide that entry. Without heartbeats from a majority of the control
// hosts or from a confirmed leader, this entry is probably partitioned, together with the entries that
// the reachable control hosts report. In that case it uses the last reports of the unreachable control
// hosts instead, minus those entries; if none is left, it uses the current reports.
#pragma once

#include "hickoryspur/process/EntryLocation.h"
#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

class EntryDirectory
{
public:
    /** Control hosts send updates more often than once a second; a report without one for this long is stale. */
    static constexpr Duration kHeartbeatTimeout = 1500ms;

    /** Replaces the entries that a control host reports. */
    void update(TimePoint now, const NodeId &source, std::vector<EntryLocation> entries);
    /** Records an update of a control host whose addresses are unchanged. */
    void recordHeartbeat(TimePoint now, const NodeId &source);
    /**
     * Records an update of a leader that a majority of the voters confirms. It shows that this entry is not partitioned
     * from them, however many hosts that have ended are still known as control hosts.
     */
    void recordConfirmation(TimePoint now) { m_confirmedAt = now; }
    /** Records how many entries have a session with a control host, whether or not callers are sent to them. */
    void recordSessions(const NodeId &source, uint32_t sessions) { m_sessions[source] = sessions; }
    /** Number of entries of the deployment: a control host that has just started knows only some of them. */
    uint32_t deploymentSize() const;
    /**
     * The addresses that callers may be sent to, sorted and unique.
     * @param controlHosts The number of control hosts that this entry knows; some may have ended for good.
     */
    std::vector<std::string> addresses(TimePoint now, size_t controlHosts) const;
    /** The longest list among the current reports; if all reports are stale, a stale list. */
    const std::vector<EntryLocation> &mostCompleteList(TimePoint now) const;
    /** Number of entries in mostCompleteList(). */
    uint32_t count(TimePoint now) const { return static_cast<uint32_t>(mostCompleteList(now).size()); }

private:
    struct Report
    {
        std::vector<EntryLocation> entries;
        TimePoint lastHeartbeat;
    };

    std::map<NodeId, Report> m_reports;
    std::map<NodeId, uint32_t> m_sessions;
    std::optional<TimePoint> m_confirmedAt;
};

} // namespace hickoryspur
