// Simulates a group of control hosts that find each other through seeds, with a simulated clock and
// in-memory links and disks. Tests can add hosts, crash, restart, freeze and isolate them, and replace
// their disks by empty ones.
#pragma once

#include "fakes/MemoryDisk.h"
#include "fakes/MemoryLinks.h"
#include "hickoryspur/process/GroupNode.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace hickoryspur {

class GroupFleet
{
public:
    GroupFleet(size_t seeds, LinkFaults faults, uint64_t seed);

    /** Starts a host that knows the seeds and has an empty disk; returns its index. */
    size_t add();
    /** Makes the first three running hosts the seeds of hosts that start from now on, as their settings would say. */
    void renewSeeds();
    void crash(size_t index);
    void loseDisk(size_t index);
    void restart(size_t index);
    /** Makes the host's disk full, or gives it room again; a host whose write fails opens its log again later. */
    void setDiskFull(size_t index, bool full) { m_hosts[index].disk->setFull(full); }
    /** Sets how long each sync of the host's disk takes; the host does nothing else meanwhile, as in GroupThread. */
    void setSyncTime(size_t index, Duration syncTime) { m_hosts[index].syncTime = syncTime; }
    void freeze(size_t index, Duration duration) { m_hosts[index].frozenUntil = m_now + duration; }
    /** Cuts the links between the host and all others until heal(). */
    void isolate(size_t index);
    void heal() { m_links.heal(); }

    void run(Duration duration);
    /** Runs until the condition holds, for at most limit; returns whether it holds. */
    bool runUntil(Duration limit, const std::function<bool()> &condition);

    /** Submits a ReplaceRoutes command to a host; returns the command id for outcome(). */
    uint64_t replaceRoutes(size_t index, uint64_t number);
    std::optional<ApplyOutcome> outcome(uint64_t commandId) const;
    /** A host that runs, leads and holds the lease. */
    std::optional<size_t> leader() const;
    /** The control hosts that the host knew at its last state change, which it would publish to entry hosts. */
    const std::vector<NodeId> &publishedHosts(size_t index) const { return m_hosts[index].published; }
    bool isUp(size_t index) const { return m_hosts[index].node != nullptr; }
    GroupNode &node(size_t index) { return *m_hosts[index].node; }
    size_t size() const { return m_hosts.size(); }
    TimePoint now() const { return m_now; }
    std::mt19937_64 &random() { return m_random; }

private:
    struct Host
    {
        NodeId name;
        std::unique_ptr<MemoryDisk> disk;
        std::unique_ptr<GroupNode> node;
        TimePoint frozenUntil;
        Duration syncTime = Duration::zero();
        /** What a write that is being synced will send and answer, and when it is on the disk. */
        std::optional<GroupActions> syncing;
        TimePoint syncedAt;
        /** When the host opens its log again after a failed write. */
        std::optional<TimePoint> reopensAt;
        std::vector<NodeId> published;
    };

    void start(size_t index);
    void step();
    void execute(size_t index, const GroupActions &actions);
    /** Sends and answers what a write allows that is on the disk. */
    void finishWrite(size_t index, const GroupActions &actions);
    /** Until when the host neither receives messages nor ticks. */
    TimePoint busyUntil(const Host &host) const { return std::max(host.frozenUntil, host.syncedAt); }
    static Duration syncDuration(const Host &host, const GroupActions &actions);
    /** Returns false if the disk refused a write; the host then neither sends nor answers. */
    static bool write(Host &host, const GroupActions &actions);
    std::optional<size_t> find(const NodeId &name) const;

    std::mt19937_64 m_random;
    MemoryLinks<LogMessage> m_links;
    TimePoint m_now{Duration(1'000'000'000)};
    std::vector<NodeId> m_seeds;
    std::vector<Host> m_hosts;
    std::map<uint64_t, ApplyOutcome> m_outcomes;
    uint64_t m_nextCommandId = 1;
    uint64_t m_nextDiskIncarnation = 100;
};

} // namespace hickoryspur
