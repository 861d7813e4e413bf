// Guards the duty with one holder and the usage reports against failures between the steps of a report: decided,
// written, sent, answered. A fault here reports two contents for one window, gives one token to two holders, lets the
// duty alternate between hosts, or never delivers a window.
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/process/UsageReporter.h"
#include "hickoryspur/version/DutyHolder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <memory>
#include <set>

using namespace hickoryspur;

namespace {

constexpr Duration kStep = 100ms;
/** Slower than a report takes in the steps of the world, so that the limit is what spaces the calls. */
constexpr double kRate = 2;
const char *const kDuty = "usage";

UsageTiming shortTiming()
{
    UsageTiming timing;
    timing.window = 1s;
    timing.due = 6s;
    timing.callsPerSecond = kRate;
    return timing;
}

Command makeCommand(CommandType type, uint64_t number)
{
    Command command;
    command.type = static_cast<uint8_t>(type);
    command.subject = kDuty;
    command.number = number;
    return command;
}

struct Process
{
    Process(const std::string &name, uint64_t seed)
        : holder(name, DutyTiming())
        , reporter(shortTiming(), seed)
    {
    }
    DutyHolder holder;
    UsageReporter reporter;
    std::vector<Command> proposed;
    /** Proposals whose outcome this process does not learn. */
    std::vector<Command> unanswered;
    std::optional<UsageCall> call;
    TimePoint frozenUntil;
};

/** Three control hosts, their committed log and the service, with failures chosen by the bytes of step(). */
struct World
{
    World()
    {
        for (size_t i = 0; i < hosts.size(); ++i)
            restart(i);
    }

    void restart(size_t i) { hosts[i] = std::make_unique<Process>(name(i), ++seed); }
    static std::string name(size_t i) { return std::string(1, static_cast<char>('a' + i)); }

    /** The low bits choose what happens, the high bits whether what is under way is kept. */
    void step(uint8_t event)
    {
        now += kStep;
        answer = event % 8;
        const bool keeps = event >= 128;
        switch (event / 8 % 8) {
        case 1:
            changeLeader(event % 3, keeps);
            break;
        case 2:
            hosts[leader]->frozenUntil = now + kStep * (event % 8) * 4;
            changeLeader(keeps ? (leader + 1) % 3 : leader, event % 2 == 0);
            break;
        case 3:
            for (size_t i = 0; i < hosts.size(); ++i)
                losePower(i, keeps);
            break;
        case 4:
            losePower(leader, keeps);
            break;
        case 5:
            if (!delayed.empty()) {
                arrive(delayed.back());
                delayed.pop_back();
            }
            break;
        default:
            break;
        }
        for (size_t i = 0; i < hosts.size(); ++i)
            if (now >= hosts[i]->frozenUntil)
                run(i);
    }

    /** What the former leader has proposed is committed, or is overwritten in the log. */
    void changeLeader(size_t next, bool keeps)
    {
        if (next == leader)
            return;
        Process &former = *hosts[leader];
        for (const Command &command : former.proposed) {
            if (keeps)
                commit(command);
            former.unanswered.push_back(command);
        }
        former.proposed.clear();
        leader = next;
    }

    void losePower(size_t i, bool keeps)
    {
        for (const Command &command : hosts[i]->proposed)
            if (keeps)
                commit(command);
        pausedHolder = pausedHolder == name(i) ? "" : pausedHolder;
        if (keeps && hosts[i]->call)
            delayed.push_back(*hosts[i]->call);
        restart(i);
    }

    ApplyOutcome commit(const Command &command)
    {
        const std::string before = state.duty(kDuty).holder;
        ApplyOutcome outcome = state.apply(LogIndex(++index), command);
        if (command.kind() == CommandType::AcquireDuty) {
            RC_ASSERT(tokens.insert(outcome.number).second);
            RC_ASSERT(before.empty() || before == command.operatorName || now - holderChangedAt >= DutyTiming().lease);
            holderChangedAt = before == command.operatorName ? holderChangedAt : now;
        }
        return outcome;
    }

    void run(size_t i)
    {
        Process &host = *hosts[i];
        finishCall(host);
        for (const Command &command : std::exchange(host.unanswered, {}))
            finish(host, command, {static_cast<int>(ResultCode::OutcomeUnknown), "", 0, ""});
        for (const Command &command : std::exchange(host.proposed, {}))
            finish(host, command, commit(command));
        if (i == leader)
            host.holder.recordConfirmation(now, state.duty(kDuty));
        else
            host.holder.recordNoConfirmation();
        if (host.holder.shouldAcquire(now, {})) {
            host.holder.beginAcquire(now);
            host.proposed.push_back(makeCommand(CommandType::AcquireDuty, static_cast<uint64_t>(trueMillis())));
            host.proposed.back().operatorName = name(i);
        }
        const std::optional<uint64_t> token = host.holder.token(now);
        if (!token)
            return;
        const auto &waiting = state.usage().undelivered;
        const std::optional<uint64_t> oldest = waiting.empty() ? std::nullopt : std::optional(waiting.begin()->first);
        const UsageActions actions = host.reporter.next(
            now, trueMillis(), {token, state.duty(kDuty).sinceMillis, state.usage().lastDecided, oldest});
        if (actions.decide) {
            // Each count differs, so that a window that is decided twice has two contents.
            host.proposed.push_back(makeCommand(CommandType::DecideUsage, *actions.decide));
            host.proposed.back().text = pack(CustomerCounts{{CustomerName("c"), ++seed}});
            host.proposed.back().count = *token;
        }
        if (actions.recordSent)
            host.proposed.push_back(makeCommand(CommandType::UsageSent, *actions.recordSent));
        if (actions.send)
            host.call = UsageCall{*actions.send, *unpack<CustomerCounts>(waiting.begin()->second), name(i), *token};
    }

    static void finish(Process &host, const Command &command, const ApplyOutcome &outcome)
    {
        if (command.kind() == CommandType::AcquireDuty)
            host.holder.endAcquire(outcome.ok() ? std::optional(outcome.number) : std::nullopt);
        else if (command.kind() == CommandType::DecideUsage)
            host.reporter.endDecide();
        else
            host.reporter.endRecordSent();
    }

    void finishCall(Process &host)
    {
        if (!host.call)
            return;
        const UsageCall call = *std::exchange(host.call, std::nullopt);
        UsageOutcome outcome;
        if (host.holder.token(now) != call.token) {
            outcome.verdict = UsageVerdict::NotSent;
        } else {
            RC_ASSERT(now - lastWrite >= 1s / kRate);
            RC_ASSERT(!refused.contains(call.token));
            RC_ASSERT(now >= pausedUntil || call.holder != pausedHolder);
            lastWrite = now;
            outcome = write(call);
        }
        if (outcome.verdict == UsageVerdict::TokenOutdated) {
            refused.insert(call.token);
            host.holder.refuse(call.token);
        }
        host.reporter.endSend(now, call.window, outcome);
    }

    UsageOutcome write(const UsageCall &call)
    {
        if (answer == 1 || answer == 2) {
            if (answer == 1)
                delayed.push_back(call);
            return {UsageVerdict::NoAnswer, Duration::zero()};
        }
        if (answer == 3) {
            pausedUntil = now + 700ms;
            pausedHolder = call.holder;
            return {UsageVerdict::TooMany, 700ms};
        }
        return {answer == 4 || !arrive(call) ? UsageVerdict::TokenOutdated : UsageVerdict::Accepted, Duration::zero()};
    }

    /** The service: returns false for an outdated token. */
    bool arrive(const UsageCall &call)
    {
        const auto content = contents.emplace(call.window, call.counts).first;
        RC_ASSERT(content->second == call.counts);
        const auto holder = holders.emplace(call.token, call.holder).first;
        RC_ASSERT(holder->second == call.holder);
        if (call.token < highestToken)
            return false;
        highestToken = call.token;
        accepted.insert(call.window);
        return true;
    }

    int64_t trueMillis() const { return 1'700'000'000'000 + now.time_since_epoch().count() / 1000; }

    TimePoint now{100s};
    uint64_t index = 0;
    uint64_t seed = 0;
    size_t leader = 0;
    unsigned answer = 0;
    ControlState state;
    std::array<std::unique_ptr<Process>, 3> hosts;
    std::vector<UsageCall> delayed;
    std::set<uint64_t> tokens;
    std::set<uint64_t> refused;
    TimePoint holderChangedAt;
    TimePoint lastWrite;
    TimePoint pausedUntil;
    std::string pausedHolder;
    std::map<uint64_t, CustomerCounts> contents;
    std::map<uint64_t, std::string> holders;
    uint64_t highestToken = 0;
    std::set<uint64_t> accepted;
};

} // namespace

class DutyFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DutyFailureTest);
    CPPUNIT_TEST(reports_anyOrderOfFailures_haveOneContentEachAndAllArrive);
    CPPUNIT_TEST(holder_suspended_mayNotActBeforeNewConfirmation);
    CPPUNIT_TEST(holder_restarted_acquiresAnewAtOnce);
    CPPUNIT_TEST(duty_controlHostOfEarlierBuild_isNotAcquired);
    CPPUNIT_TEST(decision_repeatedOrWithOutdatedToken_changesNothing);
    CPPUNIT_TEST(usage_tooManyUndelivered_dropsOldest);
    CPPUNIT_TEST(checkpoint_ofEarlierOrLaterBuild_isReadable);
    CPPUNIT_TEST(checkpoint_ofEarlierBuildInstalled_keepsDuties);
    CPPUNIT_TEST_SUITE_END();

public:
    void reports_anyOrderOfFailures_haveOneContentEachAndAllArrive()
    {
        const bool held = rc::check("one content for a window, and all windows arrive", [] {
            const auto events = *rc::gen::container<std::vector<uint8_t>>(300, rc::gen::arbitrary<uint8_t>());
            World world;
            for (int i = 0; i < 150; ++i)
                world.step(0);
            for (const uint8_t event : events)
                world.step(event);
            for (int i = 0; i < 1500; ++i)
                world.step(0);
            const uint64_t first = static_cast<uint64_t>(world.state.duty(kDuty).sinceMillis) / 1000 + 1;
            RC_ASSERT(world.state.usage().lastDecided > first + 80);
            RC_ASSERT(world.state.usage().undelivered.size() <= 1U);
            for (uint64_t window = first; window < world.state.usage().lastDecided; ++window)
                RC_ASSERT(world.accepted.contains(window));
        });
        CPPUNIT_ASSERT(held);
    }

    void holder_suspended_mayNotActBeforeNewConfirmation()
    {
        DutyHolder holder("a", DutyTiming());
        const TimePoint start(100s);
        holder.endAcquire(5);
        holder.recordConfirmation(start, Duty{5, "a", 0});
        CPPUNIT_ASSERT(holder.token(start + 399ms) == std::optional<uint64_t>(5));
        CPPUNIT_ASSERT(!holder.token(start + 400ms));
        // An answer from before the suspension is not a new confirmation.
        holder.recordConfirmation(start + 50ms, Duty{5, "a", 0});
        CPPUNIT_ASSERT(!holder.token(start + 8s));
    }

    void holder_restarted_acquiresAnewAtOnce()
    {
        DutyHolder holder("a", DutyTiming());
        const TimePoint now(100s);
        holder.recordConfirmation(now, Duty{5, "a", 0});
        CPPUNIT_ASSERT_MESSAGE("a call of the former process may still be under way", !holder.token(now));
        CPPUNIT_ASSERT(holder.shouldAcquire(now, {}));
    }

    void duty_controlHostOfEarlierBuild_isNotAcquired()
    {
        DutyHolder holder("a", DutyTiming());
        const std::vector<NodeId> others{NodeId("b"), NodeId("c")};
        TimePoint now(100s);
        const auto confirm = [&] { holder.recordConfirmation(now, Duty()); };
        confirm();
        holder.recordHost(now, NodeId("b"), kCommandTypes);
        CPPUNIT_ASSERT_MESSAGE("c is not heard yet", !holder.shouldAcquire(now, others));
        holder.recordHost(now, NodeId("c"), 0);
        for (const TimePoint end = now + 60s; now < end; now += 100ms) {
            confirm();
            holder.recordHost(now, NodeId("c"), 0);
            CPPUNIT_ASSERT(!holder.shouldAcquire(now, others));
        }
        holder.recordHost(now, NodeId("c"), kCommandTypes);
        confirm();
        CPPUNIT_ASSERT(holder.shouldAcquire(now, others));
    }

    void decision_repeatedOrWithOutdatedToken_changesNothing()
    {
        ControlState state;
        state.apply(LogIndex(1), makeCommand(CommandType::AcquireDuty, 9000));
        Command decide = makeCommand(CommandType::DecideUsage, 7);
        decide.count = state.duty(kDuty).token;
        decide.text = "first";
        CPPUNIT_ASSERT(state.apply(LogIndex(2), decide).ok());
        decide.text = "second";
        state.apply(LogIndex(3), decide);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), state.usage().undelivered.at(7));
        state.apply(LogIndex(4), makeCommand(CommandType::AcquireDuty, 12000));
        decide.number = 8;
        CPPUNIT_ASSERT(!state.apply(LogIndex(5), decide).ok());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, state.usage().undelivered.size());
        CPPUNIT_ASSERT_EQUAL(int64_t{9000}, state.duty(kDuty).sinceMillis);
    }

    void usage_tooManyUndelivered_dropsOldest()
    {
        ControlState state;
        uint64_t dropped = 0;
        for (uint64_t window = 1; window <= ControlState::kMaxUndeliveredWindows + 3; ++window)
            dropped += state.apply(LogIndex(window), makeCommand(CommandType::DecideUsage, window)).number;
        CPPUNIT_ASSERT_EQUAL(uint64_t{3}, dropped);
        CPPUNIT_ASSERT_EQUAL(uint64_t{4}, state.usage().undelivered.begin()->first);
    }

    void checkpoint_ofEarlierOrLaterBuild_isReadable()
    {
        ControlState state;
        state.apply(LogIndex(1), makeCommand(CommandType::AcquireDuty, 9000));
        const msgpack::object_handle handle = msgpack::unpack(state.serialize().data(), state.serialize().size());
        std::vector<msgpack::object> fields = handle.get().as<std::vector<msgpack::object>>();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the fields of the earlier layout stand first", size_t{18}, fields.size());
        fields.resize(16);
        const std::optional<ControlState> earlier = ControlState::deserialize(pack(fields));
        CPPUNIT_ASSERT(earlier && earlier->appliedIndex() == LogIndex(1) && earlier->duty(kDuty).token == 0);
        const std::optional<ControlState> same = ControlState::deserialize(state.serialize());
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, same->duty(kDuty).token);
    }

    void checkpoint_ofEarlierBuildInstalled_keepsDuties()
    {
        ControlState state;
        state.apply(LogIndex(1), makeCommand(CommandType::AcquireDuty, 9000));
        ControlState installed;
        installed.keepDutiesOf(state);
        CPPUNIT_ASSERT_EQUAL(uint64_t{1}, installed.duty(kDuty).token);
        // The next token is higher than all before also on a host that has lost the duty.
        ControlState lost;
        for (ControlState *each : {&installed, &lost})
            CPPUNIT_ASSERT_EQUAL(uint64_t{6},
                                 each->apply(LogIndex(6), makeCommand(CommandType::AcquireDuty, 1)).number);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyFailureTest);
