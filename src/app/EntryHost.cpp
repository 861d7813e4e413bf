#include "app/EntryHost.h"

#include "hickoryspur/process/Compression.h"
#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MessageCodec.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = 50ms;
/** Control hosts stop offering an entry to callers when several of its status messages are missing. */
constexpr Duration kStatusInterval = 150ms;
/** With many entries the interval grows up to the maximum, so that control hosts can read all of them. */
constexpr Duration kStatusTimePerEntry = 2ms;
constexpr Duration kMaxStatusInterval = 500ms;
/** The first interval of an entry without the state in force; each is longer by the factor until the maximum. */
constexpr Duration kFirstStateRequestInterval = 50ms;
constexpr double kStateRequestBackoff = 1.3;
/** Callers use no more addresses than this from one answer. */
constexpr size_t kMaxDirectoryAddresses = 64;
/** Added to the idle timeout that callers rely on, to cover the network delay. */
constexpr auto kIdleMargin = std::chrono::milliseconds(2000);

TrafficConfig trafficConfig(const HostSettings &settings, uint64_t incarnation)
{
    return {settings.dataCentre,      settings.extraShare, settings.extraSlack, settings.upstreamDrainTime,
            settings.internalAddress, settings.admission,  incarnation};
}

} // namespace

EntryHost::EntryHost(asio::io_context &context, HostSettings settings, HostCodec codec, uint64_t incarnation)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_codec(std::move(codec))
    , m_timer(context)
    , m_traffic(context, trafficConfig(m_settings, incarnation), m_codec.traffic)
    , m_usage(
          NodeId(m_settings.name), Incarnation(incarnation),
          [this](const NodeId &host, std::string payload) {
              m_links->send(host, PeerMessageType::UsageCounts, std::move(payload));
          },
          m_settings.usageWindow)
    , m_random(incarnation)
    , m_stateRequestInterval(kFirstStateRequestInterval)
{
}

Result<void> EntryHost::start()
{
    OutgoingLinks::Hooks hooks;
    hooks.receive = [this](const NodeId &from, const PeerMessage &message) { onMessage(from, message); };
    hooks.opened = [this](const NodeId &host) {
        m_nextStatus = TimePoint();
        m_usage.resetSession(host);
    };
    hooks.lost = [this](const NodeId &host) {
        m_hosts.removeSource(host);
        m_usage.resetSession(host);
    };
    m_links = std::make_unique<OutgoingLinks>(m_context, m_settings.id(), std::move(hooks));
    m_hosts.setSeeds(m_settings.seedIds());
    dialControlHosts();
    if (Result<void> listening = m_traffic.listen(); !listening)
        return listening;
    auto callers = HttpCallerServer::listen(m_context, *m_settings.callerAddress, ServerLimits(),
                                            [this](const CallerRequest &request) { return handle(request); });
    if (!callers)
        return tl::unexpected(callers.error());
    m_callerServer = std::move(*callers);
    auto readiness = HttpCallerServer::listen(
        m_context, *m_settings.readinessAddress, ServerLimits(),
        [this](const CallerRequest &request) { return m_codec.readiness(request, isReady()); });
    if (!readiness)
        return tl::unexpected(readiness.error());
    m_readinessServer = std::move(*readiness);
    if (m_settings.directoryAddress) {
        auto directory = HttpCallerServer::listen(m_context, *m_settings.directoryAddress, ServerLimits(),
                                                  [this](const CallerRequest &request) {
                                                      return m_codec.directory(request, entryAddresses(monotonicNow()));
                                                  });
        if (!directory)
            return tl::unexpected(directory.error());
        m_directoryServer = std::move(*directory);
    }
    // At once: the caller may already be trying another entry.
    m_traffic.setSuspectsChanged([this] { asio::post(m_context, [this] { sendStatus(); }); });
    m_traffic.setUsageCounted(
        [this](const CustomerName &customer, TimePoint beganAt) { m_usage.count(customer, beganAt); });
    onTimer();
    return {};
}

void EntryHost::reload(const HostSettings &settings)
{
    m_settings.seeds = settings.seeds;
    m_hosts.setSeeds(m_settings.seedIds());
    dialControlHosts();
}

void EntryHost::setClosing(TimePoint stopAt)
{
    m_closing = true;
    m_traffic.setStopTime(stopAt);
    m_callerServer->setClosing();
    sendStatus();
}

void EntryHost::stopAccepting()
{
    m_callerServer->stopAccepting();
}

CallerResponse EntryHost::toResponse(CallerAnswer answer) const
{
    CallerResponse response;
    response.status = answer.status;
    response.contentType = "";
    response.fields = std::move(answer.fields);
    response.body = std::move(answer.body);
    return response;
}

CallerResponse EntryHost::handle(const CallerRequest &request)
{
    if (!m_confirmed)
        return toResponse(m_traffic.makeRefusal(RefusalKind::NotRunTryLater));
    Result<ForwardedRequest> forwarded = m_codec.decodeRequest(request);
    if (!forwarded)
        return toResponse(m_traffic.makeRefusal(RefusalKind::Malformed));
    return toResponse(m_traffic.serve(std::move(*forwarded), request.isCallerGone));
}

void EntryHost::onMessage(const NodeId &from, const PeerMessage &message)
{
    if (message.kind() != PeerMessageType::EntryUpdate)
        return;
    const std::optional<EntryUpdate> update = unpack<EntryUpdate>(message.payload);
    if (!update) {
        HS_LOG(WARNING, LogEvent::MessageUndecodable) << "an update from " << from << " cannot be decoded; dropped";
        return;
    }
    apply(monotonicNow(), from, *update);
}

void EntryHost::apply(TimePoint now, const NodeId &from, const EntryUpdate &update)
{
    const RoutesVersion routes{update.routesNumber, update.routesDigest};
    if (update.carriesState) {
        // A host of an earlier release does not fill in routesNumber.
        const RoutesVersion sent{update.routes.number, update.routesDigest};
        if (sent.number > 0 && m_applied.isReplacedBy(sent))
            applyRoutes(update);
        if (m_applied.isReplacedBy(update.applied, update.confirmed)) {
            m_applied.recordLogState(update.applied, StateOrigin::Committed);
            m_traffic.setDataCentresOut(update.dataCentresOut);
            m_traffic.setMoves(update.moves);
        }
    }
    if (update.confirmed) {
        m_leader = from;
        m_entries.recordConfirmation(now);
        m_traffic.versions().recordLeaderContact(now);
        for (const SharedLoadReport &load : update.load)
            m_traffic.sharedLoad().apply(now, load);
    }
    if (!update.logReport.empty() && !m_confirmed)
        recordLogReport(update.logReport.front());
    for (const Announcement &announcement : update.upstreams)
        m_traffic.accept(now, announcement);
    for (const UpstreamId &upstream : update.heartbeats)
        m_traffic.recordHeartbeat(now, upstream);
    m_traffic.mergeSuspects(now, update.suspects);
    m_entries.recordHeartbeat(now, from);
    m_usage.recordClock(now, from, update.clockMillis);
    if (update.carriesHosts) {
        m_entries.update(now, from, update.entryLocations());
        m_traffic.setEntries(now, m_settings.callerAddress->text(), m_entries.mostCompleteList(now));
        if (m_hosts.updateReportedHosts(from, update.controlHosts))
            dialControlHosts();
    }
    m_traffic.setEntryCount(m_entries.count(now));
    m_entries.recordSessions(from, update.sessions);
    m_traffic.setDeploymentSize(m_entries.deploymentSize());
    // The state of a confirmed leader is applied at this point, so the entry cannot serve with an older one.
    m_confirmed = m_confirmed || (update.confirmed && m_applied.covers(update.applied, routes));
    m_traffic.setServing(m_confirmed);
    if (isReady() != m_wasReady) {
        m_wasReady = isReady();
        sendStatus();
    }
}

void EntryHost::recordLogReport(const LogReport &report)
{
    m_logs.recordReport(monotonicNow(), report);
    const LogReport *newest = m_logs.newest();
    if (!newest || newest->routes.number == 0)
        return;
    if (newest->routes.number > m_traffic.routesNumber())
        applyRoutes(newest->routes, StateOrigin::Logs);
    if (m_applied.isReplacedBy(newest->lastIndex.value(), false)) {
        m_applied.recordLogState(newest->lastIndex.value(), StateOrigin::Logs);
        m_traffic.setDataCentresOut(newest->dataCentresOut);
        m_traffic.setMoves(newest->moves);
    }
    m_confirmed = true;
    HS_LOG(INFO, LogEvent::StateFromLogs)
        << "routes=" << newest->routes.number << " log=" << newest->lastIndex << " voters=" << newest->voters.size();
}

void EntryHost::applyRoutes(const EntryUpdate &update)
{
    if (!update.compressedRoutes)
        return applyRoutes(update.routes, StateOrigin::Committed);
    const std::optional<std::string> text = decompressText(update.routes.text);
    if (text)
        applyRoutes(AcceptedRoutes{update.routes.number, *text}, StateOrigin::Committed);
    else
        HS_LOG(ERROR, LogEvent::RoutesUnreadable)
            << "routes=" << update.routes.number << " cannot be decompressed, keeping the previous routes";
}

void EntryHost::applyRoutes(const AcceptedRoutes &routes, StateOrigin origin)
{
    Result<RouteTable> table = m_codec.parseRoutes(routes.text);
    if (!table) {
        HS_LOG(ERROR, LogEvent::RoutesUnreadable)
            << "routes=" << routes.number
            << " cannot be parsed, keeping the previous routes: " << table.error().message;
        return;
    }
    ServerLimits limits;
    limits.bodyBytes = table->limits.bodyBytes;
    limits.headerBytes = table->limits.headerBytes;
    limits.idleTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(table->limits.idleTimeout) + kIdleMargin;
    m_callerServer->setLimits(limits);
    m_traffic.setRoutes(std::move(*table));
    m_applied.recordRoutes({routes.number, hash64(routes.text)}, origin);
}

void EntryHost::dialControlHosts()
{
    m_links->setHosts(m_hosts.hosts(monotonicNow()));
}

EntryStatus EntryHost::makeStatus()
{
    EntryStatus status;
    status.entry = NodeId(m_settings.name);
    status.callerAddress = m_settings.callerAddress->text();
    status.dataCentre = m_settings.dataCentre;
    status.offered = isReady();
    status.needsState = !m_confirmed;
    status.readsCompressed = true;
    status.routesNumber = m_traffic.routesNumber();
    status.routesDigest = m_applied.routes().digest;
    status.subRequestsPerSecond = m_traffic.subRequestsPerSecond(monotonicNow());
    status.suspects = m_traffic.suspects(monotonicNow());
    status.cutOff = m_traffic.isCutOff();
    status.intervalMillis = static_cast<uint32_t>(statusInterval() / 1ms);
    return status;
}

void EntryHost::sendStatus()
{
    EntryStatus status = makeStatus();
    const std::string payload = pack(status);
    if (!m_leader || !m_traffic.sharedLoad().isEnabled()) {
        m_links->sendToAll(PeerMessageType::EntryStatus, payload);
        return;
    }
    for (const auto &[host, link] : m_links->links())
        if (host != *m_leader)
            m_links->send(host, PeerMessageType::EntryStatus, payload);
    sendStatusToLeader(std::move(status));
}

void EntryHost::sendStatusToLeader(EntryStatus status)
{
    if (!m_leader)
        return;
    status.load = m_traffic.takeLoadRows(monotonicNow());
    m_links->send(*m_leader, PeerMessageType::EntryStatus, pack(status));
}

Duration EntryHost::statusInterval() const
{
    if (!m_confirmed)
        return m_stateRequestInterval;
    return std::clamp<Duration>(kStatusTimePerEntry * static_cast<int64_t>(m_entries.deploymentSize()), kStatusInterval,
                                kMaxStatusInterval);
}

void EntryHost::sendObservations()
{
    const ObservationBatch batch = m_traffic.versions().drainObservations();
    // The leader alone evaluates versions; without one the observations would be outdated when the next is elected.
    if (m_leader && !batch.empty())
        m_links->send(*m_leader, PeerMessageType::Observations, pack(batch));
}

std::optional<EntryAddresses> EntryHost::entryAddresses(TimePoint now)
{
    EntryAddresses result;
    result.validity = m_settings.directoryValidity();
    result.addresses = m_entries.addresses(now, m_hosts.hosts(now).size());
    if (m_closing)
        std::erase(result.addresses, m_settings.callerAddress->text());
    if (result.addresses.empty())
        return std::nullopt;
    std::shuffle(result.addresses.begin(), result.addresses.end(), m_random);
    result.addresses.resize(std::min(result.addresses.size(), kMaxDirectoryAddresses));
    return result;
}

void EntryHost::startTimer()
{
    m_timer.expires_after(kTickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            onTimer();
    });
}

void EntryHost::onTimer()
{
    const TimePoint now = monotonicNow();
    m_links->tick(now);
    m_traffic.tick(now);
    m_usage.recordOwnClock(now, wallClockMillis());
    // The process may end as soon as its last request has been answered.
    if (m_closing)
        m_usage.send(now);
    if (m_traffic.isCutOff() != m_wasCutOff) {
        m_wasCutOff = m_traffic.isCutOff();
        m_nextStatus = now;
    }
    if (now >= m_nextStatus) {
        if (!m_confirmed)
            m_stateRequestInterval =
                std::min(kMaxStatusInterval,
                         Duration(static_cast<int64_t>(kStateRequestBackoff * m_stateRequestInterval.count())));
        m_nextStatus = now + statusInterval();
        sendStatus();
        sendObservations();
        m_usage.send(now);
    } else if (m_traffic.sharedLoad().isReportUrgent(now)) {
        sendStatusToLeader(makeStatus());
    }
    startTimer();
}

} // namespace hickoryspur
