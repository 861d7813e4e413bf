// To which upstreams an entry holds connections where there are more entries than an upstream accepts
// connections. Entries are ranked for each upstream by a hash of both, and only the first so many hold
// connections to it. All entries work this out alike from the list of entries, without a message, and
// an entry that comes or goes changes the place of few others. It answers the load pattern of a large
// deployment in which every entry opens a connection to every upstream, and those beyond the limit
// are reset and tried again for ever.
#pragma once

#include "hickoryspur/process/Ids.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

class ReplicaSubset
{
public:
    /** Part of an upstream's connections that are given away; entries may see the list a little differently. */
    static constexpr double kUsableShare = 0.85;

    /** The entries that serve callers, by their addresses, and which of them is this one. */
    void setEntries(const std::string &self, const std::vector<std::string> &entries);
    /** connectionLimit is how many connections the upstream accepts from all entries together. */
    bool holds(const UpstreamId &upstream, uint32_t connectionLimit) const;

private:
    size_t rankOf(const UpstreamId &upstream) const;

    std::string m_self;
    std::vector<std::string> m_others;
    /** How many other entries come before this one; worked out once for each upstream. */
    mutable std::unordered_map<UpstreamId, size_t> m_ranks;
};

} // namespace hickoryspur
