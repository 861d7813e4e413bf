// Which entries callers may be sent to, as an entry knows it from the control hosts' sessions: what
// any control host names that was heard lately counts, so one that has lost its way to an entry does
// not hide it. When none is heard any more, the last word of each holds.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <string>
#include <vector>

namespace hickoryspur {

class EntryBook
{
public:
    /** A control host tells of itself several times a second; its word is old after this. */
    static constexpr Duration kFresh = 1s;

    /** The addresses that a control host names now. */
    void note(TimePoint now, const NodeId &source, std::vector<std::string> addresses);
    /** It has spoken without naming any anew. */
    void heard(TimePoint now, const NodeId &source);
    /** Sorted, each once. */
    std::vector<std::string> addresses(TimePoint now) const;
    /** The most entries that one control host has named lately. */
    uint32_t count(TimePoint now) const;

private:
    struct Source
    {
        std::vector<std::string> addresses;
        TimePoint heard;
    };

    std::vector<const Source *> counting(TimePoint now) const;

    std::map<NodeId, Source> m_sources;
};

} // namespace hickoryspur
