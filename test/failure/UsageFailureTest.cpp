#include "app/EntryUsage.h"
#include "app/UsageCollector.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/process/SessionMessage.h"
#include "hickoryspur/process/UpstreamCounts.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace hickoryspur;

namespace {

/** Messages as an earlier release sends and reads them. */
struct OldUpdate
{
    bool confirmed = true;
    uint64_t applied = 7;
    MSGPACK_DEFINE(confirmed, applied)
};
struct OldUpstreamCountReport
{
    std::map<DataCentreName, uint32_t> upstreams;
    MSGPACK_DEFINE(upstreams)
};

} // namespace

/**
 * Guards the usage reported for customers against what would make it wrong: clocks that step, entries that end,
 * messages that come twice, late or not at all, and control hosts of earlier releases.
 */
class UsageFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageFailureTest);
    CPPUNIT_TEST(clocks_minorityStepsAndBack_countsStayInTheirWindow);
    CPPUNIT_TEST(clocks_halfOfThemStep_timeStays);
    CPPUNIT_TEST(clocks_noneHeardAndOwnSteps_timeAdvancesSteadily);
    CPPUNIT_TEST(entry_killedAndStarted_addsToItsOldRows);
    CPPUNIT_TEST(rows_repeatedAndReordered_changeNothing);
    CPPUNIT_TEST(rows_ofManyEntriesAndWindows_areBounded);
    CPPUNIT_TEST(rows_ofClosedOrFutureWindows_areDropped);
    CPPUNIT_TEST(counter_manyCustomers_isBounded);
    CPPUNIT_TEST(entry_littleTraffic_sendsOnlyWhatChanged);
    CPPUNIT_TEST(entry_noCustomers_sendsNothing);
    CPPUNIT_TEST(entry_controlHostOfEarlierRelease_isSentNothing);
    CPPUNIT_TEST(session_new_getsTheLastRowsAgain);
    CPPUNIT_TEST(messages_ofEarlierAndThisRelease_areReadBothWays);
    CPPUNIT_TEST_SUITE_END();

    /** Begins a window. */
    static constexpr int64_t kStart = 1'767'225'600'000;
    static constexpr uint64_t kWindow = kStart / 5000;

    const NodeId m_hosts[5] = {NodeId("c1"), NodeId("c2"), NodeId("c3"), NodeId("c4"), NodeId("c5")};
    const CustomerName m_customer = CustomerName("kami770");
    TimePoint m_now = TimePoint(1000s);
    UsageCollector m_collector;
    size_t m_messages = 0;
    std::vector<UsageRow> m_lastRows;

    /** The time of day at m_now. */
    int64_t trueNow() const { return kStart + (m_now - TimePoint(1000s)) / 1ms; }

    EntryUsage makeEntry(uint64_t incarnation)
    {
        return {NodeId("entry"), Incarnation(incarnation), [this](const NodeId &host, const std::string &payload) {
                    ++m_messages;
                    m_lastRows = unpack<UsageReport>(payload)->rows;
                    // As on a control host; the others get the same.
                    if (host == m_hosts[0])
                        receive(payload);
                }};
    }

    void receive(const std::string &payload)
    {
        PeerMessage message;
        message.payload = payload;
        m_collector.receive(m_now, message);
    }

    /** All hosts name their clocks; the first `wrong` of them are wrong. */
    template <typename Clock> void hear(Clock &clock, size_t wrong = 0, Duration error = 0ms, size_t hosts = 5)
    {
        for (size_t i = 0; i < hosts; ++i)
            clock.recordClock(m_now, m_hosts[i], trueNow() + (i < wrong ? error / 1ms : 0));
    }

    uint64_t requests(uint64_t window) const
    {
        const std::map<CustomerName, uint64_t> counts = m_collector.counts(window);
        return counts.contains(m_customer) ? counts.at(m_customer) : 0;
    }

    static UsageReport report(const std::string &entry, std::vector<UsageRow> rows)
    {
        return {NodeId(entry), Incarnation(1), std::move(rows)};
    }

public:
    void clocks_minorityStepsAndBack_countsStayInTheirWindow()
    {
        EntryUsage entry = makeEntry(1);
        for (int second = 0; second < 20; ++second, m_now += 1s) {
            const Duration error = second % 4 < 2 ? Duration(-7s) : Duration(6s);
            hear(m_collector, 2, -error);
            hear(entry, second % 3 == 0 ? 0 : 2, error);
            entry.recordOwnClock(m_now, trueNow() + 90'000);
            entry.count(m_customer, m_now);
            entry.send(m_now);
            CPPUNIT_ASSERT_EQUAL(trueNow(), m_collector.trueMillis(m_now));
        }
        for (uint64_t window = kWindow; window < kWindow + 4; ++window)
            CPPUNIT_ASSERT_EQUAL(uint64_t(5), requests(window));
    }

    void clocks_halfOfThemStep_timeStays()
    {
        for (const Duration error : {Duration(0ms), Duration(5s), Duration(0ms), Duration(-5s)}) {
            hear(m_collector, 2, error, 4);
            CPPUNIT_ASSERT_EQUAL(trueNow(), m_collector.trueMillis(m_now));
            m_now += 1s;
        }
    }

    void clocks_noneHeardAndOwnSteps_timeAdvancesSteadily()
    {
        hear(m_collector);
        m_now += 60s;
        m_collector.tick(m_now, trueNow() + 4000);
        CPPUNIT_ASSERT_EQUAL(trueNow(), m_collector.trueMillis(m_now));
    }

    // Totals of a new run start at zero; they must not count as those of the run before, which were higher.
    void entry_killedAndStarted_addsToItsOldRows()
    {
        hear(m_collector);
        for (const uint64_t incarnation : {1, 2}) {
            EntryUsage entry = makeEntry(incarnation);
            hear(entry);
            for (uint64_t i = 0; i < 4 - incarnation; ++i)
                entry.count(m_customer, m_now);
            entry.send(m_now);
        }
        CPPUNIT_ASSERT_EQUAL(uint64_t(5), requests(kWindow));
    }

    void rows_repeatedAndReordered_changeNothing()
    {
        hear(m_collector);
        std::vector<std::string> payloads;
        for (const uint64_t total : {1, 2, 3})
            payloads.push_back(pack(report("entry", {{kWindow, m_customer, total}})));
        std::reverse(payloads.begin(), payloads.end());
        for (int repeat = 0; repeat < 2; ++repeat)
            for (const std::string &payload : payloads)
                receive(payload);
        CPPUNIT_ASSERT_EQUAL(uint64_t(3), requests(kWindow));
    }

    void rows_ofManyEntriesAndWindows_areBounded()
    {
        constexpr size_t kEntries = 40;
        constexpr size_t kCustomers = 20;
        UsageTotals totals;
        for (uint64_t window = kWindow; window < kWindow + 2 * UsageTotals::kWindows; ++window)
            for (size_t entry = 0; entry < kEntries; ++entry) {
                std::vector<UsageRow> rows;
                for (size_t i = 0; i < kCustomers; ++i)
                    rows.push_back({window, CustomerName(std::to_string(i)), 2});
                const UsageReport counted = report(std::to_string(entry), std::move(rows));
                CPPUNIT_ASSERT_EQUAL(size_t(0), totals.record(static_cast<int64_t>(window) * 5000, counted));
            }
        CPPUNIT_ASSERT(totals.rowCount()
                       <= kCustomers * (kEntries * UsageTotals::kOpenWindows + UsageTotals::kWindows));
        const uint64_t last = kWindow + 2 * UsageTotals::kWindows - 1;
        for (const uint64_t window : {last, last - UsageTotals::kOpenWindows, last - UsageTotals::kWindows + 1})
            CPPUNIT_ASSERT_EQUAL(uint64_t(2 * kEntries), totals.counts(window)[CustomerName("7")]);
        CPPUNIT_ASSERT(totals.counts(last - UsageTotals::kWindows).empty());

        std::vector<UsageRow> rows;
        for (size_t i = 0; i <= UsageTotals::kMaxRows; ++i)
            rows.push_back({last, CustomerName("other" + std::to_string(i)), 1});
        CPPUNIT_ASSERT(totals.record(static_cast<int64_t>(last) * 5000, report("flood", rows)) > 0);
        CPPUNIT_ASSERT_EQUAL(UsageTotals::kMaxRows, totals.rowCount());
        // What is known goes on counting.
        rows.front().total = 9;
        totals.record(static_cast<int64_t>(last) * 5000, report("flood", {rows.front()}));
        CPPUNIT_ASSERT_EQUAL(uint64_t(9), totals.counts(last)[rows.front().customer]);
    }

    // A row of a closed window, of which only the sum is left, would count again what the sum holds.
    void rows_ofClosedOrFutureWindows_areDropped()
    {
        UsageTotals totals;
        totals.record(kStart, report("entry", {{kWindow, m_customer, 3}}));
        const int64_t later = kStart + 5000 * static_cast<int64_t>(UsageTotals::kOpenWindows);
        const UsageReport late = report("entry", {{kWindow, m_customer, 3}, {kWindow + 1'000'000, m_customer, 3}});
        CPPUNIT_ASSERT_EQUAL(size_t(2), totals.record(later, late));
        CPPUNIT_ASSERT_EQUAL(uint64_t(3), totals.counts(kWindow)[m_customer]);
    }

    void counter_manyCustomers_isBounded()
    {
        UsageCounter counter;
        for (size_t i = 0; i <= UsageCounter::kMaxRows; ++i)
            CPPUNIT_ASSERT_EQUAL(i < UsageCounter::kMaxRows, counter.count(kStart, CustomerName(std::to_string(i))));
        CPPUNIT_ASSERT_EQUAL(UsageCounter::kMaxRows, counter.rowCount());
        counter.takeUnsent(kStart + 40'000);
        CPPUNIT_ASSERT_EQUAL(size_t(0), counter.rowCount());
    }

    void entry_littleTraffic_sendsOnlyWhatChanged()
    {
        EntryUsage entry = makeEntry(1);
        hear(entry);
        for (int i = 0; i < 100; ++i)
            entry.count(CustomerName(std::to_string(i)), m_now);
        entry.send(m_now);
        CPPUNIT_ASSERT_EQUAL(size_t(5), m_messages);
        entry.count(m_customer, m_now);
        entry.send(m_now);
        entry.send(m_now);
        CPPUNIT_ASSERT_EQUAL(size_t(10), m_messages);
        CPPUNIT_ASSERT(m_lastRows == (std::vector<UsageRow>{{kWindow, m_customer, 1}}));
    }

    void entry_noCustomers_sendsNothing()
    {
        EntryUsage entry = makeEntry(1);
        hear(entry);
        entry.count(CustomerName(), m_now);
        entry.send(m_now);
        CPPUNIT_ASSERT_EQUAL(size_t(0), m_messages);
    }

    // It would log an error for each message that it does not know.
    void entry_controlHostOfEarlierRelease_isSentNothing()
    {
        EntryUsage entry = makeEntry(1);
        entry.recordClock(m_now, m_hosts[0], 0);
        entry.recordClock(m_now, m_hosts[1], trueNow());
        entry.count(m_customer, m_now);
        entry.send(m_now);
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_messages);
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), requests(kWindow));
    }

    void session_new_getsTheLastRowsAgain()
    {
        EntryUsage entry = makeEntry(1);
        for (int i = 0; i < 10; ++i, m_now += 5s) {
            hear(entry);
            entry.count(m_customer, m_now);
            entry.send(m_now);
        }
        entry.resetSession(m_hosts[0]);
        entry.send(m_now);
        m_collector = UsageCollector();
        hear(m_collector);
        hear(entry);
        entry.send(m_now);
        for (uint64_t window = kWindow + 5; window < kWindow + 10; ++window)
            CPPUNIT_ASSERT_EQUAL(uint64_t(1), requests(window));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), requests(kWindow + 3));
    }

    void messages_ofEarlierAndThisRelease_areReadBothWays()
    {
        EntryUpdate update;
        update.clockMillis = kStart;
        CPPUNIT_ASSERT_EQUAL(kStart, unpack<EntryUpdate>(pack(update))->clockMillis);
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), unpack<OldUpdate>(pack(update))->applied);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), unpack<EntryUpdate>(pack(OldUpdate()))->clockMillis);
        UpstreamCountReport counts{{{DataCentreName("a"), 3}}, kStart};
        CPPUNIT_ASSERT_EQUAL(kStart, unpack<UpstreamCountReport>(pack(counts))->clockMillis);
        const auto old = unpack<OldUpstreamCountReport>(pack(counts));
        CPPUNIT_ASSERT(old && old->upstreams == counts.upstreams);
        CPPUNIT_ASSERT_EQUAL(int64_t(0), unpack<UpstreamCountReport>(pack(*old))->clockMillis);
        const auto rows = unpack<UsageReport>(pack(report("entry", {{kWindow, m_customer, 3}})));
        CPPUNIT_ASSERT(rows && rows->rows == (std::vector<UsageRow>{{kWindow, m_customer, 3}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageFailureTest);
