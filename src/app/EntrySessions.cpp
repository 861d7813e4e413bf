#include "app/EntrySessions.h"

#include "hickoryspur/process/Compression.h"
#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MessageCodec.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/**
 * Timeout of inbound links: an entry that sends no status is removed from the addresses given to callers. It is at
 * least this long, and several intervals of the entry's status.
 */
constexpr Duration kEntryTimeout = 700ms;
constexpr int kMissedStatusLimit = 3;
/** How long an entry may have older routes than this host before a host that does not lead sends them. */
constexpr Duration kRoutesGrace = 600ms;

} // namespace

EntrySessions::StatusChange EntrySessions::recordStatus(const Link &link, const EntryStatus &status)
{
    const auto [found, isNew] = m_sessions.try_emplace(link.get());
    Session &session = found->second;
    const StatusChange change{
        isNew, isNew || session.status.offered != status.offered || session.status.cutOff != status.cutOff};
    session.link = link;
    session.status = status;
    if (isNew)
        m_awaitingState.push_back(link);
    if (change.offeredChanged)
        HS_LOG(INFO, LogEvent::SessionOpened) << "entry=" << status.entry << " callers=" << status.callerAddress
                                              << " offered=" << status.offered << " cut-off=" << status.cutOff;
    return change;
}

void EntrySessions::remove(const Link &link)
{
    const auto session = m_sessions.find(link.get());
    if (session == m_sessions.end())
        return;
    HS_LOG(INFO, LogEvent::SessionLost) << "entry=" << session->second.status.entry;
    m_sessions.erase(session);
}

bool EntrySessions::awaitsState(const Link &link) const
{
    const auto session = m_sessions.find(link.get());
    return session != m_sessions.end() && session->second.awaitsState;
}

void EntrySessions::sendState(size_t maxSessions, EntryUpdate update)
{
    update.carriesHosts = true;
    update.setEntries(m_offeredEntries);
    update.controlHosts = m_controlHosts;
    const PeerMessage message = encode(update);
    for (size_t sent = 0; sent < maxSessions && !m_awaitingState.empty();) {
        const Link link = m_awaitingState.front().lock();
        m_awaitingState.pop_front();
        const auto session = m_sessions.find(link.get());
        if (!link || link->isClosed() || session == m_sessions.end())
            continue;
        session->second.awaitsState = false;
        session->second.sentHostsVersion = m_hostsVersion;
        link->send(message);
        ++sent;
    }
}

bool EntrySessions::hasOpenSession() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(),
                       [](const auto &item) { return !item.second.link->isClosed(); });
}

std::vector<OfferedEntry> EntrySessions::offeredEntries() const
{
    std::vector<OfferedEntry> offered;
    std::vector<OfferedEntry> cutOff;
    for (const auto &[link, session] : m_sessions)
        if (session.status.offered && !session.link->isClosed())
            (session.status.cutOff ? cutOff : offered)
                .push_back(
                    {{session.status.callerAddress, session.status.dataCentre}, session.status.subRequestsPerSecond});
    return offered.empty() ? cutOff : offered;
}

Duration EntrySessions::timeout(const Link &link) const
{
    const auto session = m_sessions.find(link.get());
    if (session == m_sessions.end())
        return kEntryTimeout;
    const std::chrono::milliseconds interval(session->second.status.intervalMillis);
    return std::max<Duration>(kEntryTimeout, kMissedStatusLimit * interval);
}

void EntrySessions::setRoutes(TimePoint now, const AcceptedRoutes &routes)
{
    m_routesChangedAt = now;
    m_routes = routes;
    m_compressedRoutes = {routes.number, compressText(routes.text)};
    m_routesVersion = {routes.number, hash64(routes.text)};
}

bool EntrySessions::setHosts(std::vector<EntryLocation> entries, std::vector<NodeId> controlHosts)
{
    if (m_hostsVersion > 0 && entries == m_offeredEntries && controlHosts == m_controlHosts)
        return false;
    ++m_hostsVersion;
    m_offeredEntries = std::move(entries);
    m_controlHosts = std::move(controlHosts);
    return true;
}

PeerMessage EntrySessions::encode(const EntryUpdate &update) const
{
    PeerMessage message;
    message.type = static_cast<uint8_t>(PeerMessageType::EntryUpdate);
    message.from = m_self;
    message.payload = pack(update);
    return message;
}

void EntrySessions::send(Session &session, EntryUpdate update)
{
    if (session.link->isClosed())
        return;
    if (session.sentHostsVersion != m_hostsVersion) {
        session.sentHostsVersion = m_hostsVersion;
        update.carriesHosts = true;
        update.setEntries(m_offeredEntries);
        update.controlHosts = m_controlHosts;
    }
    session.link->send(encode(update));
}

void EntrySessions::send(const Link &link, EntryUpdate update)
{
    const auto session = m_sessions.find(link.get());
    if (session != m_sessions.end())
        send(session->second, std::move(update));
}

void EntrySessions::broadcast(const EntryUpdate &update)
{
    const PeerMessage message = encode(update);
    const PeerMessage empty = anyAwaitsState() ? encode(EntryUpdate()) : PeerMessage();
    for (auto &[link, session] : m_sessions) {
        if (session.awaitsState)
            session.link->send(empty);
        else if (session.sentHostsVersion != m_hostsVersion)
            send(session, update);
        else
            session.link->send(message);
    }
}

bool EntrySessions::lacksRoutes(TimePoint now, bool leads, const Session &session) const
{
    const RoutesVersion reported{session.status.routesNumber, session.status.routesDigest};
    if (reported.number > m_routesVersion.number || reported.isSameAs(m_routesVersion))
        return false;
    if (!leads && now - m_routesChangedAt < kRoutesGrace)
        return false;
    return session.sentRoutes != m_routesVersion.number || now - session.sentRoutesAt >= kRoutesGrace;
}

bool EntrySessions::lacksRoutes(TimePoint now, bool leads, const Link &link) const
{
    const auto session = m_sessions.find(link.get());
    return session != m_sessions.end() && lacksRoutes(now, leads, session->second);
}

std::vector<EntrySessions::Link> EntrySessions::linksWithoutRoutes(TimePoint now, bool leads) const
{
    std::vector<Link> links;
    for (const auto &[link, session] : m_sessions)
        if (!session.awaitsState && lacksRoutes(now, leads, session))
            links.push_back(session.link);
    return links;
}

void EntrySessions::sendRoutes(TimePoint now, const Link &link, EntryUpdate update)
{
    const auto found = m_sessions.find(link.get());
    if (found == m_sessions.end())
        return;
    Session &session = found->second;
    session.sentRoutes = m_routesVersion.number;
    session.sentRoutesAt = now;
    update.compressedRoutes = session.status.readsCompressed;
    update.routes = update.compressedRoutes ? m_compressedRoutes : m_routes;
    send(session, std::move(update));
}

bool EntrySessions::beginLogReport(const Link &link)
{
    const auto session = m_sessions.find(link.get());
    if (session == m_sessions.end() || session->second.logReportPending)
        return false;
    session->second.logReportPending = true;
    return true;
}

bool EntrySessions::endLogReport(const Link &link)
{
    const auto session = m_sessions.find(link.get());
    if (session == m_sessions.end())
        return false;
    session->second.logReportPending = false;
    return true;
}

} // namespace hickoryspur
