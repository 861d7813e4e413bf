#include "fakes/EntryWorld.h"
#include "fakes/VirtualTime.h"
#include "hickoryspur/connection/SharedLoad.h"
#include "hickoryspur/process/LoadTotals.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/process/SessionMessage.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>

using namespace hickoryspur;

namespace {

const UpstreamId kUpstream("u");
constexpr uint32_t kSlots = 6;
constexpr Duration kUsual = 20ms;
constexpr int kNormalPriority = 1;

/** Entries that use one upstream with a queue, and a leader, with the intervals of EntryHost and ControlHost. */
class SharedWorld
{
public:
    /** Each entry sends its next request about this long after its last one has ended; the last entry sends none. */
    SharedWorld(size_t entries, bool sharesLoad, Duration gap, uint64_t seed)
        : m_gap(gap)
        , m_random(seed)
    {
        for (size_t i = 0; i < entries; ++i) {
            m_entries.push_back(
                {SharedLoad(sharesLoad, seed + i), NodeId(std::to_string(i)), time.now() + 1ms * (i * 37 % 150)});
            time.after(1ms * (i * 7 % 50), [this, i] { tick(i); });
            if (i + 1 < entries)
                time.after(1ms * (i * 13 % 200), [this, i] { tryStart(i); });
        }
        time.after(0ms, [this] { refresh(); });
    }

    SharedLoad &idleEntry() { return m_entries.back().load; }

    VirtualTime time;
    bool isPaused = false;
    size_t atUpstream = 0;
    Duration idleTime{};
    Duration longestIdle{};

    /** From now on everything takes so many times as long, also the rest of what runs. */
    void slowDown(double factor)
    {
        m_slowdown = factor;
        m_slowSince = time.now();
    }

    void resume()
    {
        isPaused = false;
        std::vector<std::function<void()>> held = std::move(m_held);
        for (const auto &event : held)
            event();
    }

private:
    struct Entry
    {
        SharedLoad load;
        NodeId id;
        TimePoint nextStatus;
    };

    void tick(size_t i)
    {
        Entry &entry = m_entries[i];
        if (time.now() >= entry.nextStatus || entry.load.isReportUrgent(time.now())) {
            if (time.now() >= entry.nextStatus)
                entry.nextStatus = time.now() + 150ms;
            time.after(1ms, [this, &entry, rows = entry.load.takeRows(time.now(), [](auto &) { return kSlots; })] {
                m_totals.record(time.now(), &entry, entry.id, rows);
                if (m_totals.isReportUrgent(time.now()))
                    sendReport();
            });
        }
        time.after(50ms, [this, i] { tick(i); });
    }

    void sendReport()
    {
        if (const std::optional<SharedLoadReport> report = m_totals.report(time.now(), 1))
            time.after(1ms, [this, report] {
                for (Entry &entry : m_entries)
                    entry.load.apply(time.now(), *report);
            });
    }

    void refresh()
    {
        sendReport();
        time.after(200ms, [this] { refresh(); });
    }

    void tryStart(size_t i)
    {
        SharedLoad &load = m_entries[i].load;
        if (!load.hasRoom(time.now(), kUpstream, kSlots, kNormalPriority)) {
            time.after(10ms, [this, i] { tryStart(i); });
            return;
        }
        load.recordChosen(time.now(), kUpstream, kNormalPriority);
        load.recordWritten(kUpstream);
        if (atUpstream++ == 0)
            longestIdle = std::max(longestIdle, time.now() - m_idleSince);
        m_queue.push_back({i, time.now()});
        serveNext();
    }

    void serveNext()
    {
        if (m_queue.empty() || m_busy == kSlots)
            return;
        ++m_busy;
        const auto [i, at] = m_queue.front();
        m_queue.pop_front();
        const double factor = m_slowdown * std::uniform_real_distribution<double>(0.7, 1.3)(m_random);
        time.after(Duration(static_cast<int64_t>(kUsual.count() * factor)),
                   [this, i = i, at = at, began = time.now()] { endOrSlowDown(i, at, began); });
    }

    void endOrSlowDown(size_t i, TimePoint at, TimePoint began)
    {
        if (began >= m_slowSince)
            return end(i, at);
        const auto rest = static_cast<double>((time.now() - m_slowSince).count());
        time.after(Duration(static_cast<int64_t>(rest * (m_slowdown - 1))), [this, i, at] { end(i, at); });
    }

    void end(size_t i, TimePoint at)
    {
        if (isPaused) {
            m_held.push_back([this, i, at] { end(i, at); });
            return;
        }
        const Duration took = time.now() - at;
        const double ratio = static_cast<double>(took.count()) / static_cast<double>(kUsual.count());
        m_entries[i].load.recordEnd(time.now(), kUpstream, {true, false, false, took, ratio});
        --m_busy;
        if (--atUpstream == 0)
            m_idleSince = time.now();
        const double part = std::uniform_real_distribution<double>(0.2, 1.8)(m_random);
        time.after(Duration(static_cast<int64_t>(m_gap.count() * part)), [this, i] { tryStart(i); });
        serveNext();
    }

    Duration m_gap;
    std::mt19937_64 m_random;
    std::deque<Entry> m_entries;
    LoadTotals m_totals;
    std::deque<std::pair<size_t, TimePoint>> m_queue;
    size_t m_busy = 0;
    double m_slowdown = 1;
    TimePoint m_slowSince;
    TimePoint m_idleSince = time.now();
    std::vector<std::function<void()>> m_held;
};

LoadRow row(const std::string &id, uint32_t running)
{
    LoadRow result;
    result.upstream = UpstreamId(id);
    result.slots = kSlots;
    result.running = running;
    return result;
}

/** The message as a host packs it that knows `left` fields less. */
std::string packOlder(const std::string &bytes, size_t left)
{
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    std::vector<msgpack::object> fields;
    handle.get().convert(fields);
    fields.resize(fields.size() - left);
    return pack(fields);
}

} // namespace

/**
 * Guards against what entries that know only their own requests do to an upstream in overload: together they have far
 * more running there than it has slots, and each learns for itself, late, that it is slow.
 */
class SharedLoadFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedLoadFailureTest);
    CPPUNIT_TEST(entries_moreThanSlots_stayNearTheLimitTogether);
    CPPUNIT_TEST(replica_turnsSlow_isKnownToAnEntryThatNeverUsedIt);
    CPPUNIT_TEST(replica_pausesNowAndThen_isNotMarked);
    CPPUNIT_TEST(sum_entryGoneOrRestarted_isNotCounted);
    CPPUNIT_TEST(request_urgent_passesWhereOthersWait);
    CPPUNIT_TEST(rows_manyUpstreams_areBounded);
    CPPUNIT_TEST(reports_withoutLeaderOrOfAnEarlierOne_areNotUsed);
    CPPUNIT_TEST(messages_ofOtherRelease_areReadBothWays);
    CPPUNIT_TEST(request_noReplicaHasSharedRoom_isServed);
    CPPUNIT_TEST(replica_fasterThanUsual_costsLessWithoutNewsOfOthers);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start{1000s};

    /** The most named in a report. */
    static SharedLoadReport busy(uint32_t running, uint64_t term = 1, const UpstreamId &id = kUpstream)
    {
        return {term, {{id, running, 62, 600}}};
    }

public:
    void entries_moreThanSlots_stayNearTheLimitTogether()
    {
        for (uint64_t seed = 1; seed <= 5; ++seed) {
            SharedWorld world(63, true, 0ms, seed * 1000);
            world.time.runUntil(world.time.now() + 2s);
            world.longestIdle = Duration::zero();
            size_t sum = 0;
            size_t most = 0;
            for (int i = 0; i < 1000; ++i) {
                world.time.runUntil(world.time.now() + 5ms);
                sum += world.atUpstream;
                most = std::max(most, world.atUpstream);
            }
            CPPUNIT_ASSERT_GREATER(size_t(1000 * kSlots * 8 / 10), sum);
            CPPUNIT_ASSERT_LESS(size_t(1000 * kSlots * 2), sum);
            CPPUNIT_ASSERT_LESS(size_t(4 * kSlots), most);
            CPPUNIT_ASSERT(world.longestIdle <= 50ms);
        }
        SharedWorld before(63, false, 0ms, 1);
        before.time.runUntil(before.time.now() + 2s);
        CPPUNIT_ASSERT_EQUAL(size_t(62), before.atUpstream);
    }

    void replica_turnsSlow_isKnownToAnEntryThatNeverUsedIt()
    {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            SharedWorld world(21, true, 180ms, seed * 1000);
            world.time.runUntil(world.time.now() + 3s + 11ms * seed);
            CPPUNIT_ASSERT_EQUAL(1.0, world.idleEntry().latencyRatio(world.time.now(), kUpstream));
            world.slowDown(6);
            world.time.runUntil(world.time.now() + 300ms);
            CPPUNIT_ASSERT_GREATER(2.0, world.idleEntry().latencyRatio(world.time.now(), kUpstream));
        }
    }

    void replica_pausesNowAndThen_isNotMarked()
    {
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            SharedWorld world(21, true, 180ms, seed * 1000);
            for (int pause = 0; pause < 4; ++pause) {
                world.time.runUntil(world.time.now() + 2s + 17ms * seed);
                world.isPaused = true;
                world.time.runUntil(world.time.now() + 250ms);
                world.resume();
                for (int i = 0; i < 100; ++i) {
                    world.time.runUntil(world.time.now() + 10ms);
                    CPPUNIT_ASSERT_EQUAL(1.0, world.idleEntry().latencyRatio(world.time.now(), kUpstream));
                }
            }
        }
    }

    void sum_entryGoneOrRestarted_isNotCounted()
    {
        LoadTotals totals;
        int first = 0;
        int second = 0;
        totals.record(m_start, &first, NodeId("a"), {row("u", 20)});
        // The entry restarts, and its earlier session ends after that.
        totals.record(m_start, &second, NodeId("a"), {row("u", 5)});
        totals.removeSession(&first);
        totals.record(m_start, &first, NodeId("b"), {row("u", 7)});
        CPPUNIT_ASSERT_EQUAL(12U, totals.report(m_start, 1)->rows.at(0).running);
        totals.removeSession(&first);
        CPPUNIT_ASSERT_EQUAL(5U, totals.report(m_start, 1)->rows.at(0).running);
        CPPUNIT_ASSERT(totals.report(m_start + kLoadValidity, 1)->rows.empty());
        CPPUNIT_ASSERT(!totals.report(m_start + kLoadValidity, 1));
    }

    void request_urgent_passesWhereOthersWait()
    {
        SharedLoad load(true, 3);
        TimePoint now = m_start;
        for (; now < m_start + 1s; now += 100ms) {
            load.apply(now, busy(10));
            if (load.hasRoom(now + 99ms, kUpstream, kSlots, kNormalPriority))
                load.recordChosen(now + 99ms, kUpstream, kNormalPriority);
        }
        load.recordChosen(now, kUpstream, kNormalPriority);
        CPPUNIT_ASSERT(!load.hasRoom(now, kUpstream, kSlots, kNormalPriority));
        CPPUNIT_ASSERT(load.hasRoom(now, kUpstream, kSlots, 0));
    }

    void rows_manyUpstreams_areBounded()
    {
        SharedLoad load(true, 1);
        LoadTotals totals;
        for (int i = 0; i < 500; ++i) {
            const UpstreamId id(std::to_string(i));
            load.recordChosen(m_start, id, 0);
            load.recordEnd(m_start, id, {false, false, false, kUsual, 1});
        }
        const auto slots = [](const UpstreamId &) { return kSlots; };
        CPPUNIT_ASSERT_EQUAL(SharedLoad::kMaxLatencyRows, load.takeRows(m_start, slots).size());
        CPPUNIT_ASSERT(load.takeRows(m_start + 1s, slots).empty());
        for (int i = 0; i < 500; ++i)
            load.recordChosen(m_start, UpstreamId(std::to_string(i)), 0);
        load.recordChosen(m_start, UpstreamId("77"), 0);
        const std::vector<LoadRow> rows = load.takeRows(m_start, slots);
        CPPUNIT_ASSERT_EQUAL(kMaxLoadRows, rows.size());
        CPPUNIT_ASSERT_EQUAL(UpstreamId("77"), rows.front().upstream);
        for (int entry = 0; entry < 20; ++entry) {
            std::vector<LoadRow> all;
            all.reserve(100);
            for (int i = 0; i < 100; ++i)
                all.push_back(row(std::to_string(100 * entry + i), 30));
            totals.record(m_start, nullptr, NodeId(std::to_string(entry)), all);
        }
        CPPUNIT_ASSERT_EQUAL(kMaxSharedLoadRows, totals.report(m_start, 1)->rows.size());
        LoadTotals normal;
        normal.record(m_start, nullptr, NodeId("a"), {row("u", 1), row("v", 1)});
        CPPUNIT_ASSERT(!normal.report(m_start, 1));
    }

    void reports_withoutLeaderOrOfAnEarlierOne_areNotUsed()
    {
        SharedLoad load(true, 3);
        load.apply(m_start, busy(62, 2));
        CPPUNIT_ASSERT(!load.hasRoom(m_start, kUpstream, kSlots, kNormalPriority));
        CPPUNIT_ASSERT_EQUAL(6.0, load.latencyRatio(m_start, kUpstream));
        // An earlier leader that does not know of the newer one yet.
        load.apply(m_start + 500ms, {1, {}});
        CPPUNIT_ASSERT_EQUAL(size_t(1), load.sharedUpstreams(m_start + 500ms));
        CPPUNIT_ASSERT(load.hasRoom(m_start + 1s, kUpstream, kSlots, kNormalPriority));
        CPPUNIT_ASSERT_EQUAL(1.0, load.latencyRatio(m_start + 1s, kUpstream));
        load.apply(m_start + 1s, busy(62, 1));
        CPPUNIT_ASSERT_EQUAL(size_t(1), load.sharedUpstreams(m_start + 1s));
    }

    void messages_ofOtherRelease_areReadBothWays()
    {
        EntryStatus status;
        status.cutOff = true;
        status.load = {row("u", 3)};
        EntryUpdate update;
        update.entryDataCentres = {DataCentreName("dc")};
        update.clockMillis = 7;
        update.load = {busy(3)};
        CPPUNIT_ASSERT_EQUAL(3U, unpack<EntryStatus>(pack(status))->load.at(0).running);
        CPPUNIT_ASSERT_EQUAL(3U, unpack<EntryUpdate>(pack(update))->load.at(0).rows.at(0).running);
        const auto olderStatus = unpack<EntryStatus>(packOlder(pack(status), 1));
        CPPUNIT_ASSERT(olderStatus && olderStatus->cutOff && olderStatus->load.empty());
        const auto olderUpdate = unpack<EntryUpdate>(packOlder(pack(update), 2));
        CPPUNIT_ASSERT(olderUpdate && olderUpdate->entryDataCentres.size() == 1 && olderUpdate->load.empty());
        CPPUNIT_ASSERT_EQUAL(int64_t(0), olderUpdate->clockMillis);
    }

    // Guards against a lack of news from other entries that counts as the news that all replicas are alike.
    void replica_fasterThanUsual_costsLessWithoutNewsOfOthers()
    {
        ReplicaTracker tracker{1};
        ReplicaTracker::Candidate fast;
        fast.id = UpstreamId("fast");
        ReplicaTracker::Candidate usual;
        usual.id = UpstreamId("usual");
        for (const auto &[candidate, ratio] : {std::pair(fast, 0.5), std::pair(usual, 1.0)}) {
            tracker.recordSent(candidate.id);
            tracker.recordEnd(m_start, candidate.id, AttemptOutcome::Answered, ratio, false);
        }
        CPPUNIT_ASSERT(tracker.cost(m_start, fast) < tracker.cost(m_start, usual));
        fast.sharedLatencyRatio = 6;
        CPPUNIT_ASSERT(tracker.cost(m_start, fast) > tracker.cost(m_start, usual));
    }

    void request_noReplicaHasSharedRoom_isServed()
    {
        entryworld::onFibers([](entryworld::World &world) {
            size_t near = 0;
            size_t far = 0;
            const auto counted = [](size_t &count) {
                return [&count](const CallerRequest &request) {
                    ++count;
                    return platform::makeAnswer(request, "sig", "label");
                };
            };
            world.addUpstream("labels", "a", counted(near));
            world.addUpstream("labels", "b", counted(far));
            TrafficConfig config;
            config.dataCentre = DataCentreName("a");
            config.admission = AdmissionMode::Cost;
            EntryTraffic entry(*world.context, config, platform::makePlatformCodec().traffic);
            RouteTable routes = entryworld::table(world);
            routes.routes.back().priority = kNormalPriority;
            entry.setRoutes(std::move(routes));
            entryworld::announce(world, entry, false);
            const auto ask = [&entry] {
                CallerAnswer answer;
                boost::fibers::fiber([&] {
                    answer = entry.serve(entryworld::request("/label/1"), entryworld::neverGone);
                }).join();
                CPPUNIT_ASSERT_EQUAL(200U, static_cast<unsigned>(answer.status));
            };
            ask();
            CPPUNIT_ASSERT_EQUAL(size_t(1), near);
            CPPUNIT_ASSERT_EQUAL(size_t(1), entry.takeLoadRows(monotonicNow()).size());
            const UpstreamId nearId = world.upstreams.front().id;
            entry.sharedLoad().apply(monotonicNow(), {1, {{nearId, 62, 62, 0}}});
            ask();
            CPPUNIT_ASSERT_EQUAL(size_t(1), far);
            CPPUNIT_ASSERT(!entry.hasSharedRoom(monotonicNow(), nearId, kNormalPriority));
            entry.sharedLoad().apply(monotonicNow(),
                                     {1, {{nearId, 62, 62, 0}, {world.upstreams.back().id, 62, 62, 0}}});
            ask();
            CPPUNIT_ASSERT_EQUAL(size_t(3), near + far);
            // Slow for others: the one in the other data centre costs less now.
            entry.sharedLoad().apply(monotonicNow(), {1, {}});
            entry.sharedLoad().apply(monotonicNow(), {1, {{nearId, 0, 1, 600}}});
            CPPUNIT_ASSERT(entry.hasSharedRoom(monotonicNow(), nearId, kNormalPriority));
            far = 0;
            ask();
            CPPUNIT_ASSERT_EQUAL(size_t(1), far);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedLoadFailureTest);
