#include "fakes/RandomRuns.h"

#include "fakes/Commands.h"

#include <set>
#include <stdexcept>

namespace hickoryspur {

namespace {

constexpr LinkFaults kLossyLinks{200us, 60ms, 0.05, 0.05};
constexpr Duration kFaultInterval = 700ms;
constexpr Duration kRecoveryTimeout = 60s;
constexpr Duration kSubmitTimeout = 4s;

void require(bool condition, uint64_t seed, const std::string &what)
{
    if (!condition)
        throw std::logic_error("seed " + std::to_string(seed) + ": " + what);
}

std::optional<size_t> pickRunningNode(ControlGroup &group)
{
    std::vector<size_t> up;
    for (size_t i = 0; i < group.size(); ++i)
        if (group.isUp(i))
            up.push_back(i);
    if (up.empty())
        return std::nullopt;
    return up[group.random()() % up.size()];
}

/** Requires that every node has applied all committed entries and has the same state. */
void requireConverged(ControlGroup &group, uint64_t seed)
{
    group.endFaults();
    const auto converged = [&] {
        const auto leader = group.leader();
        if (!leader)
            return false;
        const std::string state = group.node(*leader).state().serialize();
        for (size_t i = 0; i < group.size(); ++i)
            if (group.node(i).state().serialize() != state
                || group.node(i).appliedIndex() != group.node(*leader).log()->commitIndex())
                return false;
        return true;
    };
    require(group.runUntil(kRecoveryTimeout, converged), seed, "the nodes' states differ after the faults have ended");
}

/** Requires that, after the faults have ended, a new document is accepted and comes in force everywhere. */
void requireProgress(ControlGroup &group, uint64_t seed)
{
    // Documents that were submitted during the faults may still be accepted until their timeout.
    group.run(kSubmitTimeout + 1s);
    const DocumentVersion *current = group.node(0).state().current(Environment::Trial);
    const Command command =
        submitTrial("# last", "last", current ? current->number : 0, current ? current->digest : std::string());
    const uint64_t commandId = group.submit(0, command, CommandWait::InForce, kRecoveryTimeout);
    group.runUntil(kRecoveryTimeout, [&] { return group.outcome(commandId).has_value(); });
    const auto outcome = group.outcome(commandId);
    require(outcome && outcome->ok(), seed,
            "no document comes in force after the faults have ended: " + (outcome ? outcome->message : "no answer"));
}

struct SentDocument
{
    uint64_t commandId = 0;
    std::string digest;
};

} // namespace

void runDocuments(uint64_t seed, uint64_t steps, Mutations mutations)
{
    ControlGroup group(3 + 2 * (seed % 2), 7, kLossyLinks, seed, mutations);
    std::vector<SentDocument> sent;
    for (uint64_t step = 0; step < steps; ++step) {
        group.injectRandomFault();
        for (int operatorNumber = 0; operatorNumber < 2; ++operatorNumber) {
            const auto index = pickRunningNode(group);
            if (!index)
                continue;
            const DocumentVersion *current = group.node(*index).state().current(Environment::Trial);
            const std::string text = "# " + std::to_string(step) + '.' + std::to_string(operatorNumber);
            const Command command =
                submitTrial(text, text, current ? current->number : 0, current ? current->digest : std::string());
            sent.push_back({group.submit(*index, command, CommandWait::InForce, kSubmitTimeout), sha256Hex(text)});
        }
        group.run(kFaultInterval);
    }
    group.endFaults();
    requireProgress(group, seed);
    requireConverged(group, seed);
    std::map<uint64_t, std::string> history;
    for (const DocumentVersion &version : group.node(0).state().history(Environment::Trial))
        history[version.number] = version.digest;
    for (const SentDocument &document : sent) {
        const auto outcome = group.outcome(document.commandId);
        // A document that timed out waiting to be in force is accepted nevertheless.
        const bool acknowledged =
            outcome && (outcome->ok() || (outcome->resultCode() == ResultCode::NotInForce && outcome->number > 0));
        if (!acknowledged)
            continue;
        require(history[outcome->number] == document.digest, seed,
                "document " + std::to_string(outcome->number) + " was acknowledged and is not in the history");
    }
}

void runClaims(uint64_t seed, uint64_t steps, Mutations mutations)
{
    ControlGroup group(3 + 2 * (seed % 2), 7, kLossyLinks, seed, mutations);
    std::map<std::string, std::vector<uint64_t>> commandIds;
    uint64_t number = 0;
    for (uint64_t step = 0; step < steps; ++step) {
        group.injectRandomFault();
        for (int resend = 0; resend < 3; ++resend) {
            const auto index = pickRunningNode(group);
            if (!index)
                continue;
            const std::string key = "key-" + std::to_string((step + group.random()() % 3) / 3);
            const Command command = claimKey(key, "digest", group.name(*index).value(), ++number);
            commandIds[key].push_back(group.submit(*index, command, CommandWait::Committed, 3s));
        }
        group.run(kFaultInterval);
    }
    requireConverged(group, seed);
    size_t dispatched = 0;
    for (const auto &[key, sent] : commandIds) {
        size_t granted = 0;
        for (const uint64_t commandId : sent)
            if (const auto outcome = group.outcome(commandId); outcome && outcome->ok() && outcome->number == 0)
                ++granted;
        require(granted <= 1, seed, key + " was granted " + std::to_string(granted) + " times");
        dispatched += granted;
    }
    require(dispatched > 0, seed, "no claim was granted at all");
}

void runRepairs(uint64_t seed, uint64_t steps, Mutations mutations)
{
    ControlGroup group(3, 5, kLossyLinks, seed, mutations);
    std::map<uint64_t, std::string> acknowledged;
    for (uint64_t round = 0; round < steps / 10; ++round) {
        require(group.runUntil(kRecoveryTimeout, [&] { return group.leader().has_value(); }), seed, "no leader");
        const DocumentVersion *current = group.node(*group.leader()).state().current(Environment::Trial);
        const std::string text = "# round " + std::to_string(round);
        const uint64_t commandId = group.submit(
            *group.leader(),
            submitTrial(text, text, current ? current->number : 0, current ? current->digest : std::string()),
            CommandWait::Committed, 5s);
        group.runUntil(6s, [&] { return group.outcome(commandId).has_value(); });
        if (const auto outcome = group.outcome(commandId); outcome && outcome->ok())
            acknowledged[outcome->number] = outcome->digest;
        const size_t victim = group.random()() % 3;
        const size_t behind = (victim + 1) % 3;
        const size_t ahead = (victim + 2) % 3;
        // In half of the rounds one host misses a document, a second host loses its disk with that
        // document, and the third host, which still has it, is down. The host with the empty disk must
        // not give the host that is behind the vote it needs to lead.
        const bool hasOneRunningCopy = group.random()() % 2 == 0;
        if (hasOneRunningCopy) {
            group.links().isolate(group.name(behind), group.names());
            group.run(3s);
            const std::string missed = text + " missed by one";
            const auto leader = group.leader();
            if (leader) {
                const DocumentVersion *now = group.node(*leader).state().current(Environment::Trial);
                const uint64_t second = group.submit(
                    *leader, submitTrial(missed, missed, now ? now->number : 0, now ? now->digest : std::string()),
                    CommandWait::Committed, 5s);
                group.runUntil(6s, [&] { return group.outcome(second).has_value(); });
                if (const auto outcome = group.outcome(second); outcome && outcome->ok())
                    acknowledged[outcome->number] = outcome->digest;
            }
            group.crash(ahead);
            group.links().heal();
        }
        group.loseDisk(victim);
        group.run(Duration(static_cast<int64_t>(group.random()() % 2'000'000)));
        group.restart(victim);
        if (hasOneRunningCopy) {
            group.run(8s);
            group.restart(ahead);
        }
        // The next disk is lost as soon as this host votes again, while a healthy host restarts.
        const auto repaired = [&] {
            const auto leader = group.leader();
            return leader && group.node(*leader).log()->membership().isVoter(group.node(victim).log()->self())
                && !group.node(*leader).log()->membershipChangePending();
        };
        require(group.runUntil(kRecoveryTimeout, repaired), seed, "a lost disk was not repaired");
        const size_t other = (victim + 1 + group.random()() % 2) % 3;
        group.crash(other);
        group.restart(other);
    }
    requireConverged(group, seed);
    std::map<uint64_t, std::string> history;
    for (const DocumentVersion &version : group.node(0).state().history(Environment::Trial))
        history[version.number] = version.digest;
    for (const auto &[number, digest] : acknowledged)
        require(history[number] == digest, seed, "document " + std::to_string(number) + " was lost in a repair");
    require(!acknowledged.empty(), seed, "no document was accepted at all");
}

} // namespace hickoryspur
