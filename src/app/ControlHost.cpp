#include "app/ControlHost.h"

#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/process/Metrics.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/future.hpp>

#include <algorithm>
#include <set>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = 100ms;
/** Interval of updates to every entry, also when nothing has changed, and of pings to control hosts. */
constexpr Duration kRefreshInterval = 200ms;
/** With many entries the interval grows, so that refreshes take a constant part of the processor. */
constexpr Duration kRefreshTimePerEntry = 2ms;
/** Minimum time between saves of the registered upstreams to disk; each save costs a disk sync. */
constexpr Duration kSaveInterval = 1s;
/** Sessions that get the complete state in one tick: a small deployment at once, hundreds within two seconds. */
constexpr size_t kMaxStatesPerTick = 20;
/** How long a confirmation by the control group that this host leads is valid. */
constexpr Duration kConfirmationValidity = 400ms;

/** Share of a service's requests that a new version gets until it has been compared with the old one. */
constexpr double kFirstMoveShare = 0.06;

ServerLimits controlLimits()
{
    ServerLimits limits;
    limits.bodyBytes = 16ULL * 1024 * 1024;
    return limits;
}

bool isDeparture(const Announcement &announcement)
{
    return announcement.isLeaving() || announcement.upstreamState() == UpstreamState::Gone;
}

Failure toFailure(const ApplyOutcome &outcome)
{
    return {outcome.resultCode(), outcome.message, outcome.resultCode() == ResultCode::NoLeader};
}

} // namespace

ControlHost::ControlHost(asio::io_context &context, HostSettings settings, HostCodec codec, uint64_t incarnation)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_codec(std::move(codec))
    , m_incarnation(incarnation)
    , m_timer(context)
    , m_sessions(m_settings.id())
    , m_usage(m_settings.usageWindow)
{
}

Result<void> ControlHost::start()
{
    OutgoingLinks::Hooks links;
    links.receive = [](const NodeId &, const PeerMessage &) {};
    m_links = std::make_unique<OutgoingLinks>(m_context, m_settings.id(), std::move(links));
    m_hosts.setSeeds(m_settings.seedIds());
    dialControlHosts();
    auto listener = FrameListener::listen(m_context, m_settings.internalAddress, [this](asio::ip::tcp::socket socket) {
        auto link = std::make_shared<FrameLink>(
            std::move(socket), [this](const auto &from, const PeerMessage &message) { onMessage(from, message); },
            [this](const auto &from) { onLinkClosed(from); });
        m_inbound.push_back(link);
        link->start();
    });
    if (!listener)
        return tl::unexpected(listener.error());
    m_listener = std::move(*listener);

    GroupThreadConfig config;
    config.self = m_settings.id();
    config.dataFolder = m_settings.dataFolder;
    config.seeds = m_settings.seedIds();
    config.formsGroup = m_settings.firstStart;
    config.incarnation = m_incarnation;
    GroupThread::Hooks hooks;
    hooks.send = [this](const LogEnvelope &envelope) {
        asio::post(m_context, [this, to = envelope.to, payload = pack(envelope.message)]() mutable {
            m_links->send(to, PeerMessageType::Log, std::move(payload));
        });
    };
    hooks.publish = [this](GroupStatus status) {
        asio::post(m_context, [this, status = std::move(status)]() mutable { updateGroupStatus(std::move(status)); });
    };
    hooks.restoreNotes = [this](std::string bytes) {
        asio::post(m_context, [this, bytes = std::move(bytes)] { restoreNotes(bytes); });
    };
    m_group = std::make_unique<GroupThread>(std::move(config), std::move(hooks));
    startUsageReports();

    const ControlApi api = makeApi();
    auto control =
        HttpCallerServer::listen(m_context, *m_settings.controlAddress, controlLimits(),
                                 [this, api](const CallerRequest &request) { return m_codec.control(request, api); });
    if (!control)
        return tl::unexpected(control.error());
    m_controlServer = std::move(*control);
    startTimer();
    return {};
}

void ControlHost::startUsageReports()
{
    if (!m_settings.usageAddress)
        return;
    UsageReports::Hooks hooks;
    hooks.submit = [this](Command command, GroupThread::DoneCallback done) {
        m_group->submit(std::move(command), std::move(done));
    };
    hooks.read = [this](GroupThread::ReadCallback callback) { m_group->read(std::move(callback)); };
    hooks.counts = [this](uint64_t window) { return m_usage.counts(window); };
    hooks.trueMillis = [this](TimePoint at) { return m_usage.trueMillis(at); };
    m_usageReports = std::make_unique<UsageReports>(m_context, m_settings, m_codec, std::move(hooks), m_incarnation);
}

void ControlHost::reload(const HostSettings &settings)
{
    m_settings.seeds = settings.seeds;
    m_group->setSeeds(m_settings.seedIds());
    m_hosts.setSeeds(m_settings.seedIds());
    dialControlHosts();
}

void ControlHost::setClosing()
{
    m_controlServer->setClosing();
}

size_t ControlHost::openRequests() const
{
    return m_controlServer->openRequests();
}

void ControlHost::dialControlHosts()
{
    m_links->setHosts(m_hosts.hosts(monotonicNow()));
}

void ControlHost::onMessage(const std::shared_ptr<FrameLink> &link, const PeerMessage &message)
{
    switch (message.kind()) {
    case PeerMessageType::Ping: {
        PeerMessage pong;
        pong.type = static_cast<uint8_t>(PeerMessageType::Pong);
        pong.from = m_settings.id();
        link->send(pong);
        if (m_usageReports)
            m_usageReports->recordPing(monotonicNow(), message);
        return;
    }
    case PeerMessageType::Log:
        if (std::optional<LogMessage> log = unpack<LogMessage>(message.payload)) {
            // A joining host may not be listed by any control host yet, and the answer needs a link to it.
            if (m_hosts.recordJoinRequest(monotonicNow(), log->from.node))
                dialControlHosts();
            m_group->receive(std::move(*log));
        } else {
            HS_LOG(WARNING, LogEvent::MessageUndecodable)
                << "a log message from " << message.from << " cannot be decoded; dropped";
        }
        return;
    case PeerMessageType::EntryStatus:
        if (const std::optional<EntryStatus> status = unpack<EntryStatus>(message.payload))
            updateEntryStatus(link, *status);
        return;
    case PeerMessageType::Departure:
        if (const std::optional<Announcement> announcement = unpack<Announcement>(message.payload); !announcement)
            HS_LOG(WARNING, LogEvent::MessageUndecodable)
                << "a departure from " << message.from << " cannot be decoded; dropped";
        else if (registerReported(*announcement) == RegistryChange::Changed)
            broadcastAnnouncement(*announcement);
        return;
    case PeerMessageType::UpstreamCounts:
        if (std::optional<UpstreamCountReport> report = unpack<UpstreamCountReport>(message.payload)) {
            m_usage.recordClock(monotonicNow(), message.from, report->clockMillis);
            m_upstreamCounts.recordReport(monotonicNow(), message.from, std::move(*report));
        } else {
            HS_LOG(WARNING, LogEvent::MessageUndecodable)
                << "a count of upstreams from " << message.from << " cannot be decoded; dropped";
        }
        return;
    case PeerMessageType::UsageCounts:
        m_usage.receive(monotonicNow(), message);
        return;
    case PeerMessageType::Observations:
        if (const std::optional<ObservationBatch> batch = unpack<ObservationBatch>(message.payload); !batch)
            HS_LOG(WARNING, LogEvent::MessageUndecodable)
                << "observations from " << message.from << " cannot be decoded; dropped";
        else if (m_status.leads)
            m_moves.addObservations(*batch);
        return;
    default:
        HS_LOG(WARNING, LogEvent::MessageUndecodable)
            << "message of unexpected type " << int(message.type) << " from " << message.from << "; dropped";
    }
}

void ControlHost::updateEntryStatus(const std::shared_ptr<FrameLink> &link, const EntryStatus &status)
{
    const TimePoint now = monotonicNow();
    const EntrySessions::StatusChange change = m_sessions.recordStatus(link, status);
    mergeSuspects(now, status.suspects);
    recordLoad(now, link, status);
    // At the next tick, since many entries may change at the same time.
    if (change.offeredChanged && updateHosts())
        m_nextRefresh = now;
    if (change.isNew && !m_stateSentInTick)
        sendAwaitedState();
    if (m_sessions.awaitsState(link))
        return;
    if (status.needsState && !isConfirmed(now))
        sendLogReport(link);
    if (m_sessions.lacksRoutes(now, m_status.leads, link))
        m_sessions.sendRoutes(now, link, makeLogStateUpdate(now));
}

void ControlHost::recordLoad(TimePoint now, const std::shared_ptr<FrameLink> &link, const EntryStatus &status)
{
    if (!m_status.leads)
        return;
    m_load.record(now, link.get(), status.entry, status.load);
    if (!m_load.isReportUrgent(now))
        return;
    EntryUpdate update = makeStateUpdate(now);
    if (addLoad(now, update))
        m_sessions.broadcast(update);
}

bool ControlHost::addLoad(TimePoint now, EntryUpdate &update)
{
    if (!m_status.leads || !update.confirmed)
        return false;
    if (std::optional<SharedLoadReport> load = m_load.report(now, m_status.term))
        update.load.push_back(std::move(*load));
    return !update.load.empty();
}

void ControlHost::sendAwaitedState()
{
    m_stateSentInTick = true;
    if (m_sessions.anyAwaitsState())
        m_sessions.sendState(kMaxStatesPerTick, makeFullUpdate(monotonicNow()));
}

void ControlHost::sendMissingRoutes(TimePoint now)
{
    for (const std::shared_ptr<FrameLink> &link : m_sessions.linksWithoutRoutes(now, m_status.leads))
        m_sessions.sendRoutes(now, link, makeLogStateUpdate(now));
}

void ControlHost::sendLogReport(const std::shared_ptr<FrameLink> &link)
{
    if (!m_sessions.beginLogReport(link))
        return;
    m_group->requestLogReport([this, link](std::optional<LogReport> report) {
        asio::post(m_context, [this, link, report = std::move(report)]() mutable {
            // Without a report the entry asks again with its next status.
            if (!m_sessions.endLogReport(link) || !report)
                return;
            EntryUpdate update = makeStateUpdate(monotonicNow());
            update.logReport.push_back(std::move(*report));
            m_sessions.send(link, std::move(update));
        });
    });
}

void ControlHost::onLinkClosed(const std::shared_ptr<FrameLink> &link)
{
    m_sessions.remove(link);
    m_load.removeSession(link.get());
    std::erase(m_inbound, link);
}

bool ControlHost::isConfirmed(TimePoint now) const
{
    return now - m_confirmedAt < kConfirmationValidity;
}

EntryUpdate ControlHost::makeStateUpdate(TimePoint now) const
{
    EntryUpdate update;
    update.confirmed = isConfirmed(now);
    update.applied = m_status.applied;
    update.routesNumber = m_sessions.routes().number;
    update.routesDigest = m_sessions.routes().digest;
    update.sessions = static_cast<uint32_t>(m_sessions.size());
    update.clockMillis = wallClockMillis();
    return update;
}

std::vector<EntryLocation> ControlHost::selectEntries(TimePoint now)
{
    return m_activeEntries.select(now, m_sessions.offeredEntries(), m_upstreamCounts.total(now, countUpstreams()));
}

UpstreamCountReport ControlHost::countUpstreams() const
{
    UpstreamCountReport report;
    report.clockMillis = wallClockMillis();
    for (const auto &[id, known] : m_registry.all())
        if (known.takesWork())
            ++report.upstreams[known.announcement.dataCentre];
    return report;
}

bool ControlHost::updateHosts()
{
    std::vector<NodeId> controlHosts = m_status.controlHosts;
    controlHosts.push_back(m_settings.id());
    return m_sessions.setHosts(selectEntries(monotonicNow()), std::move(controlHosts));
}

EntryUpdate ControlHost::makeLogStateUpdate(TimePoint now) const
{
    EntryUpdate update = makeStateUpdate(now);
    update.carriesState = true;
    update.dataCentresOut = m_status.dataCentresOut;
    update.moves = m_status.moves;
    return update;
}

EntryUpdate ControlHost::makeFullUpdate(TimePoint now) const
{
    EntryUpdate update = makeLogStateUpdate(now);
    for (const auto &[id, known] : m_registry.all())
        update.upstreams.push_back(known.announcement);
    update.suspects = m_quarantine.reports(now);
    return update;
}

void ControlHost::updateGroupStatus(GroupStatus status)
{
    const bool stateChanged = status.applied != m_status.applied;
    const bool routesChanged = status.routes.number != m_status.routes.number;
    if (routesChanged) {
        HS_LOG(INFO, LogEvent::DocumentAccepted) << "routes=" << status.routes.number << " log=" << status.applied;
        m_sessions.setRoutes(monotonicNow(), status.routes);
    }
    const bool becameLeader = status.leads && !m_status.leads;
    if (becameLeader)
        m_load.clear();
    if (status.leads)
        m_confirmedAt = std::max(m_confirmedAt, status.at);
    m_status = std::move(status);
    m_moves.updateStates(monotonicNow(), m_status.moves);
    if (m_hosts.updateReportedHosts(m_settings.id(), m_status.controlHosts))
        dialControlHosts();
    if (!stateChanged) {
        if (becameLeader)
            refreshSessions(monotonicNow());
        return;
    }
    m_sessions.broadcast(makeLogStateUpdate(monotonicNow()));
    sendMissingRoutes(monotonicNow());
}

void ControlHost::startTimer()
{
    m_timer.expires_after(kTickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            onTimer();
    });
}

void ControlHost::onTimer()
{
    const TimePoint now = monotonicNow();
    m_links->tick(now);
    m_registry.removeExpired(now);
    m_quarantine.tick(now);
    m_usage.tick(now, wallClockMillis());
    saveNotesIfDue(now);
    // Windows are decided for good, so a single clock, which may be wrong, is not enough.
    if (m_usageReports && m_usage.clockSources() * 2 >= m_status.controlHosts.size())
        m_usageReports->tick(now, m_status.controlHosts);
    advanceMoves(now);
    flushAnnouncements();
    m_stateSentInTick = false;
    if (m_sessions.anyAwaitsState())
        sendAwaitedState();
    if (now >= m_nextRefresh) {
        m_nextRefresh = now + refreshInterval();
        m_links->sendToAll(PeerMessageType::Ping, UsageReports::makePingPayload());
        m_links->sendToAll(PeerMessageType::UpstreamCounts, pack(countUpstreams()));
        requestConfirmation();
        refreshSessions(now);
    }
    startTimer();
}

Duration ControlHost::refreshInterval() const
{
    return std::max(kRefreshInterval, kRefreshTimePerEntry * static_cast<int64_t>(m_sessions.size()));
}

void ControlHost::flushAnnouncements()
{
    if (m_newAnnouncements.empty())
        return;
    EntryUpdate update = makeStateUpdate(monotonicNow());
    update.upstreams = std::move(m_newAnnouncements);
    m_newAnnouncements.clear();
    m_sessions.broadcast(update);
}

void ControlHost::requestConfirmation()
{
    m_group->read([this](bool confirmed, const ControlState &, const std::optional<NodeId> &) {
        if (!confirmed)
            return;
        const TimePoint at = monotonicNow();
        asio::post(m_context, [this, at] { m_confirmedAt = at; });
    });
}

void ControlHost::refreshSessions(TimePoint now)
{
    const std::vector<std::shared_ptr<FrameLink>> inbound = m_inbound;
    for (const std::shared_ptr<FrameLink> &link : inbound)
        if (now - link->lastReceiveTime() > m_sessions.timeout(link))
            link->close();
    updateHosts();
    EntryUpdate update = makeStateUpdate(now);
    update.heartbeats = std::move(m_heartbeats);
    m_heartbeats.clear();
    addLoad(now, update);
    m_sessions.broadcast(update);
    sendMissingRoutes(now);
}

void ControlHost::saveNotesIfDue(TimePoint now)
{
    if (!m_notesChanged || now < m_nextSave)
        return;
    m_notesChanged = false;
    m_nextSave = now + kSaveInterval;
    HostNotes notes;
    for (const auto &[id, known] : m_registry.all())
        notes.upstreams.push_back(known.announcement);
    notes.suspects = m_quarantine.reports(now);
    m_group->saveNotes(pack(notes), [this, covered = m_departures.begin()](bool saved) {
        asio::post(m_context, [this, covered, saved] { onNotesSaved(covered, saved); });
    });
}

void ControlHost::onNotesSaved(uint64_t covered, bool saved)
{
    m_notesChanged = m_notesChanged || !saved;
    m_departures.end(covered, saved);
}

Result<void> ControlHost::awaitDeparturesSaved()
{
    const auto promise = std::make_shared<boost::fibers::promise<bool>>();
    boost::fibers::future<bool> saved = promise->get_future();
    m_departures.await([promise](bool result) { promise->set_value(result); });
    if (saved.get())
        return {};
    return failure(ResultCode::DiskFailed, "this host cannot store that the upstream leaves", true);
}

void ControlHost::restoreNotes(const std::string &bytes)
{
    const std::optional<HostNotes> notes = unpackNotes(bytes);
    if (!notes) {
        HS_LOG(WARNING, LogEvent::MessageUndecodable)
            << "the saved list of upstreams cannot be decoded; waiting for their heartbeats";
        return;
    }
    restoreUpstreams(notes->upstreams);
    mergeSuspects(monotonicNow(), notes->suspects);
}

void ControlHost::mergeSuspects(TimePoint now, const std::vector<SuspectReport> &suspects)
{
    if (suspects.empty() || !m_quarantine.merge(now, suspects))
        return;
    m_notesChanged = true;
    EntryUpdate update = makeStateUpdate(now);
    update.suspects = m_quarantine.reports(now);
    m_sessions.broadcast(update);
}

void ControlHost::restoreUpstreams(const std::vector<Announcement> &upstreams)
{
    // Every request names its target upstream, so restoring one that has ended in the meantime does no harm.
    size_t restored = 0;
    for (const Announcement &announcement : upstreams)
        if (registerReported(announcement) == RegistryChange::Changed) {
            ++restored;
            broadcastAnnouncement(announcement);
        }
    HS_LOG(INFO, LogEvent::UpstreamsRecalled) << restored << " upstreams restored from disk";
}

RegistryChange ControlHost::registerReported(const Announcement &announcement)
{
    const TimePoint now = monotonicNow();
    return announcement.upstreamState() == UpstreamState::Gone
        ? m_registry.remove(now, announcement.id, announcement.incarnation)
        : m_registry.accept(now, announcement);
}

void ControlHost::broadcastAnnouncement(const Announcement &announcement)
{
    m_notesChanged = true;
    m_newAnnouncements.push_back(announcement);
    // Many arrive at the same time, and wait for the next tick. An upstream that leaves counts on the entries to know
    // it when its announcement is acknowledged, and on hosts that restart not to have forgotten it.
    if (!isDeparture(announcement))
        return;
    flushAnnouncements();
    m_departures.recordChange();
    m_nextSave = TimePoint();
}

void ControlHost::reportDeparture(const Announcement &announcement)
{
    if (isDeparture(announcement))
        m_links->sendToAll(PeerMessageType::Departure, pack(announcement));
}

Result<void> ControlHost::announce(const Announcement &announcement)
{
    const RegistryChange change = m_registry.accept(monotonicNow(), announcement);
    m_quarantine.recordHeartbeat(monotonicNow(), announcement.id, announcement.incarnation);
    if (change == RegistryChange::Refreshed)
        m_heartbeats.push_back(announcement.id);
    if (change != RegistryChange::Changed)
        return isDeparture(announcement) ? confirmDeparture() : requireConnectedEntry();
    HS_LOG(INFO, announcement.isLeaving() ? LogEvent::UpstreamLeaving : LogEvent::UpstreamArrived)
        << "upstream=" << announcement.id << " service=" << announcement.service << " at=" << announcement.address
        << ':' << announcement.port << " born=" << announcement.incarnation << " seq=" << announcement.sequence
        << " version=" << announcement.version << " cold-ms=" << announcement.coldForMillis;
    broadcastAnnouncement(announcement);
    reportDeparture(announcement);
    return isDeparture(announcement) ? confirmDeparture() : requireConnectedEntry();
}

Result<void> ControlHost::confirmDeparture()
{
    if (Result<void> saved = awaitDeparturesSaved(); !saved)
        return saved;
    return requireConnectedEntry();
}

Result<void> ControlHost::remove(const UpstreamId &id, uint64_t incarnation)
{
    if (m_registry.remove(monotonicNow(), id, incarnation) != RegistryChange::Changed)
        return confirmDeparture();
    HS_LOG(INFO, LogEvent::UpstreamLost) << "upstream=" << id << " born=" << incarnation << " deregistered itself";
    const Announcement ended = m_registry.find(id)->announcement;
    broadcastAnnouncement(ended);
    reportDeparture(ended);
    return confirmDeparture();
}

Result<void> ControlHost::requireConnectedEntry() const
{
    if (m_sessions.hasOpenSession())
        return {};
    return failure(ResultCode::NoEntryConnected, "no entry is connected to this control host", true);
}

Result<void> ControlHost::submit(Command command)
{
    // The promise is shared because this fiber may wake while the control thread is still in set_value.
    const auto promise = std::make_shared<boost::fibers::promise<ApplyOutcome>>();
    boost::fibers::future<ApplyOutcome> future = promise->get_future();
    command.wallSeconds = wallClockSeconds();
    m_group->submit(std::move(command), [promise](ApplyOutcome outcome) { promise->set_value(std::move(outcome)); });
    const ApplyOutcome outcome = future.get();
    if (outcome.ok())
        return {};
    return tl::unexpected(toFailure(outcome));
}

Command ControlHost::makeMoveCommand(const std::string &service, const MoveState &state, const std::string &previous)
{
    Command command;
    command.type = static_cast<uint8_t>(CommandType::SetMove);
    command.subject = service;
    command.text = pack(state);
    command.expectedDigest = sha256Hex(previous);
    command.wallSeconds = wallClockSeconds();
    return command;
}

Result<void> ControlHost::replaceRoutes(const RoutesOrder &order)
{
    if (!order.violations.empty()) {
        // Only the newest state shows whether the order has been accepted before.
        return read<AcceptedRoutes>([](const ControlState &state) { return state.routes(); })
            .and_then([&order](const AcceptedRoutes &inPlace) { return checkShape(order, inPlace); });
    }
    Command command;
    command.type = static_cast<uint8_t>(CommandType::ReplaceRoutes);
    command.number = order.number;
    command.text = order.text;
    return submit(std::move(command));
}

Result<void> ControlHost::setDataCentreOut(const DataCentreOrder &order)
{
    if (!order.violations.empty()) {
        const auto out = read<std::set<std::string>>([](const ControlState &state) { return state.dataCentresOut(); });
        Result<void> shape = out.and_then([&order](const auto &names) { return checkShape(order, names); });
        if (!shape)
            return shape;
    }
    Command command;
    command.type = static_cast<uint8_t>(order.out ? CommandType::DataCentreOut : CommandType::DataCentreBack);
    command.subject = order.dataCentre.value();
    return submit(std::move(command));
}

Result<void> ControlHost::orderMove(const MoveOrder &order)
{
    const std::string &service = order.service.value();
    const auto stored = read<std::string>([service](const ControlState &state) {
        const auto found = state.moves().find(service);
        return found == state.moves().end() ? std::string() : found->second;
    });
    if (!stored)
        return tl::unexpected(stored.error());
    const std::optional<MoveState> current = unpackMoveState(*stored);
    if (Result<void> shape = checkShape(order, current); !shape)
        return shape;
    WantedVersion wanted;
    wanted.name = order.version;
    wanted.within = order.within;
    wanted.firstShare = kFirstMoveShare;
    const std::optional<MoveState> next = hickoryspur::orderMove(current, wanted, wallClockSeconds());
    if (!next)
        return {};
    HS_LOG(INFO, LogEvent::MoveStarted) << "service=" << service << " from=\"" << next->from << "\" to=" << next->to
                                        << " due-s=" << next->dueSeconds - next->startedSeconds;
    return submit(makeMoveCommand(service, *next, *stored));
}

void ControlHost::advanceMoves(TimePoint now)
{
    if (!m_status.leads || m_moveStepPending || m_status.moves.empty())
        return;
    const auto next = m_moves.nextOrderedChange(now, wallClockSeconds(), kFirstMoveShare);
    if (!next)
        return;
    const auto &[service, state] = *next;
    const LogEvent event = state.kind() == MoveStatus::TakenBack ? LogEvent::MoveTakenBack
        : state.kind() == MoveStatus::Done                       ? LogEvent::MoveDone
                                                                 : LogEvent::MoveStarted;
    HS_LOG(INFO, event) << "service=" << service << " to=" << state.to << " stage=" << state.stage
                        << " share=" << state.share() << " requests=" << m_moves.stageRequests(service)
                        << " suspicion=" << m_moves.suspicion(service) << " reason=\"" << state.reason << '"';
    m_moveStepPending = true;
    m_group->submit(makeMoveCommand(service, state, m_status.moves.at(service)), [this](const ApplyOutcome &outcome) {
        asio::post(m_context, [this, outcome] {
            m_moveStepPending = false;
            LOG_IF(WARNING, !outcome.ok())
                << "a step of a move was not stored, it is decided again: " << outcome.message;
        });
    });
}

template <typename Value> Result<Value> ControlHost::read(std::function<Value(const ControlState &)> selector)
{
    const auto promise = std::make_shared<boost::fibers::promise<Result<Value>>>();
    boost::fibers::future<Result<Value>> future = promise->get_future();
    m_group->read([promise, selector](bool confirmed, const ControlState &state, const std::optional<NodeId> &) {
        if (confirmed)
            promise->set_value(selector(state));
        else
            promise->set_value(failure(ResultCode::NoLeader,
                                       "no majority confirms that the state of this control host is the newest", true));
    });
    return future.get();
}

ControlApi ControlHost::makeApi()
{
    ControlApi api;
    api.announce = [this](const Announcement &announcement) { return announce(announcement); };
    api.remove = [this](const UpstreamId &id, uint64_t incarnation) { return remove(id, incarnation); };
    api.replaceRoutes = [this](const RoutesOrder &order) { return replaceRoutes(order); };
    api.currentRoutes = [this] {
        return read<AcceptedRoutes>([](const ControlState &state) { return state.routes(); });
    };
    api.setDataCentreOut = [this](const DataCentreOrder &order) { return setDataCentreOut(order); };
    api.orderMove = [this](const MoveOrder &order) { return orderMove(order); };
    api.move = [this](const ServiceName &service) {
        return read<std::optional<MoveState>>([service](const ControlState &state) {
            const auto found = state.moves().find(service.value());
            return found == state.moves().end() ? std::optional<MoveState>() : unpackMoveState(found->second);
        });
    };
    api.leader = [this] { return leaderAddress(); };
    return api;
}

std::optional<HostAddress> ControlHost::leaderAddress() const
{
    if (!m_status.leader || *m_status.leader == m_settings.id())
        return std::nullopt;
    const Result<HostAddress> internal = parseHostAddress(m_status.leader->value());
    if (!internal)
        return std::nullopt;
    return HostAddress{internal->address, m_settings.controlAddress->port};
}

} // namespace hickoryspur
