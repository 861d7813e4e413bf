// A group of control nodes over in-memory links and disks, driven in steps of a simulated clock.
// Faults are drawn from a seed. The invariants are checked after every step, and the outcome of every
// command is kept for the test to query.
#pragma once

#include "fakes/MemoryDisk.h"
#include "fakes/MemoryLinks.h"
#include "hickoryspur/process/ControlNode.h"

#include <memory>
#include <string>

namespace hickoryspur {

/** Rules that a mutation check breaks on purpose, to show that the random runs detect it. */
struct Mutations
{
    bool acknowledgeBeforeSync = false;
    bool reuseDiskIncarnation = false;
};

class ControlGroup
{
public:
    ControlGroup(size_t control, size_t entries, LinkFaults faults, uint64_t seed, Mutations mutations = {});

    /** Advances the simulated clock by the duration. */
    void run(Duration duration);
    /** Runs until the condition holds; returns false if it doesn't within the limit. */
    bool runUntil(Duration limit, const std::function<bool()> &condition);
    /** Applies one fault or repair, drawn at random. */
    void injectRandomFault();
    /** Heals all links and starts every node that is down. */
    void endFaults();

    void crash(size_t index);
    void loseDisk(size_t index);
    void restart(size_t index);
    void freeze(size_t index, Duration duration);
    bool isUp(size_t index) const { return m_hosts[index].node != nullptr; }

    uint64_t submit(size_t index, Command command, CommandWait wait, Duration timeout = 5s);
    std::optional<ApplyOutcome> outcome(uint64_t commandId) const;

    ControlNode &node(size_t index) { return *m_hosts[index].node; }
    std::optional<size_t> leader() const;
    size_t size() const { return m_hosts.size(); }
    TimePoint now() const { return m_now; }
    NodeId name(size_t index) const { return m_settings.nodes[index].name; }
    std::vector<NodeId> names() const { return m_settings.entryNodes(); }
    MemoryLinks<PeerMessage> &links() { return m_links; }
    std::mt19937_64 &random() { return m_random; }
    /** Checks that no entry serves a state older than the index that a leader considers in force. */
    void checkServing();
    /** Bytes sent between nodes so far, by message type; messages of a node to itself are not counted. */
    const std::map<PeerMessageType, uint64_t> &sentBytes() const { return m_sentBytes; }
    void announce(size_t index, const Announcement &announcement);

private:
    struct Host
    {
        std::unique_ptr<ControlNode> node;
        std::unique_ptr<MemoryDisk> disk;
        TimePoint frozenUntil;
    };

    void start(size_t index);
    void execute(size_t index, NodeActions actions);
    void step();
    bool isControl(size_t index) const { return m_settings.nodes[index].control; }
    void checkOneLeaderPerTerm();

    Settings m_settings;
    std::mt19937_64 m_random;
    MemoryLinks<PeerMessage> m_links;
    Mutations m_mutations;
    std::vector<Host> m_hosts;
    TimePoint m_now;
    uint64_t m_nextCommandId = 1;
    uint64_t m_nextIncarnation = 100;
    std::map<uint64_t, ApplyOutcome> m_outcomes;
    std::map<uint64_t, NodeId> m_leaderOfTerm;
    LogIndex m_inForce;
    std::map<PeerMessageType, uint64_t> m_sentBytes;
};

} // namespace hickoryspur
