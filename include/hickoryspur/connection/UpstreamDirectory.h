// The upstreams that this entry knows of. Announcements arrive from upstreams directly or through
// other entries; what is not repeated within its life is forgotten. The entry that an upstream
// announces itself to passes changes on at once and mere repetitions as short touches.
#pragma once

#include "hickoryspur/connection/Announcement.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <string>
#include <vector>

namespace hickoryspur {

struct AnnouncementRefresh
{
    UpstreamId id;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    MSGPACK_DEFINE(id, incarnation, sequence)
};

/** What one entry tells the others; asks names records it was touched about but does not have. */
struct DirectoryUpdate
{
    std::vector<Announcement> records;
    std::vector<AnnouncementRefresh> refreshes;
    std::vector<UpstreamId> wanted;
    MSGPACK_DEFINE(records, refreshes, wanted)

    bool empty() const { return records.empty() && refreshes.empty() && wanted.empty(); }
};

enum class DirectoryChange { None, Arrived, Changed, Restarted, Leaving, Conflict };

class UpstreamDirectory
{
public:
    /** An upstream is forgotten when it has not been heard for this long. */
    static constexpr Duration kRecordLifetime = 3s;
    /** Changes wait this long for others, so that a burst of them shares a message. */
    static constexpr Duration kBroadcastInterval = 250ms;

    /** An announcement made to this entry. */
    DirectoryChange announce(TimePoint now, const Announcement &announcement);
    /** An update from another entry; the answer names records that are missing here. */
    DirectoryUpdate merge(TimePoint now, const DirectoryUpdate &update);
    /** Records another entry asked for. */
    DirectoryUpdate lookUpWanted(const std::vector<UpstreamId> &wanted) const;
    /** What to spread to every other entry now, if anything. */
    DirectoryUpdate tick(TimePoint now);

    /** Counts changes, so that a view is built only when something changed. */
    uint64_t revision() const { return m_revision; }
    std::vector<Announcement> records() const;
    size_t size() const { return m_records.size(); }
    /** Upstreams forgotten by the last tick. */
    const std::vector<UpstreamId> &expired() const { return m_expired; }

private:
    struct Record
    {
        Announcement announcement;
        TimePoint lastUpdate;
        bool sendRecord = false;
        bool sendRefresh = false;
    };

    DirectoryChange store(TimePoint now, const Announcement &announcement, bool fromUpstream);

    std::map<UpstreamId, Record> m_records;
    std::vector<UpstreamId> m_expired;
    TimePoint m_nextBroadcast;
    uint64_t m_revision = 0;
};

/** The entry that is home to an upstream: by rendezvous hash, in the upstream's data centre where any is. */
NodeId homeOf(const UpstreamId &upstream, const std::vector<NodeId> &sameDataCentre,
              const std::vector<NodeId> &allEntries);

} // namespace hickoryspur
