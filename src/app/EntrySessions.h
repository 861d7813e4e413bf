// The sessions of a control host with entries: what each entry reports, and what it has been sent. Routes
// and the lists of hosts are large, so an entry gets them only when it lacks them; everything else is
// encoded once and sent to all.
//
// A new session waits for the complete state. After a restart of all hosts hundreds open at the same moment, and
// a control host that encodes its state for each of them answers none in time: the entries give up, dial again, and
// it never catches up. So the state is encoded once for a batch of sessions, and batches are bounded; a session
// that waits gets updates without contents, which keep it open.
#pragma once

#include "hickoryspur/process/ActiveEntries.h"
#include "hickoryspur/process/AppliedState.h"
#include "hickoryspur/process/SessionMessage.h"
#include "process/FrameLink.h"

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace hickoryspur {

class EntrySessions
{
public:
    using Link = std::shared_ptr<FrameLink>;

    /** What a status has changed. */
    struct StatusChange
    {
        bool isNew = false;
        /** Also true for a new session. */
        bool offeredChanged = false;
    };

    /** `self` is the sender of all updates. */
    explicit EntrySessions(NodeId self)
        : m_self(std::move(self))
    {
    }

    /** Records an entry's status; opens a session for a link that has none. */
    StatusChange recordStatus(const Link &link, const EntryStatus &status);
    void remove(const Link &link);
    /** Whether the session still waits for the complete state; until then it is sent nothing else. */
    bool awaitsState(const Link &link) const;
    bool anyAwaitsState() const { return !m_awaitingState.empty(); }
    /** Sends the complete state, encoded once, to the sessions that have waited longest; at most maxSessions. */
    void sendState(size_t maxSessions, EntryUpdate update);
    size_t size() const { return m_sessions.size(); }
    /** Whether any entry would receive what is sent now. */
    bool hasOpenSession() const;
    /** The entries to which callers may be sent; those that are cut off from the upstreams only if there is no other.
     */
    std::vector<OfferedEntry> offeredEntries() const;
    /** How long the peer of an inbound link may be silent: longer for an entry that reports at a longer interval. */
    Duration timeout(const Link &link) const;

    /** Sets the routes in force. */
    void setRoutes(TimePoint now, const AcceptedRoutes &routes);
    const RoutesVersion &routes() const { return m_routesVersion; }
    /** Sets the entries that callers may be sent to and the control hosts; returns whether they have changed. */
    bool setHosts(std::vector<EntryLocation> entries, std::vector<NodeId> controlHosts);

    /** Sends an update, with the lists of hosts if the entry lacks them. Does nothing without an open session. */
    void send(const Link &link, EntryUpdate update);
    /** Sends one update, encoded once, to all entries. */
    void broadcast(const EntryUpdate &update);
    /**
     * Whether an entry lacks the routes and was not sent them a moment ago. The leader sends routes as soon as they are
     * in force; other hosts only what it could not deliver.
     */
    bool lacksRoutes(TimePoint now, bool leads, const Link &link) const;
    std::vector<Link> linksWithoutRoutes(TimePoint now, bool leads) const;
    /** Sends an update with the routes. */
    void sendRoutes(TimePoint now, const Link &link, EntryUpdate update);

    /** Marks that the entry waits for a report on the log; returns false if it does already or has no session. */
    bool beginLogReport(const Link &link);
    /** Clears that mark; returns false if the session has ended. */
    bool endLogReport(const Link &link);

private:
    struct Session
    {
        Link link;
        EntryStatus status;
        bool awaitsState = true;
        /** Number of the routes that were last sent, and when: they are large, and several hosts could send them. */
        uint64_t sentRoutes = 0;
        TimePoint sentRoutesAt;
        bool logReportPending = false;
        /** The m_hostsVersion that was last sent. */
        uint64_t sentHostsVersion = 0;
    };

    bool lacksRoutes(TimePoint now, bool leads, const Session &session) const;
    void send(Session &session, EntryUpdate update);
    PeerMessage encode(const EntryUpdate &update) const;

    NodeId m_self;
    std::map<FrameLink *, Session> m_sessions;
    /** The sessions that wait for the complete state, and some that have ended; the oldest first. */
    std::deque<std::weak_ptr<FrameLink>> m_awaitingState;
    RoutesVersion m_routesVersion;
    AcceptedRoutes m_routes;
    /** m_routes with its text compressed. */
    AcceptedRoutes m_compressedRoutes;
    TimePoint m_routesChangedAt;
    /** Increases with each change of the lists. */
    uint64_t m_hostsVersion = 0;
    std::vector<EntryLocation> m_offeredEntries;
    std::vector<NodeId> m_controlHosts;
};

} // namespace hickoryspur
