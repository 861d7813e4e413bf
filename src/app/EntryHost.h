// An entry of a deployment: serves callers over its own connections to upstreams and gives them the
// addresses of the entries. It keeps a session with every control host, which sends it the routes in
// force, the upstreams and the data centres that are out. The entry serves callers once it has the
// routes from a leader that a majority confirms, or from the logs of a majority of the control hosts,
// and continues to use them if it loses all control hosts.
#pragma once

#include "app/EntryUsage.h"
#include "app/HostCodec.h"
#include "hickoryspur/process/AppliedState.h"
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
    EntryHost(boost::asio::io_context &context, HostSettings settings, HostCodec codec, uint64_t incarnation);

    Result<void> start();
    void reload(const HostSettings &settings);
    /** Withdraws this entry from the addresses given to callers; requests are still served, and answered by stopAt. */
    void setClosing(TimePoint stopAt);
    /** Accepts no more connections; requests on open connections continue. */
    void stopAccepting();
    /** Requests of callers, and those that other entries have delegated to this one. */
    size_t openRequests() const { return m_callerServer->openRequests() + m_traffic.delegatedRequests(); }

private:
    CallerResponse handle(const CallerRequest &request);
    CallerResponse toResponse(CallerAnswer answer) const;
    /** A random selection of the entries that callers may use; nullopt if none is known. */
    std::optional<EntryAddresses> entryAddresses(TimePoint now);
    void onMessage(const NodeId &from, const PeerMessage &message);
    void apply(TimePoint now, const NodeId &from, const EntryUpdate &update);
    void applyRoutes(const EntryUpdate &update);
    void applyRoutes(const AcceptedRoutes &routes, StateOrigin origin);
    /** Applies the newest log state once a majority of its voters has reported. */
    void recordLogReport(const LogReport &report);
    EntryStatus makeStatus();
    void sendStatus();
    /** Sends a status with the load of upstreams, which the leading control host alone sums. */
    void sendStatusToLeader(EntryStatus status);
    /** Time until the next status: shorter while this entry lacks the state, longer with more entries. */
    Duration statusInterval() const;
    /** Sends what was observed of versions between which a service moves to the leading control host. */
    void sendObservations();
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
    ControlHostDirectory m_hosts;
    EntryDirectory m_entries;
    LogQuorum m_logs;
    EntryUsage m_usage;
    std::mt19937_64 m_random;
    AppliedState m_applied;
    /** The control host that last sent a confirmed update. */
    std::optional<NodeId> m_leader;
    bool m_confirmed = false;
    bool m_closing = false;
    bool m_wasReady = false;
    bool m_wasCutOff = false;
    TimePoint m_nextStatus;
    Duration m_stateRequestInterval;
};

} // namespace hickoryspur
