#include "PlatformCodec.h"
#include "UpstreamMessages.h"
#include "connection/AsioScheduler.h"
#include "request/EntryTraffic.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <thread>

using namespace hickoryspur;

/**
 * Guards callers of an entry that has lost its way to all upstreams, and queries that two entries work on. Two
 * entries in one thread, on loopback addresses of their own, and upstreams that the test answers for. An entry is cut
 * off by telling it addresses at which nobody listens, while the upstreams' heartbeats go on.
 */
class DelegationFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DelegationFailureTest);
    CPPUNIT_TEST(entry_cutOffFromUpstreams_callersAreServedThroughAnother);
    CPPUNIT_TEST(entries_allCutOff_refuseAtOnceAndHandNothingOnTwice);
    CPPUNIT_TEST(entry_cutOffAndNoOtherKnown_triesItself);
    CPPUNIT_TEST(entry_backInTouch_servesItself);
    CPPUNIT_TEST(notIdempotent_delegated_runsOnce);
    CPPUNIT_TEST(query_overManyShards_isAnsweredByBothEntries);
    CPPUNIT_TEST(query_otherEntryGone_isAnsweredByThisOne);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t kShards = ShardGroups::kMinShards;
    static constexpr size_t kRecordBytes = 16;

    /** All that lives on the thread of one test. */
    struct World
    {
        std::shared_ptr<boost::asio::io_context> context = std::make_shared<boost::asio::io_context>(1);
        uint16_t internalPort = freePort();
        std::vector<std::unique_ptr<HttpCallerServer>> servers;
        std::vector<Announcement> upstreams;
        size_t runs = 0;

        static uint16_t freePort()
        {
            boost::asio::io_context context;
            boost::asio::ip::tcp::acceptor acceptor(
                context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
            return acceptor.local_endpoint().port();
        }

        /** Starts an upstream that holds one record. */
        void addUpstream(const std::string &service, const std::string &dataCentre)
        {
            Announcement announcement;
            announcement.id = UpstreamId(service + "-1");
            announcement.service = ServiceName(service);
            announcement.version = VersionName("v1");
            announcement.incarnation = 1;
            announcement.sequence = 1;
            announcement.address = "127.0.0.1";
            announcement.port = freePort();
            announcement.dataCentre = DataCentreName(dataCentre);
            std::string record = service;
            record.resize(kRecordBytes, '.');
            // The thread ends only after the fibers of all connections.
            ServerLimits limits;
            limits.idleTimeout = 500ms;
            auto server = HttpCallerServer::listen(*context, {announcement.address, announcement.port}, limits,
                                                   [this, service, record](const CallerRequest &request) {
                                                       ++runs;
                                                       return platform::makeAnswer(request, "sig-" + service, record);
                                                   });
            CPPUNIT_ASSERT(server);
            servers.push_back(std::move(*server));
            upstreams.push_back(announcement);
        }

        std::unique_ptr<EntryTraffic> startEntry(const std::string &ip, const std::string &dataCentre) const
        {
            TrafficConfig config;
            config.dataCentre = DataCentreName(dataCentre);
            config.internalAddress = {ip, internalPort};
            config.seed = hash(ip);
            auto traffic = std::make_unique<EntryTraffic>(*context, config, platform::makePlatformCodec().traffic);
            CPPUNIT_ASSERT(traffic->listen());
            traffic->setServing(true);
            return traffic;
        }

        static uint64_t hash(const std::string &text) { return std::hash<std::string>()(text); }
    };

    static Route route(const std::string &prefix, bool idempotent)
    {
        Route result;
        result.name = prefix;
        result.host = "lab";
        result.pathPrefix = prefix;
        result.idempotent = idempotent;
        result.timeout = 2s;
        result.targetLatency = 500ms;
        result.maxAttempts = 2;
        return result;
    }

    static RouteTable table(const World &world)
    {
        RouteTable routes;
        routes.number = 1;
        Route query = route("/query/", true);
        query.topRecords = 3;
        for (const Announcement &upstream : world.upstreams) {
            query.shards.push_back(upstream.service);
            routes.services[upstream.service] = {upstream.service, 20, 0};
        }
        Route notice = route("/notice/", false);
        notice.services = {{world.upstreams.front().service, 1}};
        Route label = route("/label/", true);
        label.services = notice.services;
        routes.routes = {query, notice, label};
        return routes;
    }

    /** Tells the entry of the upstreams; if it is cut off, at addresses where nobody listens. */
    static void announce(const World &world, EntryTraffic &entry, bool cutOff, uint64_t sequence = 1)
    {
        for (Announcement announcement : world.upstreams) {
            announcement.sequence = sequence;
            if (cutOff)
                announcement.address = "127.0.0.99";
            entry.accept(monotonicNow(), announcement);
        }
    }

    static ForwardedRequest request(const std::string &path)
    {
        ForwardedRequest result;
        result.method = "GET";
        result.target = result.path = path;
        result.host = "lab";
        result.id = "request-1";
        result.timeout = 2s;
        result.fields = {{"Hickoryspur-Request-Id", result.id}};
        return result;
    }

    static bool neverGone() { return false; }

    static void tickFor(const std::vector<EntryTraffic *> &entries, Duration time)
    {
        const TimePoint end = monotonicNow() + time;
        while (monotonicNow() < end) {
            for (EntryTraffic *entry : entries)
                entry->tick(monotonicNow());
            boost::this_fiber::sleep_for(10ms);
        }
    }

    /** Sends requests until the entry knows that it is cut off. */
    static void awaitCutOff(EntryTraffic &entry)
    {
        const TimePoint end = monotonicNow() + 5s;
        while (!entry.isCutOff() && monotonicNow() < end) {
            boost::fibers::fiber([&entry] { entry.serve(request("/query/1"), neverGone); }).join();
            tickFor({&entry}, 30ms);
        }
        CPPUNIT_ASSERT(entry.isCutOff());
    }

    struct Pair
    {
        std::unique_ptr<EntryTraffic> first;
        std::unique_ptr<EntryTraffic> second;
    };

    static const std::vector<EntryLocation> &locations()
    {
        static const std::vector<EntryLocation> kLocations = {{"127.0.0.1:80", DataCentreName("a")},
                                                              {"127.0.0.2:80", DataCentreName("b")}};
        return kLocations;
    }

    static Pair startPair(const World &world, bool firstCutOff, bool secondCutOff)
    {
        Pair pair{world.startEntry("127.0.0.1", "a"), world.startEntry("127.0.0.2", "b")};
        announce(world, *pair.first, firstCutOff);
        announce(world, *pair.second, secondCutOff);
        for (EntryTraffic *entry : {pair.first.get(), pair.second.get()}) {
            entry->setRoutes(table(world));
            entry->setDeploymentSize(2);
        }
        pair.first->setEntries(monotonicNow(), locations()[0].address, locations());
        pair.second->setEntries(monotonicNow(), locations()[1].address, locations());
        return pair;
    }

    /** Runs a test on a thread of its own, since fibers' scheduling is set for a thread. */
    static void onFibers(const std::function<void(World &)> &test)
    {
        std::exception_ptr failure;
        std::thread([&] {
            // Not destroyed: fibers that wait for a connection cannot be unwound.
            auto *world = new World();
            boost::fibers::use_scheduling_algorithm<AsioScheduler>(world->context);
            try {
                test(*world);
            } catch (...) {
                failure = std::current_exception();
            }
            world->servers.clear();
        }).join();
        if (failure)
            std::rethrow_exception(failure);
    }

    static void addUpstreams(World &world, size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            world.addUpstream("shard" + std::to_string(i), i % 2 == 0 ? "a" : "b");
    }

public:
    void entry_cutOffFromUpstreams_callersAreServedThroughAnother()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, false);
            awaitCutOff(*pair.first);
            const CallerAnswer merged = pair.first->serve(request("/query/1"), neverGone);
            CPPUNIT_ASSERT_EQUAL(200U, merged.status);
            CPPUNIT_ASSERT_EQUAL(3 * kRecordBytes, merged.body.size());
            const CallerAnswer single = pair.first->serve(request("/label/1"), neverGone);
            CPPUNIT_ASSERT_EQUAL(200U, single.status);
            CPPUNIT_ASSERT_EQUAL(kRecordBytes, single.body.size());
        });
    }

    void entries_allCutOff_refuseAtOnceAndHandNothingOnTwice()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, true);
            awaitCutOff(*pair.first);
            awaitCutOff(*pair.second);
            const TimePoint before = monotonicNow();
            CPPUNIT_ASSERT_EQUAL(503U, pair.first->serve(request("/query/1"), neverGone).status);
            CPPUNIT_ASSERT(monotonicNow() - before < 100ms);
            CPPUNIT_ASSERT_EQUAL(size_t(0), world.runs);
            CPPUNIT_ASSERT_EQUAL(size_t(0), pair.second->delegatedRequests());
        });
    }

    void entry_cutOffAndNoOtherKnown_triesItself()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, false);
            awaitCutOff(*pair.first);
            pair.first->setEntries(monotonicNow(), locations()[0].address, {locations()[0]});
            announce(world, *pair.first, false, 2);
            CPPUNIT_ASSERT_EQUAL(200U, pair.first->serve(request("/query/1"), neverGone).status);
        });
    }

    void entry_backInTouch_servesItself()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, false);
            awaitCutOff(*pair.first);
            announce(world, *pair.first, false, 2);
            tickFor({pair.first.get()}, 1s);
            CPPUNIT_ASSERT(!pair.first->isCutOff());
        });
    }

    void notIdempotent_delegated_runsOnce()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, false);
            awaitCutOff(*pair.first);
            world.runs = 0;
            CPPUNIT_ASSERT_EQUAL(200U, pair.first->serve(request("/notice/1"), neverGone).status);
            CPPUNIT_ASSERT_EQUAL(size_t(1), world.runs);
        });
    }

    void query_overManyShards_isAnsweredByBothEntries()
    {
        onFibers([](World &world) {
            addUpstreams(world, kShards);
            const Pair pair = startPair(world, false, false);
            // The first entry alone could not answer: half of the shards are out of its reach.
            for (size_t i = 1; i < world.upstreams.size(); i += 2) {
                Announcement announcement = world.upstreams[i];
                announcement.sequence = 2;
                announcement.address = "127.0.0.99";
                pair.first->accept(monotonicNow(), announcement);
            }
            const CallerAnswer answer = pair.first->serve(request("/query/1"), neverGone);
            CPPUNIT_ASSERT_EQUAL(200U, answer.status);
            CPPUNIT_ASSERT_EQUAL(kShards, world.runs);
            // The greatest records of all shards, which both entries hold parts of.
            CPPUNIT_ASSERT_EQUAL(std::string("shard9"), answer.body.substr(0, 6));
            CPPUNIT_ASSERT_EQUAL(std::string("shard8"), answer.body.substr(kRecordBytes, 6));
        });
    }

    void query_otherEntryGone_isAnsweredByThisOne()
    {
        onFibers([](World &world) {
            addUpstreams(world, kShards);
            Pair pair = startPair(world, false, false);
            pair.second.reset();
            const CallerAnswer answer = pair.first->serve(request("/query/1"), neverGone);
            CPPUNIT_ASSERT_EQUAL(200U, answer.status);
            CPPUNIT_ASSERT_EQUAL(kShards, world.runs);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DelegationFailureTest);
