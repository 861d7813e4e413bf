// An entry of a deployment: answers callers from its own connections to upstreams, tells them where
// the entries are, and keeps a
// session with every control host, from which it learns the routes in force, the upstreams and the
// data centres that are out. It serves callers once a leader that a majority confirms has told it
// the routes, or a majority of the control hosts' logs has, and goes on serving by them when it loses
// all control hosts.
#pragma once

#include "app/HostDialect.h"
#include "hickoryspur/process/ControlHostDirectory.h"
#include "hickoryspur/process/EntryDirectory.h"
#include "hickoryspur/process/HostSettings.h"
#include "hickoryspur/process/SessionMessage.h"
#include "process/FrameLink.h"
#include "request/EntryTraffic.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <random>

namespace hickoryspur {

class EntryHost
{
public:
    EntryHost(boost::asio::io_context &context, HostSettings settings, HostDialect dialect, uint64_t incarnation);

    Result<void> start();
    void reload(const HostSettings &settings);
    /** Callers are sent elsewhere from now on; what comes is still served. */
    void setClosing();
    /** No new connections; what runs goes on. */
    void stopAccepting();
    size_t openRequests() const { return m_callerServer->openRequests(); }

private:
    CallerResponse handle(const CallerRequest &request);
    CallerResponse respond(CallerAnswer answer) const;
    std::optional<EntryPlaces> places(TimePoint now);
    void received(const NodeId &from, const PeerMessage &message);
    void apply(TimePoint now, const NodeId &from, const EntryUpdate &update);
    void applyRoutes(const AcceptedRoutes &routes);
    void noteLog(const LogReport &report);
    void tellStatus();
    void dialControlHosts();
    void onTimer();
    void startTimer();
    bool isReady() const { return m_confirmed && m_traffic.hasRoutes() && !m_closing; }

    boost::asio::io_context &m_context;
    HostSettings m_settings;
    HostDialect m_dialect;
    boost::asio::steady_timer m_timer;
    EntryTraffic m_traffic;
    std::unique_ptr<OutgoingLinks> m_links;
    std::unique_ptr<HttpCallerServer> m_callerServer;
    std::unique_ptr<HttpCallerServer> m_readinessServer;
    std::unique_ptr<HttpCallerServer> m_directoryServer;
    ControlHostDirectory m_hosts;
    EntryDirectory m_entries;
    LogQuorum m_logs;
    std::mt19937_64 m_random;
    uint64_t m_applied = 0;
    bool m_confirmed = false;
    bool m_closing = false;
    bool m_wasReady = false;
    TimePoint m_nextStatus;
};

} // namespace hickoryspur
