#include "fakes/ControlGroup.h"

#include "hickoryspur/process/Check.h"
#include "hickoryspur/process/MessageCodec.h"

namespace hickoryspur {

namespace {

constexpr Duration kStep = 5ms;
constexpr int64_t kInitialWallSeconds = 1'000'000;

} // namespace

ControlGroup::ControlGroup(size_t control, size_t entries, LinkFaults faults, uint64_t seed, Mutations mutations)
    : m_random(seed)
    , m_links(faults, seed + 1)
    , m_mutations(mutations)
    , m_now(Duration(1'000'000'000))
{
    setInvariantHandler([](Invariant, const std::string &message) { throw std::logic_error(message); });
    const size_t count = std::max(control, entries);
    for (size_t i = 0; i < count; ++i) {
        NodeSettings node;
        node.name = NodeId("n" + std::to_string(i));
        node.dataCentre = DataCentreName("dc" + std::to_string(i % 3));
        node.control = i < control;
        m_settings.nodes.push_back(node);
    }
    Membership initial;
    for (size_t i = 0; i < control; ++i)
        initial.voters.push_back({name(i), DiskIncarnation(1)});
    m_hosts.resize(count);
    for (size_t i = 0; i < count; ++i) {
        if (isControl(i))
            m_hosts[i].disk = std::make_unique<MemoryDisk>(MemberId{name(i), DiskIncarnation(1)}, initial);
        start(i);
    }
}

void ControlGroup::start(size_t index)
{
    ControlNodeConfig config;
    config.settings = m_settings;
    config.settings.node = name(index);
    config.incarnation = m_nextIncarnation++;
    config.seed = m_random();
    config.entriesPerCheckpoint = 50;
    std::optional<RecoveredStorage> recovered;
    if (isControl(index))
        recovered = m_hosts[index].disk->recover();
    m_hosts[index].node = std::make_unique<ControlNode>(config, std::move(recovered), m_now);
    m_hosts[index].frozenUntil = TimePoint();
}

void ControlGroup::crash(size_t index)
{
    m_hosts[index].node.reset();
    if (m_hosts[index].disk)
        m_hosts[index].disk->crash(m_random);
}

void ControlGroup::loseDisk(size_t index)
{
    m_hosts[index].node.reset();
    if (m_hosts[index].disk)
        m_hosts[index].disk->lose(m_mutations.reuseDiskIncarnation ? m_hosts[index].disk->self().disk
                                                                   : DiskIncarnation(m_nextIncarnation++));
}

void ControlGroup::restart(size_t index)
{
    if (!isUp(index))
        start(index);
}

void ControlGroup::freeze(size_t index, Duration duration)
{
    m_hosts[index].frozenUntil = m_now + duration;
}

void ControlGroup::execute(size_t index, NodeActions actions)
{
    Host &host = m_hosts[index];
    const bool wrote = !actions.log.empty();
    if (m_mutations.acknowledgeBeforeSync) {
        for (const LogActions &log : actions.log) {
            host.disk->append(log.append);
            if (log.saveHardState)
                host.disk->saveHardState(*log.saveHardState);
        }
    } else {
        for (const LogActions &log : actions.log)
            persist(*host.disk, log);
    }
    if (actions.checkpoint)
        host.disk->saveCheckpoint(*actions.checkpoint, CheckpointOrigin::Local);
    for (const PeerSend &message : actions.sends) {
        PeerMessage envelope;
        envelope.type = static_cast<uint8_t>(message.type);
        envelope.from = name(index);
        envelope.payload = message.payload;
        if (message.to != name(index))
            m_sentBytes[message.type] += pack(envelope).size();
        m_links.send(m_now, name(index), message.to, envelope);
    }
    for (const SubmitResult &reply : actions.replies)
        m_outcomes[reply.commandId] = reply.outcome;
    if (wrote)
        execute(index, host.node->persisted(m_now));
}

void ControlGroup::announce(size_t index, const Announcement &announcement)
{
    execute(index, m_hosts[index].node->announce(m_now, announcement));
}

void ControlGroup::checkOneLeaderPerTerm()
{
    for (const Host &host : m_hosts) {
        if (!host.node || !host.node->log() || !host.node->log()->isLeader())
            continue;
        const uint64_t term = host.node->log()->term().value();
        const NodeId &self = host.node->log()->self().node;
        const auto [recorded, added] = m_leaderOfTerm.emplace(term, self);
        HS_INVARIANT(OneLeaderPerTerm, recorded->second == self)
            << "term " << term << " has leaders " << recorded->second << " and " << self;
    }
}

void ControlGroup::checkServing()
{
    for (const Host &host : m_hosts) {
        if (!host.node)
            continue;
        const bool leads = host.node->log() && host.node->log()->isCurrent() && host.node->log()->holdsLease(m_now);
        if (leads)
            m_inForce = std::max(m_inForce, host.node->leases().inForce());
    }
    for (const Host &host : m_hosts) {
        if (!host.node || host.frozenUntil > m_now || host.node->servesUntil() <= m_now)
            continue;
        HS_INVARIANT(VersionNeverLower, host.node->appliedIndex() >= m_inForce)
            << "an entry serves index " << host.node->appliedIndex() << " while " << m_inForce << " is in force";
    }
}

void ControlGroup::step()
{
    m_now += kStep;
    for (auto &delivery : m_links.due(m_now)) {
        for (size_t i = 0; i < m_hosts.size(); ++i) {
            if (name(i) != delivery.to || !m_hosts[i].node)
                continue;
            if (m_hosts[i].frozenUntil > m_now)
                m_links.send(m_hosts[i].frozenUntil, delivery.from, delivery.to, delivery.message);
            else
                execute(i, m_hosts[i].node->receive(m_now, delivery.message));
        }
    }
    for (size_t i = 0; i < m_hosts.size(); ++i)
        if (m_hosts[i].node && m_hosts[i].frozenUntil <= m_now)
            execute(i, m_hosts[i].node->tick(m_now, kInitialWallSeconds + m_now.time_since_epoch() / 1s));
    checkOneLeaderPerTerm();
    checkServing();
}

void ControlGroup::run(Duration duration)
{
    const TimePoint end = m_now + duration;
    while (m_now < end)
        step();
}

bool ControlGroup::runUntil(Duration limit, const std::function<bool()> &condition)
{
    const TimePoint end = m_now + limit;
    while (m_now < end && !condition())
        step();
    return condition();
}

void ControlGroup::injectRandomFault()
{
    const size_t index = m_random() % m_hosts.size();
    switch (m_random() % 7) {
    case 0:
        crash(index);
        break;
    case 1:
    case 2:
        restart(index);
        break;
    case 3:
        m_links.isolate(name(index), names());
        break;
    case 4:
        m_links.cutOneWay(name(index), name(m_random() % m_hosts.size()));
        break;
    case 5:
        m_links.heal();
        break;
    default:
        freeze(index, Duration(static_cast<int64_t>(m_random() % 3'000'000)));
        break;
    }
}

void ControlGroup::endFaults()
{
    m_links.heal();
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        m_hosts[i].frozenUntil = TimePoint();
        restart(i);
    }
}

uint64_t ControlGroup::submit(size_t index, Command command, CommandWait wait, Duration timeout)
{
    const uint64_t commandId = m_nextCommandId++;
    execute(index, m_hosts[index].node->submit(m_now, commandId, std::move(command), wait, timeout));
    return commandId;
}

std::optional<ApplyOutcome> ControlGroup::outcome(uint64_t commandId) const
{
    const auto found = m_outcomes.find(commandId);
    return found == m_outcomes.end() ? std::nullopt : std::optional(found->second);
}

std::optional<size_t> ControlGroup::leader() const
{
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        const ReplicatedLog *log = m_hosts[i].node ? m_hosts[i].node->log() : nullptr;
        if (log && log->isCurrent() && log->holdsLease(m_now))
            return i;
    }
    return std::nullopt;
}

} // namespace hickoryspur
