// Guards the requests that wait for a connection to an upstream when it says that it leaves: they must go to another
// replica at once, and not reach it when a connection gets free seconds later.
#include "fakes/EntryWorld.h"

#include <boost/fiber/fiber.hpp>

using namespace hickoryspur;
using namespace hickoryspur::entryworld;

class LeavingUpstreamFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingUpstreamFailureTest);
    CPPUNIT_TEST(request_waitsForAnUpstreamThatLeaves_isSentToAnother);
    CPPUNIT_TEST(request_waitsForTheOnlyUpstreamThatLeaves_isRefusedAtOnce);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration kSlowWork = 1500ms;
    static constexpr Duration kQuick = 500ms;
    /** With one connection allowed to the upstream, all but one of them wait for it. */
    static constexpr size_t kRequests = 3;

    static CallerHandler slowly(size_t &runs)
    {
        return [&runs](const CallerRequest &request) {
            ++runs;
            boost::this_fiber::sleep_for(kSlowWork);
            return platform::makeAnswer(request, "sig-slow", "slow");
        };
    }

    static RouteTable narrowTable(const World &world)
    {
        RouteTable routes = table(world);
        for (auto &[name, service] : routes.services)
            service.connectionLimit = 1;
        // Without a second attempt nothing but the notice that it leaves takes a request away from an upstream.
        for (Route &route : routes.routes)
            route.maxAttempts = 1;
        return routes;
    }

    /** The first upstream fills up; then it says that it leaves. Returns the answers that came soon after that. */
    static std::vector<CallerAnswer> answersAfterLeaving(World &world, EntryTraffic &entry,
                                                         const std::function<void()> &beforeLeaving)
    {
        std::vector<CallerAnswer> answers;
        for (size_t i = 0; i < kRequests; ++i)
            boost::fibers::fiber([&] { answers.push_back(entry.serve(request("/label/1"), neverGone)); }).detach();
        tickFor({&entry}, 100ms);
        beforeLeaving();
        Announcement leaving = world.upstreams.front();
        leaving.sequence = 2;
        leaving.state = static_cast<uint8_t>(UpstreamState::Leaving);
        entry.accept(monotonicNow(), leaving);
        tickFor({&entry}, kQuick);
        std::vector<CallerAnswer> soon = answers;
        tickFor({&entry}, kSlowWork);
        CPPUNIT_ASSERT_EQUAL(kRequests, answers.size());
        return soon;
    }

public:
    // Requests that waited reached a draining upstream 3 s after its drain had been acknowledged, and were lost.
    void request_waitsForAnUpstreamThatLeaves_isSentToAnother()
    {
        onFibers([](World &world) {
            size_t slowRuns = 0;
            world.addUpstream("labels", "a", slowly(slowRuns));
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a");
            announce(world, *entry, false);
            entry->setRoutes(narrowTable(world));
            const std::vector<CallerAnswer> soon = answersAfterLeaving(world, *entry, [&] {
                world.addUpstream("labels", "a", [](const CallerRequest &request) {
                    return platform::makeAnswer(request, "sig-quick", "quick");
                });
                entry->accept(monotonicNow(), world.upstreams.back());
            });
            CPPUNIT_ASSERT_EQUAL(kRequests - 1, soon.size());
            for (const CallerAnswer &answer : soon)
                CPPUNIT_ASSERT_EQUAL(std::string("quick"), answer.body);
            CPPUNIT_ASSERT_EQUAL(size_t{1}, slowRuns);
        });
    }

    void request_waitsForTheOnlyUpstreamThatLeaves_isRefusedAtOnce()
    {
        onFibers([](World &world) {
            size_t slowRuns = 0;
            world.addUpstream("labels", "a", slowly(slowRuns));
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a");
            announce(world, *entry, false);
            entry->setRoutes(narrowTable(world));
            const std::vector<CallerAnswer> soon = answersAfterLeaving(world, *entry, [] {});
            CPPUNIT_ASSERT_EQUAL(kRequests - 1, soon.size());
            for (const CallerAnswer &answer : soon)
                CPPUNIT_ASSERT_EQUAL(503U, answer.status);
            CPPUNIT_ASSERT_EQUAL(size_t{1}, slowRuns);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingUpstreamFailureTest);
