// Selects the upstreams to which an entry opens connections when there are more entries than an upstream
// accepts connections. Entries are ranked for each upstream by a hash of both (rendezvous hashing), and
// only as many of the first as fit its limit connect to it. All entries compute the same ranking from the
// list of entries, without messages, and an entry that joins or leaves changes few other assignments.
// Without it, every entry of a large deployment opens a connection to every upstream, and the connections
// beyond the limit are reset and retried endlessly.
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
    /** Share of an upstream's connection limit that is assigned; the rest allows for differing lists of entries. */
    static constexpr double kUsableShare = 0.85;

    /** Sets the addresses of this entry and of all entries that serve callers. */
    void setEntries(const std::string &self, const std::vector<std::string> &entries);
    /** Whether this entry connects to an upstream that accepts connectionLimit connections from all entries together.
     */
    bool holds(const UpstreamId &upstream, uint32_t connectionLimit) const;

    /** Whether this entry ranks first for the upstream, which the lists of all entries agree on unless they differ. */
    bool isHome(const UpstreamId &upstream) const { return cachedRank(upstream) == 0; }

private:
    size_t cachedRank(const UpstreamId &upstream) const;
    size_t rankOf(const UpstreamId &upstream) const;

    std::string m_self;
    std::vector<std::string> m_others;
    /** Cache: number of other entries that rank before this one, for each upstream. */
    mutable std::unordered_map<UpstreamId, size_t> m_ranks;
};

} // namespace hickoryspur
