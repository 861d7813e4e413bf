// A control host of a deployment: a member of the control group that receives upstreams' heartbeats,
// forwards them to every entry, and executes operators' requests. Sessions with entries are soft state:
// an entry that stops sending its status times out and is removed from the addresses given to callers.
#pragma once

#include "app/EntrySessions.h"
#include "app/HostCodec.h"
#include "app/HostNotes.h"
#include "app/UsageCollector.h"
#include "app/UsageReports.h"
#include "hickoryspur/connection/UpstreamRegistry.h"
#include "hickoryspur/process/ActiveEntries.h"
#include "hickoryspur/process/ControlHostDirectory.h"
#include "hickoryspur/process/HostSettings.h"
#include "hickoryspur/process/LoadTotals.h"
#include "hickoryspur/process/SaveTracker.h"
#include "hickoryspur/process/UpstreamCounts.h"
#include "hickoryspur/version/MoveCoordinator.h"
#include "process/FrameLink.h"
#include "process/GroupThread.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace hickoryspur {

class ControlHost
{
public:
    ControlHost(boost::asio::io_context &context, HostSettings settings, HostCodec codec, uint64_t incarnation);

    Result<void> start();
    void reload(const HostSettings &settings);
    void setClosing();
    size_t openRequests() const;

private:
    void onMessage(const std::shared_ptr<FrameLink> &link, const PeerMessage &message);
    void onLinkClosed(const std::shared_ptr<FrameLink> &link);
    void updateEntryStatus(const std::shared_ptr<FrameLink> &link, const EntryStatus &status);
    void sendLogReport(const std::shared_ptr<FrameLink> &link);
    /** Sends the complete state to sessions that wait for it, as many as are allowed in this tick. */
    void sendAwaitedState();
    void updateGroupStatus(GroupStatus status);
    void onTimer();
    void startTimer();
    void refreshSessions(TimePoint now);
    void requestConfirmation();
    /** Sends the routes to the entries that lack them. */
    void sendMissingRoutes(TimePoint now);
    Duration refreshInterval() const;
    /** On the leader: takes over what an entry reports of the load of upstreams. */
    void recordLoad(TimePoint now, const std::shared_ptr<FrameLink> &link, const EntryStatus &status);
    /** On the confirmed leader: adds the load of upstreams to an update for all entries; returns whether there is any.
     */
    bool addLoad(TimePoint now, EntryUpdate &update);
    void flushAnnouncements();
    /** An update with the confirmation and the applied index only. */
    EntryUpdate makeStateUpdate(TimePoint now) const;
    /** Like makeStateUpdate(), with what is in force besides the routes. */
    EntryUpdate makeLogStateUpdate(TimePoint now) const;
    EntryUpdate makeFullUpdate(TimePoint now) const;
    /** Updates the offered entries and the control hosts; returns whether they have changed. */
    bool updateHosts();
    /** The addresses that callers may be sent to. */
    std::vector<EntryLocation> selectEntries(TimePoint now);
    UpstreamCountReport countUpstreams() const;
    bool isConfirmed(TimePoint now) const;
    void dialControlHosts();
    /** Creates the usage reports if the settings ask for them. */
    void startUsageReports();

    ControlApi makeApi();
    Result<void> announce(const Announcement &announcement);
    Result<void> remove(const UpstreamId &id, uint64_t incarnation);
    /** Fails with NoEntryConnected if no entry has an open session, since no entry would receive the announcement. */
    Result<void> requireConnectedEntry() const;
    void broadcastAnnouncement(const Announcement &announcement);
    /** Tells the other control hosts that an upstream leaves: they may have an earlier announcement of it. */
    void reportDeparture(const Announcement &announcement);
    /** Registers an announcement, or the end of an upstream, that another control host or the disk reports. */
    RegistryChange registerReported(const Announcement &announcement);
    /** Passes on what an entry knows of requests that end upstreams, if it is new. */
    void mergeSuspects(TimePoint now, const std::vector<SuspectReport> &suspects);
    void saveNotesIfDue(TimePoint now);
    void onNotesSaved(uint64_t covered, bool saved);
    /** Waits on the calling fiber until this host's disk holds every departure that it knows. */
    Result<void> awaitDeparturesSaved();
    /** The same, and fails like requireConnectedEntry(). */
    Result<void> confirmDeparture();
    void restoreNotes(const std::string &bytes);
    void restoreUpstreams(const std::vector<Announcement> &upstreams);
    Result<void> submit(Command command);
    Result<void> replaceRoutes(const RoutesOrder &order);
    Result<void> setDataCentreOut(const DataCentreOrder &order);
    Result<void> orderMove(const MoveOrder &order);
    /** On the leader: appends the next step of a move to the log, one at a time. */
    void advanceMoves(TimePoint now);
    /** Stores a move that was decided on the given packed state; refused if that state has changed meanwhile. */
    static Command makeMoveCommand(const std::string &service, const MoveState &state, const std::string &previous);
    template <typename Value> Result<Value> read(std::function<Value(const ControlState &)> selector);
    std::optional<HostAddress> leaderAddress() const;

    boost::asio::io_context &m_context;
    HostSettings m_settings;
    HostCodec m_codec;
    uint64_t m_incarnation;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<GroupThread> m_group;
    /** Null without an address to report to. */
    std::unique_ptr<UsageReports> m_usageReports;
    std::unique_ptr<FrameListener> m_listener;
    std::unique_ptr<OutgoingLinks> m_links;
    std::unique_ptr<HttpCallerServer> m_controlServer;
    std::vector<std::shared_ptr<FrameLink>> m_inbound;
    EntrySessions m_sessions;
    UpstreamRegistry m_registry;
    MoveCoordinator m_moves{shortMoveTiming()};
    bool m_moveStepPending = false;
    GroupStatus m_status;
    ControlHostDirectory m_hosts;
    TimePoint m_confirmedAt;
    TimePoint m_nextRefresh;
    TimePoint m_nextSave;
    /** Whether sendAwaitedState() has run since the last tick. */
    bool m_stateSentInTick = false;
    bool m_notesChanged = false;
    /** Upstreams that leave, until the notes on the disk say so. */
    SaveTracker m_departures;
    UpstreamCounts m_upstreamCounts;
    UsageCollector m_usage;
    ActiveEntries m_activeEntries;
    LoadTotals m_load;
    /** What entries report of requests that end upstreams; passed on to all of them. */
    RequestQuarantine m_quarantine;
    /** Changed announcements, and unchanged heartbeats, that have not been sent to the entries yet. */
    std::vector<Announcement> m_newAnnouncements;
    std::vector<UpstreamId> m_heartbeats;
};

} // namespace hickoryspur
