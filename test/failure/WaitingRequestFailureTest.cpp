// Guards the requests that wait for a connection to an upstream when its use ends, in each of the ways in which it can
// end: they must go to another replica at once, and not reach it when a connection gets free seconds later. The table
// in docs/design/waiting.md names the test of each case.
#include "UpstreamMessages.h"
#include "fakes/EntryWorld.h"
#include "hickoryspur/process/MessageCodec.h"

#include <boost/fiber/fiber.hpp>

using namespace hickoryspur;
using namespace hickoryspur::entryworld;

class WaitingRequestFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WaitingRequestFailureTest);
    CPPUNIT_TEST(request_waitsForAnUpstreamThatLeaves_isSentToAnother);
    CPPUNIT_TEST(request_waitsForTheOnlyUpstreamThatLeaves_isRefusedAtOnce);
    CPPUNIT_TEST(request_waitsForAnUpstreamThatIsGone_isSentToAnother);
    CPPUNIT_TEST(request_waitsForAnUpstreamWhoseAddressIsTakenOver_isSentToAnother);
    CPPUNIT_TEST(request_waitsForAnUpstreamInADataCentreTakenOut_isSentToAnother);
    CPPUNIT_TEST(request_waitsForTheOnlyDataCentreWhichIsTakenOut_isRefusedAtOnce);
    CPPUNIT_TEST(request_waitsForAVersionThatIsTakenBack_isSentToAnother);
    CPPUNIT_TEST(request_waitsForAnUpstreamThatAsksForAPause_isSentToAnother);
    CPPUNIT_TEST(request_waitsAndIsPutInQuarantine_isRefusedAtOnce);
    CPPUNIT_TEST(request_waitsForAServiceThatAChangeRemoves_isServed);
    CPPUNIT_TEST(query_shardWaitsInADataCentreTakenOut_isAskedElsewhere);
    CPPUNIT_TEST(request_overdueAtAnUpstreamInADataCentreTakenOut_isHedgedElsewhere);
    CPPUNIT_TEST(request_delegatedAndWaitingInADataCentreTakenOut_isSentToAnother);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration kSlowWork = 1500ms;
    static constexpr Duration kQuick = 500ms;
    /** With one connection allowed to the upstream, all but one of them wait for it. */
    static constexpr size_t kRequests = 3;

    using Event = std::function<void(World &, EntryTraffic &)>;

    static CallerHandler slowly(size_t &runs)
    {
        return [&runs](const CallerRequest &request) {
            ++runs;
            boost::this_fiber::sleep_for(kSlowWork);
            return platform::makeAnswer(request, "sig-slow", "slow");
        };
    }

    static CallerResponse quickly(const CallerRequest &request)
    {
        return platform::makeAnswer(request, "sig-quick", "quick");
    }

    static RouteTable narrowTable(const World &world)
    {
        RouteTable routes = table(world);
        for (auto &[name, service] : routes.services)
            service.connectionLimit = 1;
        // Without a second attempt nothing but the end of its use takes a request away from an upstream.
        for (Route &route : routes.routes)
            route.maxAttempts = 1;
        return routes;
    }

    static void nothing(World &, EntryTraffic &) { }

    /** Another replica of the service comes, in another data centre. */
    static void addQuickReplica(World &world, EntryTraffic &entry)
    {
        world.addUpstream("labels", "b", quickly);
        entry.accept(monotonicNow(), world.upstreams.back());
    }

    static void setState(World &world, EntryTraffic &entry, UpstreamState state)
    {
        Announcement announcement = world.upstreams.front();
        announcement.sequence = 2;
        announcement.state = static_cast<uint8_t>(state);
        entry.accept(monotonicNow(), announcement);
    }

    static void leave(World &world, EntryTraffic &entry) { setState(world, entry, UpstreamState::Leaving); }

    static void takeOutDataCentre(World &, EntryTraffic &entry) { entry.setDataCentresOut({"a"}); }

    static void takeBackVersion(World &, EntryTraffic &entry)
    {
        MoveState state;
        state.from = "v0";
        state.to = "v1";
        state.status = static_cast<uint8_t>(MoveStatus::TakenBack);
        entry.setMoves({{"labels", pack(state)}});
    }

    /** The first upstream fills up; then comes the event. Returns the answers that came soon after that. */
    static std::vector<CallerAnswer> answersAfter(World &world, EntryTraffic &entry, const Event &before,
                                                  const Event &event)
    {
        std::vector<CallerAnswer> answers;
        for (size_t i = 0; i < kRequests; ++i)
            boost::fibers::fiber([&] { answers.push_back(entry.serve(request("/label/1"), neverGone)); }).detach();
        tickFor({&entry}, 100ms);
        before(world, entry);
        event(world, entry);
        tickFor({&entry}, kQuick);
        std::vector<CallerAnswer> soon = answers;
        tickFor({&entry}, kSlowWork);
        CPPUNIT_ASSERT_EQUAL(kRequests, answers.size());
        return soon;
    }

    struct Seen
    {
        /** What callers had got soon after the event. */
        std::vector<CallerAnswer> soon;
        /** Requests that the first upstream ran. */
        size_t runs = 0;
    };

    static Seen play(const Event &before, const Event &event)
    {
        Seen seen;
        onFibers([&](World &world) {
            world.addUpstream("labels", "a", slowly(seen.runs));
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a");
            announce(world, *entry, false);
            entry->setRoutes(narrowTable(world));
            seen.soon = answersAfter(world, *entry, before, event);
        });
        return seen;
    }

    static void assertSentToAnother(const Seen &seen)
    {
        CPPUNIT_ASSERT_EQUAL(kRequests - 1, seen.soon.size());
        for (const CallerAnswer &answer : seen.soon)
            CPPUNIT_ASSERT_EQUAL(std::string("quick"), answer.body);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, seen.runs);
    }

    static void assertRefusedAtOnce(const Seen &seen)
    {
        CPPUNIT_ASSERT_EQUAL(kRequests - 1, seen.soon.size());
        for (const CallerAnswer &answer : seen.soon)
            CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, seen.runs);
    }

public:
    // Requests that waited reached a draining upstream 3 s after its drain had been acknowledged, and were lost.
    void request_waitsForAnUpstreamThatLeaves_isSentToAnother() { assertSentToAnother(play(addQuickReplica, leave)); }

    void request_waitsForTheOnlyUpstreamThatLeaves_isRefusedAtOnce() { assertRefusedAtOnce(play(nothing, leave)); }

    void request_waitsForAnUpstreamThatIsGone_isSentToAnother()
    {
        assertSentToAnother(play(
            addQuickReplica, [](World &world, EntryTraffic &entry) { setState(world, entry, UpstreamState::Gone); }));
    }

    // Only the upstream that an announcement named was withdrawn from, not the one that it took the address from.
    void request_waitsForAnUpstreamWhoseAddressIsTakenOver_isSentToAnother()
    {
        assertSentToAnother(play(addQuickReplica, [](World &world, EntryTraffic &entry) {
            Announcement successor = world.upstreams.front();
            successor.id = UpstreamId("other-1");
            successor.service = ServiceName("other");
            successor.incarnation = 2;
            entry.accept(monotonicNow(), successor);
        }));
    }

    // Requests that waited reached upstreams of a data centre 7.9 s after it had been taken out, where 5 s are allowed.
    void request_waitsForAnUpstreamInADataCentreTakenOut_isSentToAnother()
    {
        assertSentToAnother(play(addQuickReplica, takeOutDataCentre));
    }

    void request_waitsForTheOnlyDataCentreWhichIsTakenOut_isRefusedAtOnce()
    {
        assertRefusedAtOnce(play(nothing, takeOutDataCentre));
    }

    // Requests that waited for a version reached it after it had been found bad.
    void request_waitsForAVersionThatIsTakenBack_isSentToAnother()
    {
        assertSentToAnother(play(
            [](World &world, EntryTraffic &entry) {
                world.addUpstream("labels", "b", quickly);
                world.upstreams.back().version = VersionName("v0");
                entry.accept(monotonicNow(), world.upstreams.back());
            },
            takeBackVersion));
    }

    void request_waitsForAnUpstreamThatAsksForAPause_isSentToAnother()
    {
        size_t runs = 0;
        std::vector<CallerAnswer> soon;
        onFibers([&](World &world) {
            world.addUpstream("labels", "a", [&runs](const CallerRequest &request) {
                ++runs;
                boost::this_fiber::sleep_for(200ms);
                CallerResponse refusal = platform::makeNotRun(request, false);
                UpstreamSignals signals;
                signals.pause = 5s;
                platform::setSignals(refusal, signals);
                return refusal;
            });
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a");
            announce(world, *entry, false);
            entry->setRoutes(narrowTable(world));
            soon = answersAfter(world, *entry, addQuickReplica, nothing);
        });
        CPPUNIT_ASSERT_EQUAL(kRequests, soon.size());
        for (const CallerAnswer &answer : soon)
            CPPUNIT_ASSERT_EQUAL(std::string("quick"), answer.body);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, runs);
    }

    // Of a request that ends upstreams, those that waited at other entries reached one more upstream each.
    void request_waitsAndIsPutInQuarantine_isRefusedAtOnce()
    {
        assertRefusedAtOnce(play(addQuickReplica, [](World &, EntryTraffic &entry) {
            SuspectReport report;
            report.fingerprint = fingerprintOf(request("/label/1"));
            for (uint64_t other : {1, 2})
                for (const char *upstream : {"x", "y"})
                    report.losses.push_back({UpstreamId(upstream + std::to_string(other)), 1, other, false, 0});
            entry.mergeSuspects(monotonicNow(), {report});
        }));
    }

    // Its upstreams serve until they leave, which withdraws; ending what was accepted earlier would serve nobody.
    void request_waitsForAServiceThatAChangeRemoves_isServed()
    {
        const Seen seen = play(nothing, [](World &world, EntryTraffic &entry) {
            RouteTable routes = narrowTable(world);
            ++routes.number;
            routes.services.clear();
            routes.routes.clear();
            entry.setRoutes(std::move(routes));
        });
        CPPUNIT_ASSERT(seen.soon.empty());
        CPPUNIT_ASSERT(seen.runs > 1);
    }

    void query_shardWaitsInADataCentreTakenOut_isAskedElsewhere()
    {
        size_t runs = 0;
        std::optional<CallerAnswer> soon;
        onFibers([&](World &world) {
            world.addUpstream("labels", "a", slowly(runs));
            world.addUpstream("rolls", "b");
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "b");
            announce(world, *entry, false);
            entry->setRoutes(narrowTable(world));
            boost::fibers::fiber([&entry] { entry->serve(request("/label/1"), neverGone); }).detach();
            tickFor({entry.get()}, 100ms);
            std::optional<CallerAnswer> answer;
            boost::fibers::fiber([&] { answer = entry->serve(request("/query/1"), neverGone); }).detach();
            tickFor({entry.get()}, 100ms);
            world.addUpstream("labels", "b");
            entry->accept(monotonicNow(), world.upstreams.back());
            takeOutDataCentre(world, *entry);
            tickFor({entry.get()}, kQuick);
            soon = answer;
            tickFor({entry.get()}, kSlowWork);
        });
        CPPUNIT_ASSERT(soon);
        CPPUNIT_ASSERT_EQUAL(200U, soon->status);
        CPPUNIT_ASSERT_EQUAL(2 * kRecordBytes, soon->body.size());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, runs);
    }

    void request_overdueAtAnUpstreamInADataCentreTakenOut_isHedgedElsewhere()
    {
        size_t runs = 0;
        std::optional<CallerAnswer> soon;
        onFibers([&](World &world) {
            for (int i = 0; i < 2; ++i)
                world.addUpstream("labels", "a", slowly(runs));
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a");
            announce(world, *entry, false);
            entry->setRoutes(table(world));
            std::optional<CallerAnswer> answer;
            boost::fibers::fiber([&] { answer = entry->serve(request("/label/1"), neverGone); }).detach();
            tickFor({entry.get()}, 30ms);
            addQuickReplica(world, *entry);
            takeOutDataCentre(world, *entry);
            tickFor({entry.get()}, kQuick);
            soon = answer;
            tickFor({entry.get()}, kSlowWork);
        });
        CPPUNIT_ASSERT(soon);
        CPPUNIT_ASSERT_EQUAL(std::string("quick"), soon->body);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, runs);
    }

    // What is handed to another entry waits there, by that entry's own view of the upstreams.
    void request_delegatedAndWaitingInADataCentreTakenOut_isSentToAnother()
    {
        Seen seen;
        onFibers([&seen](World &world) {
            world.addUpstream("labels", "a", slowly(seen.runs));
            for (const char *shard : {"shard1", "shard2", "shard3", "shard4", "shard5"})
                world.addUpstream(shard, "b");
            const std::unique_ptr<EntryTraffic> cutOff = world.startEntry("127.0.0.1", "a");
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.2", "a");
            const std::vector<EntryTraffic *> both = {cutOff.get(), entry.get()};
            announce(world, *cutOff, true);
            announce(world, *entry, false);
            const std::vector<EntryLocation> locations = {{"127.0.0.1:80", DataCentreName("a")},
                                                          {"127.0.0.2:80", DataCentreName("a")}};
            for (EntryTraffic *each : both) {
                each->setRoutes(narrowTable(world));
                each->setDeploymentSize(2);
            }
            cutOff->setEntries(monotonicNow(), locations[0].address, locations);
            entry->setEntries(monotonicNow(), locations[1].address, locations);
            awaitCutOff(*cutOff);
            std::vector<CallerAnswer> answers;
            for (size_t i = 0; i < kRequests; ++i)
                boost::fibers::fiber([&] {
                    answers.push_back(cutOff->serve(request("/label/1"), neverGone));
                }).detach();
            tickFor(both, 100ms);
            addQuickReplica(world, *entry);
            takeOutDataCentre(world, *entry);
            tickFor(both, kQuick);
            seen.soon = answers;
            tickFor(both, kSlowWork);
        });
        assertSentToAnother(seen);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingRequestFailureTest);
