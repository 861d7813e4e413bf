// Measures the slopes that docs/CAPACITY.md uses: bytes and processor time of control by number of
// entries, upstreams and changes, size of the state, cost of a sub-request in FanOut, and recovery
// time by length of the log. Each series is fitted by least squares and printed with its largest
// relative residual.
#include "fakes/Commands.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/request/FanOut.h"

#include <glog/logging.h>

#include <cmath>
#include <cstdio>
#include <ctime>
#include <filesystem>

namespace {

using namespace hickoryspur;

constexpr Duration kMeasurementDuration = 20s;

struct Point
{
    double x = 0;
    double y = 0;
};

double processorMicros()
{
    return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void printFit(const char *name, const char *unit, const std::vector<Point> &points)
{
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    const auto n = static_cast<double>(points.size());
    for (const Point &point : points) {
        sx += point.x;
        sy += point.y;
        sxx += point.x * point.x;
        sxy += point.x * point.y;
    }
    const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const double intercept = (sy - slope * sx) / n;
    double residual = 0;
    for (const Point &point : points)
        residual =
            std::max(residual, std::abs(point.y - intercept - slope * point.x) / std::max(1e-9, std::abs(point.y)));
    std::printf("| %s |", name);
    for (const Point &point : points)
        std::printf(" %.0f: %.3g%s", point.x, point.y, &point == &points.back() ? "" : ",");
    std::printf(" | %.4g + %.4g x %s | %.0f%% |\n", intercept, slope, unit, 100 * residual);
}

Announcement makeAnnouncement(size_t number, uint64_t sequence)
{
    Announcement announcement;
    announcement.id = UpstreamId("service-" + std::to_string(number / 12) + "-upstream-" + std::to_string(number));
    announcement.service = ServiceName("service-" + std::to_string(number / 12));
    announcement.version = VersionName("1");
    announcement.incarnation = 1;
    announcement.sequence = sequence;
    announcement.generation = MapGeneration(1);
    announcement.shardCount = 24;
    announcement.shards = {1, 2, 3, 4};
    announcement.snapshots = {1, 2};
    announcement.address = "10.0.0.1";
    announcement.port = static_cast<uint16_t>(1000 + number);
    announcement.dataCentre = DataCentreName("dc0");
    announcement.slots = 2;
    announcement.connectionLimit = 25;
    return announcement;
}

struct GroupCost
{
    double leaseBytes = 0;
    double directoryBytes = 0;
    double logBytes = 0;
    double processor = 0;
};

/**
 * Runs a group for kMeasurementDuration. Returns lease and directory bytes a second per entry, log bytes a second in
 * total, and processor microseconds a second per entry.
 */
GroupCost runGroup(size_t control, size_t entries, size_t upstreams, uint64_t changesPerSecond)
{
    ControlGroup group(control, entries, {}, 1);
    group.runUntil(10s, [&] { return group.leader().has_value(); });
    group.run(3s);
    uint64_t sequence = 0;
    const auto announceAll = [&] {
        ++sequence;
        for (size_t i = 0; i < upstreams; ++i)
            group.announce(i % entries, makeAnnouncement(i, sequence));
    };
    announceAll();
    group.run(2s);
    const auto before = group.sentBytes();
    const double processorBefore = processorMicros();
    uint64_t number = 0;
    const auto seconds = static_cast<double>(kMeasurementDuration / 1s);
    for (int64_t second = 0; second < kMeasurementDuration / 1s; ++second) {
        announceAll();
        for (uint64_t change = 0; change < changesPerSecond; ++change) {
            ++number;
            group.submit(1 % entries, claimKey("key-" + std::to_string(number), "digest", "n0", number),
                         CommandWait::Committed);
        }
        group.run(1s);
    }
    GroupCost result;
    result.processor = (processorMicros() - processorBefore) / seconds / static_cast<double>(entries);
    auto after = group.sentBytes();
    for (const auto &[type, bytes] : before)
        after[type] -= bytes;
    const double each = seconds * static_cast<double>(entries);
    result.leaseBytes =
        static_cast<double>(after[PeerMessageType::LeaseRequest] + after[PeerMessageType::LeaseGrant]) / each;
    result.directoryBytes = static_cast<double>(after[PeerMessageType::Directory]) / each;
    result.logBytes = static_cast<double>(after[PeerMessageType::Log]) / seconds;
    return result;
}

void measureEntries()
{
    std::vector<Point> lease;
    std::vector<Point> processor;
    for (const size_t entries : {3, 7, 14, 28, 56}) {
        const GroupCost cost = runGroup(3, entries, 0, 0);
        lease.push_back({static_cast<double>(entries), cost.leaseBytes});
        processor.push_back({static_cast<double>(entries), cost.processor * static_cast<double>(entries)});
    }
    printFit("lease bytes a second of one entry, by entries", "B/s", lease);
    printFit("control processor time of all nodes together, by entries", "us/s", processor);
}

void measureUpstreams()
{
    std::vector<Point> bytes;
    std::vector<Point> processor;
    for (const size_t upstreams : {100, 200, 400, 800, 1600}) {
        const GroupCost cost = runGroup(3, 7, upstreams, 0);
        bytes.push_back({static_cast<double>(upstreams), cost.directoryBytes});
        processor.push_back({static_cast<double>(upstreams), cost.processor});
    }
    printFit("directory bytes a second sent by one of 7 entries, by upstreams", "B/s", bytes);
    printFit("control processor time of one of 7 entries, by upstreams", "us/s", processor);
}

void measureChanges(size_t control)
{
    std::vector<Point> log;
    std::vector<Point> lease;
    std::vector<Point> processor;
    for (const uint64_t changes : {5, 20, 50, 100}) {
        const GroupCost cost = runGroup(control, 7, 0, changes);
        log.push_back({static_cast<double>(changes), cost.logBytes});
        lease.push_back({static_cast<double>(changes), cost.leaseBytes});
        processor.push_back({static_cast<double>(changes), cost.processor});
    }
    const std::string suffix = " with " + std::to_string(control) + " control hosts, by changes a second";
    printFit(("log bytes a second" + suffix).c_str(), "B/s", log);
    printFit(("lease bytes a second of one entry" + suffix).c_str(), "B/s", lease);
    printFit(("control processor time of one node" + suffix).c_str(), "us/s", processor);
}

void measureState()
{
    std::vector<Point> claims;
    for (const uint64_t count : {1000, 4000, 16000, 64000}) {
        ControlState state;
        for (uint64_t i = 1; i <= count; ++i)
            state.apply(LogIndex(i), claimKey("tracker/key-" + std::to_string(i), std::string(64, 'd'), "host-1", i));
        claims.push_back({static_cast<double>(count), static_cast<double>(state.serialize().size())});
    }
    printFit("bytes of state, by claims", "B", claims);
    std::vector<Point> records;
    for (const size_t count : {100, 400, 1600, 6400}) {
        DirectoryUpdate update;
        for (size_t i = 0; i < count; ++i)
            update.records.push_back(makeAnnouncement(i, 1));
        records.push_back({static_cast<double>(count), static_cast<double>(pack(update).size())});
    }
    printFit("bytes of packed upstream records, by upstreams", "B", records);
}

double fanOutMicros(uint32_t shards)
{
    QueryPlan plan;
    plan.generation = MapGeneration(1);
    plan.snapshot = SnapshotId(1);
    plan.shardCount = shards;
    for (uint32_t shard = 0; shard < shards; ++shard)
        plan.candidates.push_back({3 * shard, 3 * shard + 1, 3 * shard + 2});
    uint64_t id = 0;
    FanOutHooks hooks;
    hooks.nextId = [&id] { return SubRequestId(++id); };
    hooks.hedgeDelay = [](uint32_t) { return Duration(10ms); };
    hooks.tryConsumeBudget = [](TimePoint) { return false; };
    hooks.cost = [](uint32_t upstream) { return static_cast<double>(upstream % 7); };
    hooks.replan = [](TimePoint, SnapshotId) { return std::optional<QueryPlan>(); };
    constexpr int kRounds = 200;
    const double before = processorMicros();
    for (int round = 0; round < kRounds; ++round) {
        FanOutConfig config;
        config.plan = plan;
        config.deadline = TimePoint(1s);
        FanOut query(std::move(config), hooks);
        for (const FanOutSend &send : query.start(TimePoint()).sends) {
            SubReply reply;
            reply.id = send.id;
            reply.shard = send.shard;
            reply.generation = send.generation;
            reply.snapshot = send.snapshot;
            reply.body = "{}";
            query.reply(TimePoint(1ms), reply);
        }
    }
    return (processorMicros() - before) / kRounds;
}

void measureFanOut()
{
    std::vector<Point> points;
    for (const uint32_t shards : {48, 120, 240, 470, 940})
        points.push_back({static_cast<double>(shards), fanOutMicros(shards)});
    printFit("processor time of one query in FanOut, by shards", "us", points);
}

void measureRecovery()
{
    const std::string folder = (std::filesystem::temp_directory_path() / "hickoryspur-recovery").string();
    std::vector<Point> points;
    for (const uint64_t count : {1000, 4000, 16000, 64000}) {
        std::filesystem::remove_all(folder);
        static_cast<void>(FileLogStorage::format(folder, NodeId("a"), {NodeId("a")}));
        {
            RecoveredStorage recovered;
            auto storage = FileLogStorage::open(folder, NodeId("a"), 1, recovered);
            std::vector<LogEntry> entries;
            for (uint64_t i = 1; i <= count; ++i)
                entries.push_back({LogIndex(i), Term(1), 0, pack(claimKey("key-" + std::to_string(i), "d", "n0", i))});
            static_cast<void>((*storage)->append(entries));
            static_cast<void>((*storage)->sync());
        }
        const double before = processorMicros();
        RecoveredStorage recovered;
        static_cast<void>(FileLogStorage::open(folder, NodeId("a"), 1, recovered));
        points.push_back({static_cast<double>(count), (processorMicros() - before) / 1000});
    }
    std::filesystem::remove_all(folder);
    printFit("time to read the log at start, by entries", "ms", points);
}

} // namespace

int main()
{
    FLAGS_minloglevel = google::GLOG_ERROR;

    std::printf("| What | Points | Fit | Largest residual |\n| --- | --- | --- | --- |\n");
    measureFanOut();
    measureState();
    measureRecovery();
    measureEntries();
    measureUpstreams();
    measureChanges(3);
    measureChanges(5);
}
