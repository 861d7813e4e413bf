// Guards the requests that wait in an entry until they are admitted: each must be started, refused or ended, none may
// reach an upstream afterwards, and none may be sent to some of its shards only.
#include "UpstreamMessages.h"
#include "fakes/EntryWorld.h"

#include <boost/fiber/fiber.hpp>

using namespace hickoryspur;
using namespace hickoryspur::entryworld;

class RequestGateFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestGateFailureTest);
    CPPUNIT_TEST(request_roomComesInTime_isServed);
    CPPUNIT_TEST(request_roomDoesNotCome_isRefusedEarlyAndNeverSent);
    CPPUNIT_TEST(request_arrivalMode_isSentAsBefore);
    CPPUNIT_TEST(request_callerGoesWhileItWaits_isNeverSent);
    CPPUNIT_TEST(request_processStopsWhileItWaits_isRefusedAtOnce);
    CPPUNIT_TEST(request_isPutInQuarantineWhileItWaits_isRefusedAtOnce);
    CPPUNIT_TEST(query_oneShardHasNoRoom_nothingIsSentToTheOther);
    CPPUNIT_TEST(request_upstreamsAreFullOfOthersRequests_isRefusedThoughConnectionsAreFree);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration kTarget = 400ms;
    static constexpr Duration kSlow = 1200ms;
    static constexpr Duration kQuick = 60ms;
    static constexpr size_t kRequests = 3;

    struct Seen
    {
        std::vector<CallerAnswer> answers;
        /** How many had been answered soon after the event. */
        size_t soon = 0;
        size_t runs = 0;
    };

    using Event = std::function<void(EntryTraffic &)>;

    static void nothing(EntryTraffic &) { }

    static RouteTable narrowTable(const World &world)
    {
        RouteTable routes = table(world);
        for (auto &[name, service] : routes.services)
            service.connectionLimit = 1;
        for (Route &route : routes.routes) {
            route.maxAttempts = 1;
            route.targetLatency = kTarget;
        }
        return routes;
    }

    static CallerHandler after(Duration work, size_t &runs)
    {
        return [work, &runs](const CallerRequest &request) {
            ++runs;
            boost::this_fiber::sleep_for(work);
            return platform::makeAnswer(request, "sig", "answer");
        };
    }

    /** Requests to an upstream that runs one at a time; `event` comes when all but one wait. */
    static Seen play(AdmissionMode mode, Duration work, const Event &event, const std::function<bool()> &isGone)
    {
        Seen seen;
        onFibers([&](World &world) {
            world.addUpstream("labels", "a", after(work, seen.runs));
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a", mode);
            announce(world, *entry, false);
            entry->setRoutes(narrowTable(world));
            for (size_t i = 0; i < kRequests; ++i)
                boost::fibers::fiber([&, i] {
                    seen.answers.push_back(entry->serve(request("/label/1"), i == 0 ? neverGone : isGone));
                }).detach();
            tickFor({entry.get()}, 20ms);
            event(*entry);
            tickFor({entry.get()}, kTarget / 4 + 60ms);
            seen.soon = seen.answers.size();
            tickFor({entry.get()}, kRequests * work);
            CPPUNIT_ASSERT_EQUAL(kRequests, seen.answers.size());
        });
        return seen;
    }

    static void assertOthersAreRefusedSoon(const Seen &seen)
    {
        CPPUNIT_ASSERT_EQUAL(kRequests - 1, seen.soon);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, seen.runs);
        for (size_t i = 0; i < seen.soon; ++i) {
            CPPUNIT_ASSERT_EQUAL(503U, seen.answers[i].status);
            CPPUNIT_ASSERT_EQUAL(std::string("Retry-After"), seen.answers[i].fields.front().first);
        }
        CPPUNIT_ASSERT_EQUAL(200U, seen.answers.back().status);
    }

public:
    void request_roomComesInTime_isServed()
    {
        const Seen seen = play(AdmissionMode::Cost, 30ms, nothing, neverGone);
        CPPUNIT_ASSERT_EQUAL(kRequests, seen.runs);
        for (const CallerAnswer &answer : seen.answers)
            CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    }

    void request_roomDoesNotCome_isRefusedEarlyAndNeverSent()
    {
        assertOthersAreRefusedSoon(play(AdmissionMode::Cost, kSlow, nothing, neverGone));
    }

    void request_arrivalMode_isSentAsBefore()
    {
        const Seen seen = play(AdmissionMode::Arrival, kQuick * 5, nothing, neverGone);
        CPPUNIT_ASSERT_EQUAL(kRequests, seen.runs);
        for (const CallerAnswer &answer : seen.answers)
            CPPUNIT_ASSERT_EQUAL(200U, answer.status);
    }

    void request_callerGoesWhileItWaits_isNeverSent()
    {
        bool gone = false;
        const Seen seen = play(
            AdmissionMode::Cost, kSlow, [&](EntryTraffic &) { gone = true; }, [&] { return gone; });
        CPPUNIT_ASSERT_EQUAL(size_t{1}, seen.runs);
        CPPUNIT_ASSERT_EQUAL(kRequests - 1, seen.soon);
        CPPUNIT_ASSERT_EQUAL(504U, seen.answers.front().status);
    }

    void request_processStopsWhileItWaits_isRefusedAtOnce()
    {
        const auto stop = [](EntryTraffic &entry) {
            entry.setStopTime(monotonicNow() + kTarget / 2);
            tickFor({&entry}, 20ms);
        };
        // Without the stop the first request's end would let the second one start.
        const Seen seen = play(AdmissionMode::Cost, kQuick, stop, neverGone);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, seen.runs);
        CPPUNIT_ASSERT_EQUAL(503U, seen.answers.front().status);
    }

    void request_isPutInQuarantineWhileItWaits_isRefusedAtOnce()
    {
        const auto quarantine = [](EntryTraffic &entry) {
            SuspectReport report;
            report.fingerprint = fingerprintOf(request("/label/1"));
            for (uint64_t other : {1, 2})
                for (const char *upstream : {"x", "y"})
                    report.losses.push_back({UpstreamId(upstream + std::to_string(other)), 1, other, false, 0});
            entry.mergeSuspects(monotonicNow(), {report});
            tickFor({&entry}, 20ms);
        };
        // Without the quarantine the first request's end would let the second one start.
        const Seen seen = play(AdmissionMode::Cost, kQuick, quarantine, neverGone);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, seen.runs);
        CPPUNIT_ASSERT_EQUAL(503U, seen.answers.front().status);
    }

    // Guards against halves: sub-requests that take room at one shard while another one cannot be asked.
    void query_oneShardHasNoRoom_nothingIsSentToTheOther()
    {
        size_t slowRuns = 0;
        size_t freeRuns = 0;
        unsigned status = 0;
        onFibers([&](World &world) {
            world.addUpstream("busy", "a", after(kSlow, slowRuns));
            world.addUpstream("free", "a", after(kQuick, freeRuns));
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a", AdmissionMode::Cost);
            announce(world, *entry, false);
            entry->setRoutes(narrowTable(world));
            boost::fibers::fiber([&] { entry->serve(request("/label/1"), neverGone); }).detach();
            tickFor({entry.get()}, 20ms);
            boost::fibers::fiber([&] { status = entry->serve(request("/query/1"), neverGone).status; }).detach();
            tickFor({entry.get()}, kTarget / 4 + 60ms);
            CPPUNIT_ASSERT_EQUAL(503U, status);
            tickFor({entry.get()}, kSlow);
        });
        CPPUNIT_ASSERT_EQUAL(size_t{1}, slowRuns);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, freeRuns);
    }

    /** Two requests at once to an upstream that would take more; returns their statuses in the order of the answers. */
    static std::vector<unsigned> statusesWithSharedRoom(bool hasRoom)
    {
        size_t runs = 0;
        std::vector<unsigned> statuses;
        onFibers([&](World &world) {
            world.addUpstream("labels", "a", after(kSlow, runs));
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a", AdmissionMode::Cost);
            announce(world, *entry, false);
            entry->setRoutes(table(world));
            entry->setEntryCount(1);
            constexpr uint32_t kRunningOfOthers = 62;
            if (!hasRoom)
                entry->sharedLoad().apply(monotonicNow(),
                                          {1, {{world.upstreams.front().id, kRunningOfOthers, kRunningOfOthers, 0}}});
            for (size_t i = 0; i < 2; ++i)
                boost::fibers::fiber([&] {
                    statuses.push_back(entry->serve(request("/label/1"), neverGone).status);
                }).detach();
            tickFor({entry.get()}, kSlow + 200ms);
        });
        return statuses;
    }

    // Guards against admission that does not ask for the load of other entries. One request starts whatever room there
    // is, since nothing else would show that there is room again.
    void request_upstreamsAreFullOfOthersRequests_isRefusedThoughConnectionsAreFree()
    {
        CPPUNIT_ASSERT((statusesWithSharedRoom(true) == std::vector<unsigned>{200, 200}));
        CPPUNIT_ASSERT((statusesWithSharedRoom(false) == std::vector<unsigned>{503, 200}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestGateFailureTest);
