// Control nodes over the in-memory links and disks, driven in steps of a hand-made clock. Faults are
// drawn from a seed; every node's program invariants are checked as it goes, and what was
// acknowledged is remembered so that a test can ask for it afterwards.
#pragma once

#include "fakes/MemoryDisk.h"
#include "fakes/MemoryLinks.h"
#include "hickoryspur/process/ControlNode.h"

#include <memory>
#include <string>

namespace hickoryspur {

/** Rules that a mutation check breaks on purpose, to show that the runs notice. */
struct Mutations
{
    bool acknowledgeBeforeSync = false;
    bool reuseDiskIncarnation = false;
};

class ControlGroup
{
public:
    ControlGroup(size_t control, size_t entries, LinkFaults faults, uint64_t seed, Mutations mutations = {});

    /** Runs for a while of the hand-made clock. */
    void run(Duration duration);
    /** Runs until the condition holds; false where it does not within the limit. */
    bool runUntil(Duration limit, const std::function<bool()> &condition);
    /** Draws one fault or repair. */
    void injectRandomFault();
    /** Ends all faults: links heal and every node is up. */
    void endFaults();

    void crash(size_t index);
    void loseDisk(size_t index);
    void restart(size_t index);
    void freeze(size_t index, Duration duration);
    bool isUp(size_t index) const { return m_hosts[index].node != nullptr; }

    uint64_t submit(size_t index, Command command, CommandWait wait, Duration timeout = 5s);
    std::optional<ApplyOutcome> outcome(uint64_t ticket) const;

    ControlNode &node(size_t index) { return *m_hosts[index].node; }
    std::optional<size_t> leader() const;
    size_t size() const { return m_hosts.size(); }
    TimePoint now() const { return m_now; }
    NodeId name(size_t index) const { return m_settings.nodes[index].name; }
    std::vector<NodeId> names() const { return m_settings.entryNodes(); }
    MemoryLinks<PeerMessage> &links() { return m_links; }
    std::mt19937_64 &random() { return m_random; }
    /** No entry may serve a state older than the one a leader holds to be in force. */
    void checkServing();
    /** Bytes sent between nodes so far, by type of message; the nodes' own loops are left out. */
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
    void carryOut(size_t index, NodeActions actions);
    void step();
    bool isControl(size_t index) const { return m_settings.nodes[index].control; }
    void checkOneLeaderPerTerm();

    Settings m_settings;
    std::mt19937_64 m_random;
    MemoryLinks<PeerMessage> m_links;
    Mutations m_mutations;
    std::vector<Host> m_hosts;
    TimePoint m_now;
    uint64_t m_nextTicket = 1;
    uint64_t m_nextIncarnation = 100;
    std::map<uint64_t, ApplyOutcome> m_outcomes;
    std::map<uint64_t, NodeId> m_leaderOfTerm;
    LogIndex m_inForce;
    std::map<PeerMessageType, uint64_t> m_sentBytes;
};

} // namespace hickoryspur
