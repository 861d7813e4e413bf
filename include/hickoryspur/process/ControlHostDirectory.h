// Which control hosts a process should be in touch with. It is told seeds and nothing else; each
// control host that it reaches names the others it knows. All that are named count, also by hosts
// that no majority confirms: the leader may be no seed, and only it can be confirmed.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <vector>

namespace hickoryspur {

class ControlHostDirectory
{
public:
    /** A host that has only asked to join is kept this long; by then the group names it, or it asks again. */
    static constexpr Duration kJoinRequestExpiry = 5s;

    /** Both return true where hosts() has changed. */
    bool setSeeds(const std::vector<NodeId> &seeds);
    /** What `from` names replaces what it named before. */
    bool updateReportedHosts(const NodeId &from, const std::vector<NodeId> &reported);
    /** A host that is not named yet has spoken to us. */
    bool recordJoinRequest(TimePoint now, const NodeId &host);
    /** The connection to this host is lost; what it named is forgotten unless nobody else names anything. */
    bool removeSource(const NodeId &from);

    /** Sorted. */
    std::vector<NodeId> hosts(TimePoint now) const;

private:
    std::vector<NodeId> m_seeds;
    std::map<NodeId, std::vector<NodeId>> m_reported;
    std::map<NodeId, TimePoint> m_joinRequests;
};

} // namespace hickoryspur
