// Which entries callers may be sent to, as an entry knows it from the control hosts' sessions: what
// any control host names that was heard lately counts, so one that has lost its way to an entry does
// not hide it. An entry that hears no majority of them is probably cut off itself, together with the
// entries that the heard ones name; then the last word of the others holds, less those.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <string>
#include <vector>

namespace hickoryspur {

class EntryDirectory
{
public:
    /** A control host tells of itself several times a second; its word is old after this. */
    static constexpr Duration kHeartbeatTimeout = 1s;

    /** The addresses that a control host names now. */
    void update(TimePoint now, const NodeId &source, std::vector<std::string> addresses);
    /** It has spoken without naming any anew. */
    void recordHeartbeat(TimePoint now, const NodeId &source);
    /** Sorted, each once; controlHosts is how many there are. */
    std::vector<std::string> addresses(TimePoint now, size_t controlHosts) const;
    /** The longest list that one control host has named lately; the last word of one where none is heard. */
    const std::vector<std::string> &mostCompleteList(TimePoint now) const;
    /** How many entries known() names. */
    uint32_t count(TimePoint now) const { return static_cast<uint32_t>(mostCompleteList(now).size()); }

private:
    struct Report
    {
        std::vector<std::string> addresses;
        TimePoint lastHeartbeat;
    };

    std::map<NodeId, Report> m_reports;
};

} // namespace hickoryspur
