// The upstreams that an entry knows. Announcements arrive from upstreams directly or through other
// entries; a record expires when it is not repeated in time. The entry that receives an upstream's
// announcement broadcasts changes as full records and repetitions as short refreshes.
#pragma once

#include "hickoryspur/connection/Announcement.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <string>
#include <vector>

namespace hickoryspur {

/** An upstream has repeated its announcement without changes. */
struct AnnouncementRefresh
{
    UpstreamId id;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    MSGPACK_DEFINE(id, incarnation, sequence)
};

/** Message between entries. `wanted` requests records for which the sender got a refresh but has no current record. */
struct DirectoryUpdate
{
    std::vector<Announcement> records;
    std::vector<AnnouncementRefresh> refreshes;
    std::vector<UpstreamId> wanted;
    MSGPACK_DEFINE(records, refreshes, wanted)

    bool empty() const { return records.empty() && refreshes.empty() && wanted.empty(); }
};

enum class DirectoryChange {
    /** The announcement is older than the record or only repeats it. */
    None,
    Arrived,
    Changed,
    /** The upstream has a new incarnation. */
    Restarted,
    Leaving,
    /** The same or an older incarnation of the upstream is announced at another address; the record is kept. */
    Conflict,
};

class UpstreamDirectory
{
public:
    /** A record that is not updated for this long expires. */
    static constexpr Duration kRecordLifetime = 3s;
    /** Minimum time between broadcasts, so that a burst of changes shares a message; a departure is sent at once. */
    static constexpr Duration kBroadcastInterval = 250ms;

    /** Stores an announcement that this entry received from the upstream itself. */
    DirectoryChange announce(TimePoint now, const Announcement &announcement);
    /** Applies an update from another entry; the returned update requests the records that are missing here. */
    DirectoryUpdate merge(TimePoint now, const DirectoryUpdate &update);
    /** The records that another entry requested. */
    DirectoryUpdate lookUpWanted(const std::vector<UpstreamId> &wanted) const;
    /** Removes expired records; returns what to broadcast to all other entries now, which may be empty. */
    DirectoryUpdate tick(TimePoint now);

    /** Increases with each change, so that a view is rebuilt only after a change. */
    uint64_t revision() const { return m_revision; }
    std::vector<Announcement> records() const;
    size_t size() const { return m_records.size(); }
    /** Upstreams whose records expired in the last tick. */
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

/** The home of an upstream by rendezvous hashing among the entries of its data centre, or among all if it has none. */
NodeId homeOf(const UpstreamId &upstream, const std::vector<NodeId> &sameDataCentre,
              const std::vector<NodeId> &allEntries);

} // namespace hickoryspur
