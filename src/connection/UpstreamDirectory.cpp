#include "hickoryspur/connection/UpstreamDirectory.h"

#include "hickoryspur/process/Digest.h"

namespace hickoryspur {

DirectoryChange UpstreamDirectory::store(TimePoint now, const Announcement &announcement, bool fromUpstream)
{
    const auto found = m_records.find(announcement.id);
    if (found == m_records.end()) {
        m_records[announcement.id] = {announcement, now, fromUpstream, false};
        ++m_revision;
        return DirectoryChange::Arrived;
    }
    Record &record = found->second;
    const Announcement &known = record.announcement;
    if (announcement.incarnation < known.incarnation)
        return known.address == announcement.address && known.port == announcement.port ? DirectoryChange::None
                                                                                        : DirectoryChange::Conflict;
    const bool sameIncarnation = announcement.incarnation == known.incarnation;
    if (sameIncarnation && (known.address != announcement.address || known.port != announcement.port))
        return DirectoryChange::Conflict;
    if (sameIncarnation && announcement.sequence <= known.sequence)
        return DirectoryChange::None;
    const bool unchanged = sameIncarnation && known.equalsExceptSequence(announcement);
    const bool startsLeaving = announcement.isLeaving() && !known.isLeaving();
    record.announcement = announcement;
    record.lastUpdate = now;
    if (fromUpstream)
        (unchanged ? record.sendRefresh : record.sendRecord) = true;
    if (unchanged)
        return DirectoryChange::None;
    ++m_revision;
    if (startsLeaving)
        return DirectoryChange::Leaving;
    return sameIncarnation ? DirectoryChange::Changed : DirectoryChange::Restarted;
}

DirectoryChange UpstreamDirectory::announce(TimePoint now, const Announcement &announcement)
{
    const DirectoryChange change = store(now, announcement, true);
    if (change == DirectoryChange::Leaving)
        m_nextBroadcast = now;
    return change;
}

DirectoryUpdate UpstreamDirectory::merge(TimePoint now, const DirectoryUpdate &update)
{
    DirectoryUpdate answer;
    for (const Announcement &announcement : update.records)
        store(now, announcement, false);
    for (const AnnouncementRefresh &refresh : update.refreshes) {
        const auto found = m_records.find(refresh.id);
        if (found == m_records.end() || found->second.announcement.incarnation < refresh.incarnation) {
            answer.wanted.push_back(refresh.id);
            continue;
        }
        Record &record = found->second;
        if (record.announcement.incarnation == refresh.incarnation && record.announcement.sequence < refresh.sequence) {
            record.announcement.sequence = refresh.sequence;
            record.lastUpdate = now;
        }
    }
    return answer;
}

DirectoryUpdate UpstreamDirectory::lookUpWanted(const std::vector<UpstreamId> &wanted) const
{
    DirectoryUpdate update;
    for (const UpstreamId &id : wanted) {
        const auto found = m_records.find(id);
        if (found != m_records.end())
            update.records.push_back(found->second.announcement);
    }
    return update;
}

DirectoryUpdate UpstreamDirectory::tick(TimePoint now)
{
    m_expired.clear();
    for (auto item = m_records.begin(); item != m_records.end();) {
        if (now - item->second.lastUpdate <= kRecordLifetime) {
            ++item;
            continue;
        }
        m_expired.push_back(item->first);
        item = m_records.erase(item);
        ++m_revision;
    }
    DirectoryUpdate update;
    if (now < m_nextBroadcast)
        return update;
    m_nextBroadcast = now + kBroadcastInterval;
    for (auto &[id, record] : m_records) {
        if (record.sendRecord)
            update.records.push_back(record.announcement);
        else if (record.sendRefresh)
            update.refreshes.push_back({id, record.announcement.incarnation, record.announcement.sequence});
        record.sendRecord = false;
        record.sendRefresh = false;
    }
    return update;
}

std::vector<Announcement> UpstreamDirectory::records() const
{
    std::vector<Announcement> result;
    result.reserve(m_records.size());
    for (const auto &[id, record] : m_records)
        result.push_back(record.announcement);
    return result;
}

NodeId homeOf(const UpstreamId &upstream, const std::vector<NodeId> &sameDataCentre,
              const std::vector<NodeId> &allEntries)
{
    const std::vector<NodeId> &choices = sameDataCentre.empty() ? allEntries : sameDataCentre;
    NodeId best;
    uint64_t bestScore = 0;
    for (const NodeId &node : choices) {
        const uint64_t score = hash64(node.value(), hash64(upstream.value()));
        if (best.value().empty() || score > bestScore) {
            best = node;
            bestScore = score;
        }
    }
    return best;
}

} // namespace hickoryspur
