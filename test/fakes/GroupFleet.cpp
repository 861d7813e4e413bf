#include "fakes/GroupFleet.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>
#include <utility>

namespace hickoryspur {

namespace {

constexpr Duration kStep = 5ms;
/** As in GroupThread. */
constexpr Duration kReopenDelay = 300ms;
/** The file is synced, and then its folder. */
constexpr int kSyncsPerReplacedFile = 2;

} // namespace

GroupFleet::GroupFleet(size_t seeds, LinkFaults faults, uint64_t seed)
    : m_random(seed)
    , m_links(faults, seed + 1)
{
    setInvariantHandler([](Invariant, const std::string &message) { throw std::logic_error(message); });
    Membership initial;
    for (size_t i = 0; i < seeds; ++i) {
        m_seeds.emplace_back("10.0.0." + std::to_string(i + 1) + ":7000");
        initial.voters.push_back({m_seeds.back(), DiskIncarnation(1)});
    }
    for (size_t i = 0; i < seeds; ++i) {
        Host host;
        host.name = m_seeds[i];
        host.disk = std::make_unique<MemoryDisk>(MemberId{host.name, DiskIncarnation(1)}, initial);
        m_hosts.push_back(std::move(host));
        start(i);
    }
}

size_t GroupFleet::add()
{
    Host host;
    host.name = NodeId("10.0.0." + std::to_string(m_hosts.size() + 1) + ":7000");
    host.disk =
        std::make_unique<MemoryDisk>(MemberId{host.name, DiskIncarnation(m_nextDiskIncarnation++)}, Membership());
    m_hosts.push_back(std::move(host));
    start(m_hosts.size() - 1);
    return m_hosts.size() - 1;
}

void GroupFleet::renewSeeds()
{
    std::vector<NodeId> running;
    for (size_t i = 0; i < m_hosts.size() && running.size() < m_seeds.size(); ++i)
        if (isUp(i))
            running.push_back(m_hosts[i].name);
    m_seeds = std::move(running);
}

void GroupFleet::start(size_t index)
{
    Host &host = m_hosts[index];
    GroupTiming timing;
    timing.entriesPerCheckpoint = 20;
    RecoveredStorage recovered = host.disk->recover();
    recovered.log.writeTime = kSyncsPerReplacedFile * host.syncTime;
    host.node = std::make_unique<GroupNode>(recovered, m_seeds, timing, m_random(), m_now);
    host.frozenUntil = TimePoint();
    host.syncedAt = TimePoint();
    host.syncing.reset();
    host.reopensAt.reset();
}

void GroupFleet::crash(size_t index)
{
    m_hosts[index].node.reset();
    m_hosts[index].disk->crash(m_random);
}

void GroupFleet::loseDisk(size_t index)
{
    m_hosts[index].node.reset();
    m_hosts[index].disk->lose(DiskIncarnation(m_nextDiskIncarnation++));
}

void GroupFleet::restart(size_t index)
{
    if (!isUp(index))
        start(index);
}

void GroupFleet::isolate(size_t index)
{
    std::vector<NodeId> all;
    for (const Host &host : m_hosts)
        all.push_back(host.name);
    m_links.isolate(m_hosts[index].name, all);
}

std::optional<size_t> GroupFleet::find(const NodeId &name) const
{
    const auto found =
        std::find_if(m_hosts.begin(), m_hosts.end(), [&](const Host &host) { return host.name == name; });
    return found == m_hosts.end() ? std::nullopt : std::optional<size_t>(found - m_hosts.begin());
}

bool GroupFleet::write(Host &host, const GroupActions &actions)
{
    for (const LogActions &log : actions.log)
        if (!persist(*host.disk, log))
            return false;
    return !actions.checkpoint || host.disk->saveCheckpoint(*actions.checkpoint, CheckpointOrigin::Local);
}

void GroupFleet::execute(size_t index, const GroupActions &actions)
{
    Host &host = m_hosts[index];
    if (!write(host, actions)) {
        host.node.reset();
        host.reopensAt = m_now + kReopenDelay;
        return;
    }
    const Duration duration = syncDuration(host, actions);
    if (duration == Duration::zero())
        return finishWrite(index, actions);
    host.syncing = actions;
    host.syncedAt = m_now + duration;
}

Duration GroupFleet::syncDuration(const Host &host, const GroupActions &actions)
{
    Duration duration = Duration::zero();
    for (const LogActions &log : actions.log) {
        duration += log.saveHardState ? kSyncsPerReplacedFile * host.syncTime : Duration::zero();
        duration += log.installCheckpoint ? 2 * kSyncsPerReplacedFile * host.syncTime : Duration::zero();
        duration += log.truncateFrom || !log.append.empty() ? host.syncTime : Duration::zero();
    }
    return duration;
}

void GroupFleet::finishWrite(size_t index, const GroupActions &actions)
{
    Host &host = m_hosts[index];
    for (const LogEnvelope &envelope : actions.messages)
        m_links.send(m_now, host.name, envelope.to, envelope.message);
    for (const CommandAnswer &answer : actions.answers)
        m_outcomes[answer.commandId] = answer.outcome;
    if (actions.stateChanged)
        host.published = host.node->knownHosts();
    if (!actions.log.empty())
        execute(index, host.node->persisted(m_now));
}

void GroupFleet::step()
{
    m_now += kStep;
    for (size_t i = 0; i < m_hosts.size(); ++i)
        if (isUp(i) && m_hosts[i].syncing && m_now >= busyUntil(m_hosts[i]))
            finishWrite(i, *std::exchange(m_hosts[i].syncing, std::nullopt));
    for (auto &delivery : m_links.due(m_now)) {
        const std::optional<size_t> to = find(delivery.to);
        if (!to || !isUp(*to))
            continue;
        // A host that is frozen or waits for its disk receives its messages when it resumes.
        if (m_now < busyUntil(m_hosts[*to]))
            m_links.send(busyUntil(m_hosts[*to]), delivery.from, delivery.to, delivery.message);
        else
            execute(*to, node(*to).receive(m_now, delivery.message));
    }
    for (size_t i = 0; i < m_hosts.size(); ++i)
        if (m_hosts[i].reopensAt && m_now >= *m_hosts[i].reopensAt) {
            // The process has not ended: what it wrote, synced or not, is there.
            m_hosts[i].disk->sync();
            start(i);
        }
    for (size_t i = 0; i < m_hosts.size(); ++i)
        if (isUp(i) && m_now >= busyUntil(m_hosts[i]))
            execute(i, node(i).tick(m_now));
}

void GroupFleet::run(Duration duration)
{
    runUntil(duration, [] { return false; });
}

bool GroupFleet::runUntil(Duration limit, const std::function<bool()> &condition)
{
    const TimePoint end = m_now + limit;
    while (m_now < end) {
        if (condition())
            return true;
        step();
    }
    return condition();
}

uint64_t GroupFleet::replaceRoutes(size_t index, uint64_t number)
{
    Command command;
    command.type = static_cast<uint8_t>(CommandType::ReplaceRoutes);
    command.number = number;
    command.text = "routes " + std::to_string(number);
    const uint64_t commandId = m_nextCommandId++;
    execute(index, node(index).submit(m_now, commandId, command));
    return commandId;
}

std::optional<ApplyOutcome> GroupFleet::outcome(uint64_t commandId) const
{
    const auto found = m_outcomes.find(commandId);
    return found == m_outcomes.end() ? std::nullopt : std::optional(found->second);
}

std::optional<size_t> GroupFleet::leader() const
{
    for (size_t i = 0; i < m_hosts.size(); ++i)
        if (m_hosts[i].node && m_now >= m_hosts[i].frozenUntil && m_hosts[i].node->leads(m_now))
            return i;
    return std::nullopt;
}

} // namespace hickoryspur
