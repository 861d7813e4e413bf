#include "hickoryspur/connection/ReplicaSubset.h"

#include "hickoryspur/process/Digest.h"

#include <algorithm>

namespace hickoryspur {

void ReplicaSubset::setEntries(const std::string &self, const std::vector<std::string> &entries)
{
    std::vector<std::string> others = entries;
    std::erase(others, self);
    if (others == m_others && self == m_self)
        return;
    m_self = self;
    m_others = std::move(others);
    m_ranks.clear();
}

bool ReplicaSubset::holds(const UpstreamId &upstream, uint32_t connectionLimit) const
{
    const auto holders = std::max<size_t>(1, static_cast<size_t>(kUsableShare * connectionLimit));
    if (m_others.size() < holders)
        return true;
    return cachedRank(upstream) < holders;
}

size_t ReplicaSubset::cachedRank(const UpstreamId &upstream) const
{
    const auto found = m_ranks.find(upstream);
    return found == m_ranks.end() ? m_ranks.emplace(upstream, rankOf(upstream)).first->second : found->second;
}

size_t ReplicaSubset::rankOf(const UpstreamId &upstream) const
{
    const uint64_t seed = hash64(upstream.value());
    const uint64_t own = hash64(m_self, seed);
    return static_cast<size_t>(std::count_if(m_others.begin(), m_others.end(), [&](const std::string &other) {
        const uint64_t theirs = hash64(other, seed);
        return theirs < own || (theirs == own && other < m_self);
    }));
}

} // namespace hickoryspur
