// A control host of a deployment: takes part in the control group, hears upstreams' heartbeats and
// passes them on to every entry, and carries out operators' requests. Sessions with entries are soft
// state: an entry that stops telling of itself is soon no longer named to callers.
#pragma once

#include "app/HostDialect.h"
#include "hickoryspur/connection/UpstreamRegistry.h"
#include "hickoryspur/process/ControlHostDirectory.h"
#include "hickoryspur/process/HostSettings.h"
#include "hickoryspur/process/SessionMessage.h"
#include "process/FrameLink.h"
#include "process/GroupThread.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace hickoryspur {

class ControlHost
{
public:
    ControlHost(boost::asio::io_context &context, HostSettings settings, HostDialect dialect, uint64_t incarnation);

    Result<void> start();
    void reload(const HostSettings &settings);
    void setClosing();
    size_t openRequests() const;

private:
    struct Session
    {
        std::shared_ptr<FrameLink> link;
        EntryStatus status;
        std::vector<UpstreamId> heard;
        /** What was last told of entries and control hosts. */
        uint64_t toldHosts = 0;
    };

    void received(const std::shared_ptr<FrameLink> &link, const PeerMessage &message);
    void closed(const std::shared_ptr<FrameLink> &link);
    void noteEntry(const std::shared_ptr<FrameLink> &link, const EntryStatus &status);
    void sendLog(const std::shared_ptr<FrameLink> &link);
    void noteStatus(GroupStatus status);
    void onTimer();
    void startTimer();
    void refreshSessions(TimePoint now);
    void askWhetherConfirmed();
    void sendUpdate(Session &session, EntryUpdate update);
    EntryUpdate stateUpdate(TimePoint now) const;
    EntryUpdate fullUpdate(TimePoint now) const;
    /** Counts changes of the entries to be named and of the control hosts. */
    void noteHosts();
    std::vector<std::string> offeredEntries() const;
    bool isConfirmed(TimePoint now) const;
    void dialControlHosts();

    ControlApi makeApi();
    Result<void> announce(const Announcement &announcement);
    Result<void> remove(const UpstreamId &id, uint64_t incarnation);
    /** Fails where news of upstreams reaches nobody from here. */
    Result<void> entriesHear() const;
    void tellEntries(const Announcement &announcement);
    void saveUpstreamsIfDue(TimePoint now);
    void recallUpstreams(const std::string &bytes);
    Result<void> submit(Command command);
    template <typename Value> Result<Value> read(std::function<Value(const ControlState &)> pick);
    std::optional<HostAddress> leaderAddress() const;

    boost::asio::io_context &m_context;
    HostSettings m_settings;
    HostDialect m_dialect;
    uint64_t m_incarnation;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<GroupThread> m_group;
    std::unique_ptr<FrameListener> m_listener;
    std::unique_ptr<OutgoingLinks> m_links;
    std::unique_ptr<HttpCallerServer> m_controlServer;
    std::vector<std::shared_ptr<FrameLink>> m_inbound;
    std::map<FrameLink *, Session> m_sessions;
    UpstreamRegistry m_registry;
    GroupStatus m_status;
    ControlHostDirectory m_hosts;
    TimePoint m_confirmedAt;
    TimePoint m_nextPing;
    TimePoint m_nextSave;
    bool m_upstreamsChanged = false;
    uint64_t m_hostsVersion = 0;
    std::vector<std::string> m_offered;
    std::vector<NodeId> m_controlHosts;
};

} // namespace hickoryspur
