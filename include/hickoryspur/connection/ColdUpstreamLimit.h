// Limits the requests that all entries together send to an upstream while it is cold, since one that has
// just started crashes under its usual load. Only one entry, the upstream's home, sends to it, and at a
// part of the rate that the upstream tolerates. The home follows from the list of entries
// (ReplicaSubset), so two entries may both be the home while their lists differ; the rate allows for that.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <deque>
#include <unordered_map>

namespace hickoryspur {

class ColdUpstreamLimit
{
public:
    /** Part of the tolerated rate that one home uses; two homes at a time stay below one and a half times the rate. */
    static constexpr double kUsableShare = 0.7;
    static constexpr Duration kWindow = 1s;

    /**
     * Whether one more request may be sent.
     * @param ratePerSecond The rate that the cold upstream tolerates; zero means that it has no limit.
     */
    bool maySend(TimePoint now, const UpstreamId &upstream, bool isHome, double ratePerSecond) const;
    void recordSent(TimePoint now, const UpstreamId &upstream);
    /** Forgets an upstream that is no longer cold. */
    void remove(const UpstreamId &upstream) { m_sent.erase(upstream); }

private:
    /** Times of the requests within the last window. */
    std::unordered_map<UpstreamId, std::deque<TimePoint>> m_sent;
};

} // namespace hickoryspur
