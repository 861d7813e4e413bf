// Measures the processor time of a sub-request on an entry: a bare Beast loop against a stand-in
// upstream, then the whole query path (plan, fan-out, router, home, upstream queue, channel) of one
// traffic thread against the same stand-in with the same protocol. The stand-in runs on its own
// thread and is not counted.
#include "connection/AsioScheduler.h"
#include "connection/HomeDispatcher.h"
#include "connection/HttpUpstreamChannel.h"
#include "request/HttpCallerClient.h"
#include "request/QueryService.h"

#include <glog/logging.h>

#include <cstdio>
#include <ctime>
#include <thread>

namespace {

using namespace hickoryspur;

constexpr uint16_t kPort = 19800;
constexpr uint32_t kUpstreams = 16;
constexpr uint32_t kSlots = 8;
constexpr size_t kLoopConnections = 32;
constexpr Duration kMeasureDuration = 4s;

double threadMicros()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

CallerResponse standIn(const CallerRequest &request)
{
    CallerResponse response;
    for (const char *name : {"request-id", "shard", "map-generation", "snapshot"})
        response.headers[std::string("Hickoryspur-") + name] = request.header(std::string("hickoryspur-") + name);
    response.headers["Hickoryspur-Outcome"] = "ok";
    response.body = R"({"bell":7,"at":"20:14"})";
    return response;
}

void runStandIn()
{
    const auto context = std::make_shared<boost::asio::io_context>(1);
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(context);
    const auto server = HttpCallerServer::listen(*context, {"127.0.0.1", kPort}, ServerLimits(), standIn);
    while (true)
        boost::this_fiber::sleep_for(std::chrono::seconds(1));
}

void printRow(const char *name, uint64_t count, double micros, double &baseline)
{
    const double each = micros / static_cast<double>(count);
    baseline = baseline > 0 ? baseline : each;
    std::printf("| %s | %.1f | %.0f | %.2f |\n", name, each, 1e6 / each, each / baseline);
    std::fflush(stdout);
}

uint64_t measureBareLoop(boost::asio::io_context &context)
{
    uint64_t count = 0;
    const TimePoint end = monotonicNow() + kMeasureDuration;
    std::vector<boost::fibers::fiber> fibers;
    fibers.reserve(kLoopConnections);
    for (size_t i = 0; i < kLoopConnections; ++i) {
        fibers.emplace_back([&] {
            HttpCallerClient client(context, {"127.0.0.1", kPort});
            CallerRequest request;
            request.method = "POST";
            request.path = "/v1/sub-request";
            request.body = R"({"since":"dusk"})";
            request.headers = {{"Hickoryspur-Request-Id", "1-1"},
                               {"Hickoryspur-Shard", "1"},
                               {"Hickoryspur-Snapshot", "1"},
                               {"Hickoryspur-Map-Generation", "1"},
                               {"Hickoryspur-Deadline-Ms", "340"}};
            while (monotonicNow() < end)
                if (client.exchange(request, std::chrono::seconds(1)))
                    ++count;
        });
    }
    for (boost::fibers::fiber &fiber : fibers)
        fiber.join();
    return count;
}

ViewPointer makeView(uint32_t shards)
{
    auto view = std::make_shared<View>();
    EnvironmentView &content = view->environments[Environment::Production];
    content.document =
        *parseDocument("callers:\n  - {name: c}\nservices:\n  - {name: s, callers: [c], deadline: 2s}\n", "document");
    ServiceView &service = content.services[ServiceName("s")];
    service.maps = {{MapGeneration(1), shards}};
    service.newestSnapshot = SnapshotId(1);
    for (uint32_t i = 0; i < kUpstreams; ++i) {
        UpstreamView upstream;
        Announcement &announcement = upstream.announcement;
        announcement.id = UpstreamId("u" + std::to_string(i));
        announcement.service = ServiceName("s");
        announcement.generation = MapGeneration(1);
        announcement.shardCount = shards;
        for (uint32_t shard = 0; shard < shards; ++shard)
            if (shard % kUpstreams == i || (shard + 1) % kUpstreams == i)
                announcement.shards.push_back(shard);
        announcement.snapshots = {1};
        announcement.address = "127.0.0.1";
        announcement.port = kPort;
        announcement.slots = kSlots;
        announcement.connectionLimit = 25;
        upstream.home = NodeId("n");
        service.upstreams.push_back(std::move(upstream));
    }
    return view;
}

/** The components of a traffic thread, connected directly to each other and driven by the caller's fibers. */
class LoopbackEntry
{
public:
    LoopbackEntry(boost::asio::io_context &context, uint32_t shards)
        : m_router(
            NodeId("n"), 0, [this](const NodeId &, ForwardBatch batch) { forward(std::move(batch)); },
            [this, &context] { boost::asio::post(context, [this] { m_router.flush(); }); })
        , m_homeDispatcher(NodeId("n"), 1, httpChannelFactory(context),
                           [this](const ReplyAddress &, SubReply reply) {
                               m_router.receive({0, {std::move(reply)}});
                           })
        , m_service(NodeId("n"), 1, m_router, hooks(), 1)
    {
        const ViewPointer view = makeView(shards);
        m_service.setView(view);
        m_homeDispatcher.setView(monotonicNow(), view);
    }

    uint64_t run(uint32_t concurrent)
    {
        uint64_t answered = 0;
        const TimePoint end = monotonicNow() + kMeasureDuration;
        std::vector<boost::fibers::fiber> fibers;
        fibers.reserve(concurrent + 1);
        fibers.emplace_back([&] {
            while (monotonicNow() < end + Duration(500ms)) {
                m_homeDispatcher.tick(monotonicNow());
                m_service.tick(monotonicNow());
                boost::this_fiber::sleep_for(std::chrono::milliseconds(2));
            }
        });
        for (uint32_t i = 0; i < concurrent; ++i) {
            fibers.emplace_back([&] {
                QueryRequest request;
                request.service = ServiceName("s");
                request.caller = CallerName("c");
                request.body = R"({"since":"dusk"})";
                while (monotonicNow() < end)
                    if (m_service.query(request).code == ResultCode::Ok)
                        ++answered;
            });
        }
        for (boost::fibers::fiber &fiber : fibers)
            fiber.join();
        return answered;
    }

private:
    QueryService::Hooks hooks()
    {
        QueryService::Hooks result;
        result.mayServe = [](TimePoint) { return true; };
        result.isAlive = [](const NodeId &) { return true; };
        result.commit = [](const Command &, Duration, const std::function<void(ApplyOutcome)> &) {};
        return result;
    }

    void forward(ForwardBatch batch)
    {
        const TimePoint now = monotonicNow();
        for (SubRequest &request : batch.requests)
            m_homeDispatcher.submit(now, {NodeId("n"), 0}, std::move(request));
        for (const SubRequestId id : batch.cancels)
            m_homeDispatcher.cancel(now, {NodeId("n"), 0}, id);
    }

    SubRequestRouter m_router;
    HomeDispatcher m_homeDispatcher;
    QueryService m_service;
};

} // namespace

int main()
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    std::thread(runStandIn).detach();
    const auto context = std::make_shared<boost::asio::io_context>(1);
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(context);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(200));
    std::printf("| Case | CPU time (us) per operation | Operations per second and core | Relative to the bare loop "
                "|\n| --- | --- | --- | --- |\n");
    double baseline = 0;
    double before = threadMicros();
    const uint64_t bare = measureBareLoop(*context);
    printRow("bare Beast loop, one exchange", bare, threadMicros() - before, baseline);
    for (const uint32_t shards : {48, 120, 240, 470}) {
        // Never deleted, since open connections of its channels refer to it until the process exits.
        auto *entry = new LoopbackEntry(*context, shards);
        before = threadMicros();
        const uint64_t answered = entry->run(shards < 240 ? 4 : 2);
        const std::string name = "query path, one sub-request of " + std::to_string(shards);
        printRow(name.c_str(), std::max<uint64_t>(1, answered * shards), threadMicros() - before, baseline);
    }
    std::fflush(stdout);
    std::_Exit(0);
}
