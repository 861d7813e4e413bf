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

struct AnnouncementTouch
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
    std::vector<AnnouncementTouch> touches;
    std::vector<UpstreamId> wanted;
    MSGPACK_DEFINE(records, touches, wanted)

    bool empty() const { return records.empty() && touches.empty() && wanted.empty(); }
};

enum class DirectoryChange { None, Arrived, Changed, Restarted, Leaving, Conflict };

class UpstreamDirectory
{
public:
    /** An upstream is forgotten when it has not been heard for this long. */
    static constexpr Duration kRecordLife = 3s;
    /** Changes wait this long for others, so that a burst of them shares a message. */
    static constexpr Duration kSpreadInterval = 250ms;

    /** An announcement made to this entry. */
    DirectoryChange announce(TimePoint now, const Announcement &announcement);
    /** An update from another entry; the answer names records that are missing here. */
    DirectoryUpdate merge(TimePoint now, const DirectoryUpdate &update);
    /** Records another entry asked for. */
    DirectoryUpdate answerWanted(const std::vector<UpstreamId> &wanted) const;
    /** What to spread to every other entry now, if anything. */
    DirectoryUpdate tick(TimePoint now);

    /** Counts changes, so that a view is built only when something changed. */
    uint64_t revision() const { return m_revision; }
    std::vector<Announcement> records() const;
    size_t size() const { return m_records.size(); }
    /** Upstreams forgotten by the last tick. */
    const std::vector<UpstreamId> &lost() const { return m_lost; }

private:
    struct Record
    {
        Announcement announcement;
        TimePoint heard;
        bool spreadRecord = false;
        bool spreadTouch = false;
    };

    DirectoryChange store(TimePoint now, const Announcement &announcement, bool fromUpstream);

    std::map<UpstreamId, Record> m_records;
    std::vector<UpstreamId> m_lost;
    TimePoint m_nextSpread;
    uint64_t m_revision = 0;
};

/** The entry that is home to an upstream: by rendezvous hash, in the upstream's data centre where any is. */
NodeId homeOf(const UpstreamId &upstream, const std::vector<NodeId> &sameDataCentre,
              const std::vector<NodeId> &allEntries);

} // namespace hickoryspur
