// Selects the entries that callers are sent to. In a deployment with many more entries than the load
// needs, spreading callers over all of them leaves every connection to an upstream idle until it times
// out, and needs more connections than an upstream accepts. Only as many entries as the load needs are
// offered; the others stay ready and take over when one of those is lost.
//
// Entries near the upstreams come first: each data centre gets a part of the places according to its
// share of the upstreams, so that most sub-requests stay within a data centre. Within one the entries are
// ranked by a hash of their address, so that all control hosts select the same ones.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/process/EntryLocation.h"
#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <string>
#include <vector>

namespace hickoryspur {

struct OfferedEntry
{
    EntryLocation location;
    double subRequestsPerSecond = 0;
};

class ActiveEntries
{
public:
    /** Sub-requests per second that one entry of the smallest machines serves without a queue of its own. */
    static constexpr double kSubRequestsPerEntry = 150;
    /** So many entries are offered without regard to the load, so that the loss of some goes unnoticed. */
    static constexpr size_t kMinEntries = 48;
    /** The number of entries is reduced only when the load has been lower for this long. */
    static constexpr Duration kShrinkDelay = 15s;

    /**
     * Returns the entries that callers may be sent to, sorted by address.
     * @param entries All entries that are ready.
     * @param upstreams The number of upstreams in each data centre.
     */
    std::vector<EntryLocation> select(TimePoint now, const std::vector<OfferedEntry> &entries,
                                      const std::map<DataCentreName, size_t> &upstreams);

private:
    size_t targetCount(TimePoint now, const std::vector<OfferedEntry> &entries);

    size_t m_target = kMinEntries;
    /** When the load last needed m_target entries. */
    TimePoint m_lastNeeded;
};

} // namespace hickoryspur
