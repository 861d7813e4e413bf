#include "fakes/EntryWorld.h"
#include "hickoryspur/process/MessageCodec.h"

using namespace hickoryspur;
using namespace hickoryspur::entryworld;

namespace {

/** What an earlier release reports of a group. */
struct OldReport
{
    std::vector<std::string> signatures;
    std::string records;
    bool ended = true;
    bool mayHaveRun = true;
    std::vector<UpstreamLoss> losses;
    MSGPACK_DEFINE(signatures, records, ended, mayHaveRun, losses)
};

} // namespace

/**
 * Guards the count of customers' requests: one that several upstreams or entries work on counts once, one that none
 * runs does not count, and one whose connection is lost does.
 */
class RequestUsageFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestUsageFailureTest);
    CPPUNIT_TEST(query_36ShardsAndHedges_countsOnce);
    CPPUNIT_TEST(request_refusedByAllUpstreams_doesNotCount);
    CPPUNIT_TEST(request_nothingWritten_doesNotCount);
    CPPUNIT_TEST(request_connectionLost_counts);
    CPPUNIT_TEST(request_noAnswerInTime_countsWhenItWasWritten);
    CPPUNIT_TEST(request_handedOver_countsWhereItWasAccepted);
    CPPUNIT_TEST(request_handedOverAndRefused_doesNotCount);
    CPPUNIT_TEST(query_divided_countsWhereItWasAccepted);
    CPPUNIT_TEST(usage_firstIsRefused_countsForTheSecond);
    CPPUNIT_TEST(usage_reportedByAnotherEntry_isNotedOnce);
    CPPUNIT_TEST_SUITE_END();

    using Counted = std::vector<TimePoint>;

    static ForwardedRequest customersRequest(const std::string &path)
    {
        ForwardedRequest result = request(path);
        result.customer = CustomerName("kami770");
        return result;
    }

    static void countInto(EntryTraffic &entry, Counted &counted)
    {
        entry.setUsageCounted([&counted](const CustomerName &customer, TimePoint at) {
            CPPUNIT_ASSERT_EQUAL(std::string("kami770"), customer.value());
            counted.push_back(at);
        });
    }

    /** Serves one request at an entry with the upstreams of the world, and returns for which times it counted. */
    static Counted serve(const std::function<void(World &)> &setUp, const ForwardedRequest &request)
    {
        Counted counted;
        onFibers([&](World &world) {
            setUp(world);
            const std::unique_ptr<EntryTraffic> entry = world.startEntry("127.0.0.1", "a");
            announce(world, *entry, false);
            RouteTable routes = table(world);
            // One shard for the replicas of a service.
            std::vector<ServiceName> &shards = routes.routes.front().shards;
            shards.erase(std::unique(shards.begin(), shards.end()), shards.end());
            entry->setRoutes(std::move(routes));
            countInto(*entry, counted);
            entry->serve(request, neverGone);
            // Attempts that still run may end after the answer.
            tickFor({entry.get()}, 300ms);
        });
        return counted;
    }

    static CallerResponse refuse(const CallerRequest &request) { return platform::makeNotRun(request, false); }

    /** Serves a request at the first of two entries; returns the counts of both. */
    static std::pair<Counted, Counted> servePair(size_t upstreams, bool firstCutOff, const std::string &path,
                                                 const CallerHandler &handler = {})
    {
        std::pair<Counted, Counted> counted;
        onFibers([&](World &world) {
            for (size_t i = 0; i < upstreams; ++i)
                if (handler)
                    world.addUpstream("shard" + std::to_string(i), i % 2 == 0 ? "a" : "b", handler);
                else
                    world.addUpstream("shard" + std::to_string(i), i % 2 == 0 ? "a" : "b");
            const std::vector<EntryLocation> locations = {{"127.0.0.1:80", DataCentreName("a")},
                                                          {"127.0.0.2:80", DataCentreName("b")}};
            const auto first = world.startEntry("127.0.0.1", "a");
            const auto second = world.startEntry("127.0.0.2", "b");
            announce(world, *first, firstCutOff);
            announce(world, *second, false);
            for (EntryTraffic *entry : {first.get(), second.get()}) {
                entry->setRoutes(table(world));
                entry->setDeploymentSize(2);
                entry->setEntries(monotonicNow(), locations[entry == first.get() ? 0 : 1].address, locations);
            }
            if (firstCutOff)
                awaitCutOff(*first);
            countInto(*first, counted.first);
            countInto(*second, counted.second);
            world.runs = 0;
            first->serve(customersRequest(path), neverGone);
            CPPUNIT_ASSERT(world.runs > 0);
        });
        return counted;
    }

public:
    void query_36ShardsAndHedges_countsOnce()
    {
        size_t runs = 0;
        const Counted counted = serve(
            [&runs](World &world) {
                for (size_t i = 0; i < 36; ++i)
                    for (int replica = 0; replica < 2; ++replica)
                        world.addUpstream("shard" + std::to_string(i), "a", [&runs](const CallerRequest &request) {
                            // The first attempts at some shards are overdue.
                            if (++runs % 9 == 0)
                                boost::this_fiber::sleep_for(200ms);
                            return platform::makeAnswer(request, "sig", std::string(kRecordBytes, 'r'));
                        });
            },
            customersRequest("/query/1"));
        CPPUNIT_ASSERT(runs > 36);
        CPPUNIT_ASSERT_EQUAL(size_t(1), counted.size());
    }

    void request_refusedByAllUpstreams_doesNotCount()
    {
        size_t runs = 0;
        const auto addTwo = [&runs](World &world) {
            for (int replica = 0; replica < 2; ++replica)
                world.addUpstream("labels", "a", [&runs](const CallerRequest &request) {
                    ++runs;
                    return refuse(request);
                });
        };
        CPPUNIT_ASSERT(serve(addTwo, customersRequest("/label/1")).empty());
        CPPUNIT_ASSERT_EQUAL(size_t(2), runs);
    }

    void request_nothingWritten_doesNotCount()
    {
        const auto addGone = [](World &world) {
            world.addUpstream("labels", "a");
            world.servers.clear();
        };
        CPPUNIT_ASSERT(serve(addGone, customersRequest("/label/1")).empty());
    }

    void request_connectionLost_counts()
    {
        using boost::asio::ip::tcp;
        const auto addLosing = [](World &world) {
            world.addUpstream("labels", "a");
            world.servers.clear();
            const auto listener = std::make_shared<tcp::acceptor>(
                *world.context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), world.upstreams.back().port));
            listener->async_accept([listener](boost::system::error_code, tcp::socket accepted) {
                const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
                socket->async_wait(tcp::socket::wait_read, [socket](boost::system::error_code) { socket->close(); });
            });
        };
        CPPUNIT_ASSERT_EQUAL(size_t(1), serve(addLosing, customersRequest("/notice/1")).size());
    }

    void request_noAnswerInTime_countsWhenItWasWritten()
    {
        ForwardedRequest request = customersRequest("/notice/1");
        request.timeout = 1s;
        const TimePoint before = monotonicNow();
        const Counted counted = serve(
            [](World &world) {
                world.addUpstream("labels", "a", [](const CallerRequest &late) {
                    boost::this_fiber::sleep_for(1200ms);
                    return platform::makeAnswer(late, "sig", "late");
                });
            },
            request);
        CPPUNIT_ASSERT_EQUAL(size_t(1), counted.size());
        CPPUNIT_ASSERT(counted.front() - before < 900ms);
    }

    void request_handedOver_countsWhereItWasAccepted()
    {
        const auto [first, second] = servePair(6, true, "/label/1");
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.size());
        CPPUNIT_ASSERT(second.empty());
    }

    void request_handedOverAndRefused_doesNotCount()
    {
        const auto [first, second] = servePair(6, true, "/label/1", refuse);
        CPPUNIT_ASSERT(first.empty());
        CPPUNIT_ASSERT(second.empty());
    }

    void query_divided_countsWhereItWasAccepted()
    {
        const auto [first, second] = servePair(ShardGroups::kMinShards, false, "/query/1");
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.size());
        CPPUNIT_ASSERT(second.empty());
    }

    void usage_firstIsRefused_countsForTheSecond()
    {
        const TimePoint start(1000s);
        Counted counted;
        RequestUsage usage([&counted](TimePoint at) { counted.push_back(at); });
        const RequestUsage::RunId refused = usage.begin(start);
        const RequestUsage::RunId running = usage.begin(start + 1s);
        const RequestUsage::RunId answered = usage.begin(start + 2s);
        usage.endNotRun(refused);
        usage.endRun(answered);
        usage.endRun(running);
        usage.endRun(usage.begin(start));
        usage.endRequest();
        CPPUNIT_ASSERT(counted == Counted{start + 1s});
    }

    void usage_reportedByAnotherEntry_isNotedOnce()
    {
        const TimePoint start(1000s);
        const TimePoint later = start + 1s;
        const auto begunAt = [&](const GroupReport &report) {
            RequestUsage usage;
            noteReportedUsage(later, usage.begin(start), report, usage);
            return usage.begunAt();
        };
        GroupReport report;
        report.ended = report.mayHaveRun = true;
        report.begunMicrosAgo = GroupReport::kNotBegun;
        CPPUNIT_ASSERT(!begunAt(report));
        report.begunMicrosAgo = 300'000;
        CPPUNIT_ASSERT(begunAt(report) == start + 700ms);
        // An entry cannot have begun before it was asked.
        report.begunMicrosAgo = 3'000'000;
        CPPUNIT_ASSERT(begunAt(*unpack<GroupReport>(pack(report))) == start);
        CPPUNIT_ASSERT(begunAt(*unpack<GroupReport>(pack(OldReport()))) == start);
        CPPUNIT_ASSERT(unpack<OldReport>(pack(report)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestUsageFailureTest);
