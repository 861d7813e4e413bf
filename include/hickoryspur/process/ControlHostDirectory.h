// The control hosts that a process connects to: the configured seeds, the hosts that other control
// hosts report, and hosts that have asked to join. Reports count even from a host that no majority
// confirms: the leader may not be a seed, and only the leader can be confirmed.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <vector>

namespace hickoryspur {

class ControlHostDirectory
{
public:
    /** How long a host that has asked to join is kept; by then the group reports it, or it asks again. */
    static constexpr Duration kJoinRequestExpiry = 5s;

    /** Like the other methods that change the directory, returns true if hosts() may have changed. */
    bool setSeeds(const std::vector<NodeId> &seeds);
    /** Replaces the hosts that `from` reported before. */
    bool updateReportedHosts(const NodeId &from, const std::vector<NodeId> &reported);
    /** Adds a host that has contacted this process until kJoinRequestExpiry has passed, even if nobody reports it. */
    bool recordJoinRequest(TimePoint now, const NodeId &host);
    /** Drops the report of a host whose connection is lost, unless it is the only report. */
    bool removeSource(const NodeId &from);

    /** Sorted. */
    std::vector<NodeId> hosts(TimePoint now) const;

private:
    std::vector<NodeId> m_seeds;
    std::map<NodeId, std::vector<NodeId>> m_reported;
    std::map<NodeId, TimePoint> m_joinRequests;
};

} // namespace hickoryspur
