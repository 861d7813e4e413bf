// A control host of a deployment: takes part in the control group, hears upstreams' heartbeats and
// passes them on to every entry, carries out operators' requests, and tells callers where the
// entries are. Sessions with entries are soft state: an entry that stops telling of itself within
// about a second is no longer named to callers.
#pragma once

#include "app/HostDialect.h"
#include "hickoryspur/connection/UpstreamRegistry.h"
#include "hickoryspur/process/ControlHostBook.h"
#include "hickoryspur/process/FleetMessage.h"
#include "hickoryspur/process/HostSettings.h"
#include "process/FrameLink.h"
#include "process/GroupThread.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <random>

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
    };

    void received(const std::shared_ptr<FrameLink> &link, PeerMessage message);
    void closed(const std::shared_ptr<FrameLink> &link);
    void noteEntry(const std::shared_ptr<FrameLink> &link, const EntryStatus &status);
    void noteStatus(GroupStatus status);
    void onTimer();
    void startTimer();
    void refreshSessions(TimePoint now);
    void askWhetherConfirmed();
    void sendUpdate(Session &session, const EntryUpdate &update);
    EntryUpdate stateUpdate(TimePoint now) const;
    EntryUpdate fullUpdate(TimePoint now) const;
    bool isConfirmed(TimePoint now) const;
    void dialControlHosts();

    ControlApi makeApi();
    void announce(const Announcement &announcement);
    void remove(const UpstreamId &id, uint64_t incarnation);
    void tellEntries(const Announcement &announcement);
    Result<void> submit(Command command);
    template <typename Value> Result<Value> read(std::function<Value(const ControlState &)> pick);
    std::optional<HostAddress> leaderAddress() const;
    std::optional<EntryPlaces> places(TimePoint now);

    boost::asio::io_context &m_context;
    HostSettings m_settings;
    HostDialect m_dialect;
    uint64_t m_incarnation;
    TimePoint m_started;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<GroupThread> m_group;
    std::unique_ptr<FrameListener> m_listener;
    std::unique_ptr<OutgoingLinks> m_links;
    std::unique_ptr<HttpCallerServer> m_controlServer;
    std::unique_ptr<HttpCallerServer> m_directoryServer;
    std::vector<std::shared_ptr<FrameLink>> m_inbound;
    std::map<FrameLink *, Session> m_sessions;
    UpstreamRegistry m_registry;
    GroupStatus m_status;
    ControlHostBook m_hosts;
    TimePoint m_confirmedAt;
    TimePoint m_nextPing;
    std::mt19937_64 m_random;
};

} // namespace hickoryspur
