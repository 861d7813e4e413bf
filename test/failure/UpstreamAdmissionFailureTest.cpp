// Guards upstreams against more requests than they take: cold ones against their usual load, and those that name a
// limit against entries that each keep it, or that keep it for some attempts only. Hundreds of entries must not exceed
// it together, also while their lists of entries differ.
#include "hickoryspur/connection/ReplicaSubset.h"
#include "hickoryspur/connection/UpstreamAdmission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>
#include <vector>

using namespace hickoryspur;

class UpstreamAdmissionFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamAdmissionFailureTest);
    CPPUNIT_TEST(upstream_withoutLimit_getsEveryRequest);
    CPPUNIT_TEST(upstream_coldOnThreeHundredEntries_staysBelowRate);
    CPPUNIT_TEST(upstream_homeChangesWhileCold_staysBelowOverrun);
    CPPUNIT_TEST(limit_namedToSevenEntries_isKeptByAllTogetherAndUsed);
    CPPUNIT_TEST(limit_threeHundredEntriesAskAtTheSameMoment_isKept);
    CPPUNIT_TEST(limit_entriesLeaveAndReturn_isKept);
    CPPUNIT_TEST(limit_fewEntriesServeTheGroup_isUsedByThem);
    CPPUNIT_TEST(limit_entriesStandInForAGroup_isKept);
    CPPUNIT_TEST(limit_changes_isFollowed);
    CPPUNIT_TEST(limit_answerWithoutIt_endsIt);
    CPPUNIT_TEST(limit_newIncarnation_startsWithoutIt);
    CPPUNIT_TEST(limit_lateAnswerOfAnEarlierIncarnation_changesNothing);
    CPPUNIT_TEST(limit_usedUp_nextSendIsTheNextSlot);
    CPPUNIT_TEST(leaving_saidInAnAnswer_endsItsUse);
    CPPUNIT_TEST(leaving_lastReplica_isUsedWithinTheDrainTime);
    CPPUNIT_TEST(leaving_newIncarnation_startsClean);
    CPPUNIT_TEST(leaving_whileARequestWaits_itIsWithheld);
    CPPUNIT_TEST(pause_begun_nothingIsSentUntilItsEnd);
    CPPUNIT_TEST(pause_severalRefusals_theLatestEndCounts);
    CPPUNIT_TEST(pause_longerThanTheBound_isCut);
    CPPUNIT_TEST(pause_ends_loadReturnsOverARamp);
    CPPUNIT_TEST(pause_ends_isReportedOnce);
    CPPUNIT_TEST(signals_upstreamUnknownNow_areForgotten);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration kDrainTime = 3s;
    const UpstreamId m_upstream{"u-1"};
    static constexpr double kRate = 20;

    struct Entry
    {
        ReplicaSubset subset;
        UpstreamAdmission admission{1, kDrainTime};
    };

    static std::vector<std::string> addresses(int first, int count)
    {
        std::vector<std::string> result;
        for (int i = first; i < first + count; ++i)
            result.push_back("10.0.0." + std::to_string(i) + ":80");
        return result;
    }

    /** Every entry tries to send 10 times in the second that starts now; returns how many requests were allowed. */
    int sendForOneSecond(std::vector<Entry> &entries, TimePoint start) const
    {
        int sent = 0;
        for (int step = 0; step < 10; ++step) {
            const TimePoint now = start + step * 100ms;
            for (Entry &entry : entries) {
                const AdmissionQuery query{m_upstream, 1, kRate, entry.subset.isHome(m_upstream)};
                if (!entry.admission.maySend(now, query))
                    continue;
                entry.admission.recordSent(now, query);
                ++sent;
            }
        }
        return sent;
    }

    /** The most requests that an upstream with a limit may get in this time. */
    static constexpr Duration kLimitWindow = 4s;

    static UpstreamSignals limitOf(double requestsPerSecond) { return {requestsPerSecond, std::nullopt, false}; }

    static size_t allowedInWindow(double limit)
    {
        return static_cast<size_t>(1.5 * limit * std::chrono::duration<double>(kLimitWindow).count()) + 5;
    }

    /** Entries that share an upstream's limit; each knows it from its first moment on. */
    struct Fleet
    {
        Fleet(const UpstreamId &upstream, size_t entries, double limit, uint64_t seed)
            : query{upstream, 1}
            , random(seed)
        {
            for (size_t i = 0; i < entries; ++i)
                admissions.emplace_back(seed * 1000 + i, kDrainTime);
            setEntryCount(static_cast<uint32_t>(entries));
            name(limit);
        }

        void setEntryCount(uint32_t entries)
        {
            for (UpstreamAdmission &admission : admissions)
                admission.setEntryCount(now, entries);
        }

        void name(double limit)
        {
            for (UpstreamAdmission &admission : admissions)
                admission.recordSignals(now, query.id, query.incarnation, UpstreamSignals{limit, {}, false});
        }

        /** The first entries alone serve the group of the upstream's shard. */
        void setHolders(size_t holders)
        {
            for (size_t i = 0; i < admissions.size(); ++i) {
                admissions[i].setGroupOf([holders, i](const UpstreamId &) {
                    return UpstreamAdmission::Group{holders, i < holders};
                });
                admissions[i].updateShares(now);
            }
        }

        /** Each entry has a request in each millisecond with this probability, and sends it if it may. */
        void run(Duration duration, double probability, size_t senders = SIZE_MAX)
        {
            for (const TimePoint end = now + duration; now < end; now += 1ms)
                for (size_t i = 0; i < std::min(senders, admissions.size()); ++i)
                    if (UpstreamAdmission &admission = admissions[i];
                        std::bernoulli_distribution(probability)(random) && admission.maySend(now, query)) {
                        admission.recordSent(now, query);
                        recordArrival();
                    }
        }

        void recordArrival()
        {
            ++total;
            arrivals.push_back(now);
            while (now - arrivals.front() >= kLimitWindow)
                arrivals.pop_front();
            mostInWindow = std::max(mostInWindow, arrivals.size());
        }

        AdmissionQuery query;
        std::mt19937_64 random;
        std::deque<UpstreamAdmission> admissions;
        TimePoint now{100s};
        std::deque<TimePoint> arrivals;
        size_t mostInWindow = 0;
        size_t total = 0;
    };

public:
    // Otherwise the entries that serve a group use only their part among all entries of what its upstreams take.
    void limit_fewEntriesServeTheGroup_isUsedByThem()
    {
        Fleet fleet(m_upstream, 48, 50, 5);
        fleet.setHolders(10);
        fleet.run(10s, 1, 10);
        CPPUNIT_ASSERT(static_cast<double>(fleet.total) >= 0.7 * 50 * 10);
        CPPUNIT_ASSERT(fleet.mostInWindow <= allowedInWindow(50));
    }

    void limit_entriesStandInForAGroup_isKept()
    {
        Fleet fleet(m_upstream, 48, 50, 6);
        fleet.setHolders(10);
        fleet.run(10s, 1);
        CPPUNIT_ASSERT(fleet.mostInWindow <= allowedInWindow(50));
    }

    void upstream_withoutLimit_getsEveryRequest()
    {
        CPPUNIT_ASSERT(UpstreamAdmission(1, kDrainTime).maySend(TimePoint(1s), {m_upstream, 1, 0, false}));
    }

    void upstream_coldOnThreeHundredEntries_staysBelowRate()
    {
        const std::vector<std::string> all = addresses(0, 300);
        std::vector<Entry> entries(all.size());
        for (size_t i = 0; i < all.size(); ++i)
            entries[i].subset.setEntries(all[i], all);
        const int sent = sendForOneSecond(entries, TimePoint(100s));
        CPPUNIT_ASSERT(sent >= 1);
        CPPUNIT_ASSERT(sent <= kRate);
    }

    void upstream_homeChangesWhileCold_staysBelowOverrun()
    {
        // Half of the entries do not know the other half yet, so there are two homes.
        const std::vector<std::string> all = addresses(0, 300);
        const std::vector<std::string> half = addresses(0, 150);
        std::vector<Entry> entries(all.size());
        for (size_t i = 0; i < all.size(); ++i)
            entries[i].subset.setEntries(all[i], i < half.size() ? half : all);
        CPPUNIT_ASSERT(sendForOneSecond(entries, TimePoint(100s)) <= 1.5 * kRate);
    }

    void limit_namedToSevenEntries_isKeptByAllTogetherAndUsed()
    {
        for (const double limit : {0.5, 2.0, 15.6, 33.5, 240.0}) {
            Fleet fleet(m_upstream, 7, limit, 3);
            fleet.run(20s, 0.2);
            CPPUNIT_ASSERT(fleet.mostInWindow <= allowedInWindow(limit));
            // Callers are served by what the upstream takes.
            CPPUNIT_ASSERT(static_cast<double>(fleet.total) >= 0.7 * limit * 20);
        }
    }

    void limit_threeHundredEntriesAskAtTheSameMoment_isKept()
    {
        for (uint64_t seed = 1; seed <= 5; ++seed)
            for (const double limit : {1.0, 15.6, 60.0}) {
                Fleet fleet(m_upstream, 300, limit, seed);
                // Nothing for a while, then far more than is allowed.
                fleet.run(30s, 0);
                fleet.run(8s, 0.5);
                CPPUNIT_ASSERT(fleet.mostInWindow <= allowedInWindow(limit));
            }
    }

    void limit_entriesLeaveAndReturn_isKept()
    {
        Fleet fleet(m_upstream, 7, 20, 5);
        fleet.run(8s, 0.2);
        // One entry stops and still serves its last callers, while the others already share without it.
        fleet.setEntryCount(6);
        fleet.run(3s, 0.2);
        fleet.setEntryCount(7);
        fleet.run(8s, 0.2);
        CPPUNIT_ASSERT(fleet.mostInWindow <= allowedInWindow(20));
    }

    void limit_changes_isFollowed()
    {
        Fleet fleet(m_upstream, 7, 100, 6);
        fleet.run(8s, 0.2);
        fleet.name(10);
        fleet.mostInWindow = 0;
        fleet.arrivals.clear();
        fleet.run(8s, 0.2);
        CPPUNIT_ASSERT(fleet.mostInWindow <= allowedInWindow(10));
        fleet.total = 0;
        fleet.name(100);
        fleet.run(8s, 0.2);
        CPPUNIT_ASSERT(fleet.total >= 0.7 * 100 * 8);
    }

    void limit_answerWithoutIt_endsIt()
    {
        UpstreamAdmission admission(1, kDrainTime);
        CPPUNIT_ASSERT(admission.recordSignals(m_now, m_upstream, 1, limitOf(0.1)).limitNamed);
        CPPUNIT_ASSERT(!admission.recordSignals(m_now, m_upstream, 1, limitOf(0.1)).any());
        admission.recordSent(m_now, {m_upstream, 1});
        CPPUNIT_ASSERT(!admission.maySend(m_now, {m_upstream, 1}));
        CPPUNIT_ASSERT(admission.recordSignals(m_now, m_upstream, 1, {}).limitEnded);
        CPPUNIT_ASSERT(admission.maySend(m_now, {m_upstream, 1}));
    }

    void limit_newIncarnation_startsWithoutIt()
    {
        UpstreamAdmission admission(1, kDrainTime);
        admission.recordSignals(m_now, m_upstream, 1, limitOf(0.1));
        admission.recordSent(m_now, {m_upstream, 1});
        CPPUNIT_ASSERT(!admission.maySend(m_now, {m_upstream, 1}));
        CPPUNIT_ASSERT(admission.maySend(m_now, {m_upstream, 2}));
    }

    void limit_lateAnswerOfAnEarlierIncarnation_changesNothing()
    {
        UpstreamAdmission admission(1, kDrainTime);
        admission.recordSignals(m_now, m_upstream, 2, limitOf(5));
        CPPUNIT_ASSERT(!admission.recordSignals(m_now, m_upstream, 1, limitOf(0.1)).any());
        CPPUNIT_ASSERT(!admission.recordSignals(m_now, m_upstream, 1, {}).any());
        CPPUNIT_ASSERT_EQUAL(5.0, admission.limitOf(m_upstream).value_or(0));
    }

    void limit_usedUp_nextSendIsTheNextSlot()
    {
        UpstreamAdmission admission(1, kDrainTime);
        admission.setEntryCount(m_now, 4);
        admission.recordSignals(m_now, m_upstream, 1, limitOf(2));
        const AdmissionQuery query{m_upstream, 1};
        const TimePoint slot = admission.nextSend(m_now, query);
        admission.recordSent(slot, query);
        const Duration interval = admission.nextSend(slot, query) - slot;
        CPPUNIT_ASSERT(interval > 2s && interval < 3s);
    }

    void leaving_saidInAnAnswer_endsItsUse()
    {
        UpstreamAdmission admission(1, kDrainTime);
        CPPUNIT_ASSERT(admission.recordSignals(m_now, m_upstream, 7, leaving()).leavingBegun);
        CPPUNIT_ASSERT(!admission.recordSignals(m_now, m_upstream, 7, leaving()).any());
        // One that leaves does not come back in the same incarnation, whatever a delayed answer says.
        admission.recordSignals(m_now + 1s, m_upstream, 7, {});
        CPPUNIT_ASSERT(!admission.maySend(m_now + 60s, {m_upstream, 7}));
        CPPUNIT_ASSERT(admission.isWithdrawn(m_now, m_upstream, 7));
        CPPUNIT_ASSERT(admission.nextSend(m_now, {m_upstream, 7}) == TimePoint::max());
    }

    void leaving_lastReplica_isUsedWithinTheDrainTime()
    {
        UpstreamAdmission admission(1, kDrainTime);
        admission.recordSignals(m_now, m_upstream, 7, leaving());
        CPPUNIT_ASSERT(admission.maySendToLastReplica(m_now + kDrainTime / 2, {m_upstream, 7}));
        CPPUNIT_ASSERT(!admission.maySendToLastReplica(m_now + kDrainTime, {m_upstream, 7}));
        admission.recordSignals(m_now, m_upstream, 7, pause(1s));
        CPPUNIT_ASSERT(!admission.maySendToLastReplica(m_now + 500ms, {m_upstream, 7}));
    }

    void leaving_newIncarnation_startsClean()
    {
        UpstreamAdmission admission(1, kDrainTime);
        admission.recordSignals(m_now, m_upstream, 7, leaving());
        CPPUNIT_ASSERT(admission.maySend(m_now, {m_upstream, 8}));
        CPPUNIT_ASSERT(!admission.isWithdrawn(m_now, m_upstream, 8));
    }

    // What chose the upstream before it said so goes elsewhere; what chose it as the last replica may wait for a while.
    void leaving_whileARequestWaits_itIsWithheld()
    {
        UpstreamAdmission admission(1, kDrainTime);
        CPPUNIT_ASSERT(admission.mayStillSend(m_now, m_now - 1s, {m_upstream, 7}));
        admission.recordSignals(m_now, m_upstream, 7, leaving());
        CPPUNIT_ASSERT(!admission.mayStillSend(m_now, m_now - 1s, {m_upstream, 7}));
        CPPUNIT_ASSERT(admission.mayStillSend(m_now + kDrainTime / 2, m_now + 1ms, {m_upstream, 7}));
        CPPUNIT_ASSERT(!admission.mayStillSend(m_now + kDrainTime, m_now + 1ms, {m_upstream, 7}));
        admission.recordSignals(m_now, m_upstream, 7, pause(1s));
        CPPUNIT_ASSERT(!admission.mayStillSend(m_now + 500ms, m_now + 1ms, {m_upstream, 7}));
    }

    void pause_begun_nothingIsSentUntilItsEnd()
    {
        UpstreamAdmission admission(1, kDrainTime);
        CPPUNIT_ASSERT(admission.recordSignals(m_now, m_upstream, 7, pause(1500ms)).pauseBegun);
        CPPUNIT_ASSERT(!admission.maySend(m_now, {m_upstream, 7}));
        CPPUNIT_ASSERT(!admission.maySend(m_now + 1499ms, {m_upstream, 7}));
        const TimePoint next = admission.nextSend(m_now, {m_upstream, 7});
        CPPUNIT_ASSERT(next >= m_now + 1500ms && next <= m_now + 3s);
        CPPUNIT_ASSERT(admission.maySend(next, {m_upstream, 7}));
    }

    void pause_severalRefusals_theLatestEndCounts()
    {
        UpstreamAdmission admission(1, kDrainTime);
        admission.recordSignals(m_now, m_upstream, 7, pause(4s));
        CPPUNIT_ASSERT(!admission.recordSignals(m_now + 10ms, m_upstream, 7, pause(1s)).any());
        CPPUNIT_ASSERT(!admission.maySend(m_now + 3999ms, {m_upstream, 7}));
        admission.recordSignals(m_now + 20ms, m_upstream, 7, pause(9s));
        CPPUNIT_ASSERT(!admission.maySend(m_now + 9s, {m_upstream, 7}));
    }

    void pause_longerThanTheBound_isCut()
    {
        UpstreamAdmission admission(1, kDrainTime);
        admission.recordSignals(m_now, m_upstream, 7, pause(24h));
        const TimePoint latest = m_now + UpstreamAdmission::kMaxPause + UpstreamAdmission::kMaxRamp;
        CPPUNIT_ASSERT(admission.maySend(latest, {m_upstream, 7}));
    }

    void pause_ends_loadReturnsOverARamp()
    {
        for (const int entries : {6, 300}) {
            std::deque<UpstreamAdmission> admissions;
            for (int i = 0; i < entries; ++i) {
                admissions.emplace_back(i, kDrainTime);
                admissions.back().recordSignals(m_now, m_upstream, 7, pause(4s));
            }
            const auto resumed = [&](TimePoint at) {
                return std::count_if(admissions.begin(), admissions.end(), [&](const auto &admission) {
                    return admission.maySend(at, {m_upstream, 7});
                });
            };
            const TimePoint end = m_now + 4s;
            CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(0), resumed(end - 1ms));
            CPPUNIT_ASSERT(resumed(end + UpstreamAdmission::kMaxRamp / 4) <= entries / 2);
            CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(entries), resumed(end + UpstreamAdmission::kMaxRamp));
        }
    }

    void pause_ends_isReportedOnce()
    {
        UpstreamAdmission admission(1, kDrainTime);
        admission.recordSignals(m_now, m_upstream, 7, pause(1s));
        CPPUNIT_ASSERT(admission.takeEndedPauses(m_now + 500ms).empty());
        CPPUNIT_ASSERT(admission.takeEndedPauses(m_now + 2s) == std::vector<UpstreamId>{m_upstream});
        CPPUNIT_ASSERT(admission.takeEndedPauses(m_now + 3s).empty());
        CPPUNIT_ASSERT(admission.empty());
    }

    void signals_upstreamUnknownNow_areForgotten()
    {
        UpstreamAdmission admission(1, kDrainTime);
        admission.recordSignals(m_now, m_upstream, 7, leaving());
        admission.keepOnly([](const UpstreamId &) { return false; });
        CPPUNIT_ASSERT(admission.empty());
    }

private:
    static UpstreamSignals leaving() { return {std::nullopt, std::nullopt, true}; }
    static UpstreamSignals pause(Duration length) { return {std::nullopt, length, false}; }

    TimePoint m_now{100s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamAdmissionFailureTest);
