// An entry of a deployment: answers callers from its own connections to upstreams, tells them where
// the entries are, and keeps a
// session with every control host, from which it learns the routes in force, the upstreams and the
// data centres that are out. It serves callers once a leader that a majority confirms has told it
// the routes, or a majority of the control hosts' logs has, and goes on serving by them when it loses
// all control hosts.
#pragma once

#include "app/HostCodec.h"
#include "hickoryspur/process/ControlHostBook.h"
#include "hickoryspur/process/EntryBook.h"
#include "hickoryspur/process/FleetMessage.h"
#include "hickoryspur/process/HostSettings.h"
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
    EntryHost(boost::asio::io_context &context, HostSettings settings, HostCodec codec, uint64_t incarnation);

    Result<void> start();
    void reload(const HostSettings &settings);
    /** Callers are sent elsewhere from now on; what comes is still served. */
    void setClosing();
    /** No new connections; what runs goes on. */
    void stopAccepting();
    size_t openRequests() const { return m_callerServer->openRequests(); }

private:
    CallerResponse handle(const CallerRequest &request);
    CallerResponse toResponse(CallerAnswer answer) const;
    std::optional<EntryAddresses> entryAddresses(TimePoint now);
    void onMessage(const NodeId &from, const PeerMessage &message);
    void apply(TimePoint now, const NodeId &from, const EntryUpdate &update);
    void applyRoutes(const AcceptedRoutes &routes);
    void recordLogReport(const LogReport &report);
    void sendStatus();
    void dialControlHosts();
    void onTimer();
    void startTimer();
    bool isReady() const { return m_confirmed && m_traffic.hasRoutes() && !m_closing; }

    boost::asio::io_context &m_context;
    HostSettings m_settings;
    HostCodec m_codec;
    boost::asio::steady_timer m_timer;
    EntryTraffic m_traffic;
    std::unique_ptr<OutgoingLinks> m_links;
    std::unique_ptr<HttpCallerServer> m_callerServer;
    std::unique_ptr<HttpCallerServer> m_readinessServer;
    std::unique_ptr<HttpCallerServer> m_directoryServer;
    ControlHostBook m_hosts;
    EntryBook m_entries;
    LogQuorum m_logs;
    std::mt19937_64 m_random;
    uint64_t m_applied = 0;
    bool m_confirmed = false;
    bool m_closing = false;
    bool m_wasReady = false;
    TimePoint m_nextStatus;
};

} // namespace hickoryspur
