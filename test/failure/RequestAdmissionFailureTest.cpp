// Guards against an overload in which an entry answers fewer requests in time than under the usual load, lets those
// fail that it has begun, or serves the most urgent worst.
#include "fakes/OverloadModel.h"
#include "hickoryspur/request/RequestAdmission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>

using namespace hickoryspur;
using overload::Policy;

class RequestAdmissionFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestAdmissionFailureTest);
    CPPUNIT_TEST(overload_threeTimesTheLoad_answersInTimeAsManyAsUnderTheUsualLoad);
    CPPUNIT_TEST(overload_anyLoad_fewBegunRequestsFailAndRefusalsComeEarly);
    CPPUNIT_TEST(usualLoad_replicasAreQuick_nothingIsRefused);
    CPPUNIT_TEST(request_nothingRuns_startsWithoutRoomAndInSpiteOfTheEstimate);
    CPPUNIT_TEST(request_withoutRoom_waitsAndStartsWhenOneEnds);
    CPPUNIT_TEST(request_behindAMoreUrgentOne_doesNotTakeItsRoom);
    CPPUNIT_TEST(request_lessUrgent_leavesRoomAfterAnUrgentOneHadToWait);
    CPPUNIT_TEST(request_ofAnotherGroup_doesNotWaitForTheFirst);
    CPPUNIT_TEST(request_cannotMeetItsTarget_isRefusedAtOnce);
    CPPUNIT_TEST(request_waitsForAQuarterOfItsTarget_isRefusedThen);
    CPPUNIT_TEST(request_estimateIsStale_isNotRefusedForIt);
    CPPUNIT_TEST(request_ticksAreLate_countsAsWait);
    CPPUNIT_TEST(requests_oneOfManyIsLate_stillRunSideBySide);
    CPPUNIT_TEST(customers_waitWithDifferentWeights_startByWeight);
    CPPUNIT_TEST(queue_isFull_cheapestIsRefused);
    CPPUNIT_TEST(refusal_retryAfter_isBoundedSpreadAndShorterForUrgentOnes);
    CPPUNIT_TEST(request_withdrawnWhileWaiting_neverStarts);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration kTarget = 400ms;
    static constexpr Duration kTimeout = 2s;
    /** A tenth of the target latency, so that several can wait for each other. */
    static constexpr Duration kUsualTime = 40ms;

    TimePoint m_now{Duration(10s)};
    /** Requests that may still start. */
    size_t m_room = 0;
    size_t m_askedSpare = 0;
    RequestAdmission m_admission{[this](const AdmissionDemand &, size_t spare) {
                                     m_askedSpare = spare;
                                     return m_room > spare;
                                 },
                                 1};
    AdmissionNumber m_number = 0;

    AdmissionDemand demand(int priority = 1, const std::string &customer = "c", uint32_t weight = 1)
    {
        AdmissionDemand result;
        result.number = ++m_number;
        result.scope = "route" + std::to_string(priority);
        result.group = "shards";
        result.customer = customer;
        result.weight = weight;
        result.priority = priority;
        result.arrived = m_now;
        result.targetTime = m_now + kTarget;
        result.deadline = m_now + kTimeout;
        result.usualTime = kUsualTime;
        result.shards = 10;
        return result;
    }

    AdmissionDecisions submit(const AdmissionDemand &what)
    {
        AdmissionDecisions decisions = m_admission.submit(m_now, what);
        m_room -= std::min(m_room, decisions.admit.size());
        return decisions;
    }

    /** Begins the one request that needs no room; more of them let waiting ones expect a shorter wait. */
    std::vector<AdmissionNumber> begin(size_t count = 1)
    {
        std::vector<AdmissionNumber> running;
        m_room = count;
        for (size_t i = 0; i < count; ++i)
            running.push_back(submit(demand()).admit.at(0));
        m_room = 0;
        return running;
    }

    /** Gives room to one request at a time; returns the requests in the order in which they start. */
    std::vector<AdmissionNumber> startAll()
    {
        std::vector<AdmissionNumber> order;
        for (;;) {
            m_room = 2;
            const AdmissionDecisions decisions = m_admission.update(m_now);
            if (decisions.admit.empty())
                return order;
            order.push_back(decisions.admit.front());
        }
    }

    static std::vector<overload::KindResult> run(Policy policy, double load, double slowFactor)
    {
        overload::OverloadSettings settings;
        settings.policy = policy;
        settings.load = load;
        settings.slowFactor = slowFactor;
        return overload::runOverload(settings);
    }

    static uint64_t inTarget(const std::vector<overload::KindResult> &results)
    {
        uint64_t sum = 0;
        for (const overload::KindResult &kind : results)
            sum += kind.inTarget;
        return sum;
    }

    static double goodShare(const overload::KindResult &kind)
    {
        return static_cast<double>(kind.inTarget) / static_cast<double>(kind.asked);
    }

public:
    void overload_threeTimesTheLoad_answersInTimeAsManyAsUnderTheUsualLoad()
    {
        const auto usual = run(Policy::Cost, 1, 1);
        const auto cost = run(Policy::Cost, 3, 6);
        const auto arrival = run(Policy::Arrival, 3, 6);
        CPPUNIT_ASSERT(static_cast<double>(inTarget(cost)) >= 0.9 * static_cast<double>(inTarget(usual)));
        CPPUNIT_ASSERT(inTarget(cost) > 3 * inTarget(arrival));
        // Look-ups and searches share their upstreams.
        CPPUNIT_ASSERT(goodShare(cost[0]) >= goodShare(cost[1]));
        CPPUNIT_ASSERT(goodShare(arrival[0]) < 0.1);
    }

    void overload_anyLoad_fewBegunRequestsFailAndRefusalsComeEarly()
    {
        for (const double load : {2.0, 3.0, 5.0}) {
            uint64_t asked = 0;
            uint64_t failed = 0;
            uint64_t early = 0;
            uint64_t late = 0;
            for (const overload::KindResult &kind : run(Policy::Cost, load, 6)) {
                asked += kind.asked;
                failed += kind.failed;
                early += kind.refusedEarly;
                late += kind.refusedLate;
            }
            CPPUNIT_ASSERT(failed * 100 < asked);
            CPPUNIT_ASSERT(early > 15 * late);
        }
    }

    void usualLoad_replicasAreQuick_nothingIsRefused()
    {
        for (const overload::KindResult &kind : run(Policy::Cost, 1, 1))
            CPPUNIT_ASSERT_EQUAL(kind.asked, kind.inTarget);
    }

    // Guards against an entry that refuses or waits forever, since nothing that ends shows it that there is room.
    void request_nothingRuns_startsWithoutRoomAndInSpiteOfTheEstimate()
    {
        AdmissionDemand slow = demand();
        slow.usualTime = 10s;
        CPPUNIT_ASSERT_EQUAL(size_t{1}, submit(slow).admit.size());
    }

    void request_withoutRoom_waitsAndStartsWhenOneEnds()
    {
        const auto running = begin();
        const AdmissionDecisions decisions = submit(demand());
        CPPUNIT_ASSERT(decisions.admit.empty() && decisions.refuse.empty());
        CPPUNIT_ASSERT(m_admission.update(m_now).admit.empty());
        m_admission.ended(m_now, running.front());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, m_admission.update(m_now).admit.size());
    }

    // Guards against less urgent requests that keep taking the room for which an urgent one waits.
    void request_behindAMoreUrgentOne_doesNotTakeItsRoom()
    {
        begin(4);
        const AdmissionNumber single = submit(demand(2)).admit.empty() ? m_number : 0;
        const AdmissionNumber search = submit(demand(1)).admit.empty() ? m_number : 0;
        const AdmissionNumber lookup = submit(demand(0)).admit.empty() ? m_number : 0;
        CPPUNIT_ASSERT((startAll() == std::vector<AdmissionNumber>{lookup, search, single}));
    }

    void request_lessUrgent_leavesRoomAfterAnUrgentOneHadToWait()
    {
        begin(4);
        submit(demand(0));
        m_room = 1;
        CPPUNIT_ASSERT_EQUAL(size_t{1}, m_admission.update(m_now).admit.size());
        CPPUNIT_ASSERT(submit(demand(1)).admit.empty());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, m_askedSpare);
        m_now += 1s;
        m_room = 1;
        CPPUNIT_ASSERT_EQUAL(size_t{1}, submit(demand(1)).admit.size());
    }

    void request_ofAnotherGroup_doesNotWaitForTheFirst()
    {
        begin();
        submit(demand(0));
        AdmissionDemand other = demand(2);
        other.group = "single";
        CPPUNIT_ASSERT_EQUAL(size_t{1}, submit(other).admit.size());
    }

    void request_cannotMeetItsTarget_isRefusedAtOnce()
    {
        begin();
        AdmissionDemand late = demand();
        late.targetTime = m_now + kUsualTime + 10ms;
        const AdmissionDecisions decisions = submit(late);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, decisions.refuse.size());
        CPPUNIT_ASSERT(decisions.refuse.front().reason == AdmissionRefusal::Late);
    }

    // Guards against refusals after which the caller has no time for another try.
    void request_waitsForAQuarterOfItsTarget_isRefusedThen()
    {
        begin();
        submit(demand());
        CPPUNIT_ASSERT(m_admission.nextWake(m_now) == m_now + kTarget / 4);
        CPPUNIT_ASSERT(m_admission.update(m_now + kTarget / 4 - 1ms).refuse.empty());
        CPPUNIT_ASSERT_EQUAL(size_t{1}, m_admission.update(m_now + kTarget / 4).refuse.size());
        CPPUNIT_ASSERT_EQUAL(size_t{0}, m_admission.waiting());
    }

    // Guards against refusals for a latency that was learned while upstreams were slow and is not learned anew.
    void request_estimateIsStale_isNotRefusedForIt()
    {
        const auto running = begin(2);
        m_admission.ended(m_now + 1500ms, running[0]);
        m_now += 1500ms;
        CPPUNIT_ASSERT_EQUAL(size_t{1}, submit(demand()).refuse.size());
        m_now += 2s;
        CPPUNIT_ASSERT(submit(demand()).refuse.empty());
        CPPUNIT_ASSERT(m_admission.expectedTime(m_now, demand()) == kUsualTime);
    }

    void request_ticksAreLate_countsAsWait()
    {
        begin();
        m_admission.tick(m_now);
        m_now += kTarget + RequestAdmission::kTickInterval;
        m_admission.tick(m_now);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, submit(demand()).refuse.size());
    }

    // Guards against refusals in usual load, since one request met a replica that paused.
    void requests_oneOfManyIsLate_stillRunSideBySide()
    {
        for (int i = 0; i < 10; ++i) {
            const AdmissionNumber number = begin().front();
            m_now += i == 9 ? 2 * kTarget : kUsualTime;
            m_admission.ended(m_now, number);
        }
        CPPUNIT_ASSERT_EQUAL(size_t{3}, begin(3).size());
    }

    // Guards against a customer with many requests that keeps the others from being served.
    void customers_waitWithDifferentWeights_startByWeight()
    {
        begin(20);
        std::map<AdmissionNumber, std::string> customers;
        for (size_t i = 0; i < 12; ++i)
            customers[submit(demand(1, "many")).admit.empty() ? m_number : 0] = "many";
        for (size_t i = 0; i < 6; ++i)
            customers[submit(demand(1, "heavy", 2)).admit.empty() ? m_number : 0] = "heavy";
        const std::vector<AdmissionNumber> order = startAll();
        CPPUNIT_ASSERT_EQUAL(size_t{18}, order.size());
        const auto heavy =
            std::count_if(order.begin(), order.begin() + 9, [&](auto number) { return customers[number] == "heavy"; });
        CPPUNIT_ASSERT(heavy == 6);
    }

    void queue_isFull_cheapestIsRefused()
    {
        begin(30);
        const AdmissionNumber cheapest = submit(demand(3)).admit.empty() ? m_number : 0;
        for (size_t i = 1; i < RequestAdmission::kMaxWaiting; ++i)
            submit(demand(1));
        CPPUNIT_ASSERT_EQUAL(RequestAdmission::kMaxWaiting, m_admission.waiting());
        const AdmissionDecisions decisions = submit(demand(0));
        CPPUNIT_ASSERT_EQUAL(size_t{1}, decisions.refuse.size());
        CPPUNIT_ASSERT_EQUAL(cheapest, decisions.refuse.front().number);
        CPPUNIT_ASSERT(decisions.refuse.front().reason == AdmissionRefusal::QueueFull);
    }

    // Guards against refused callers that come back all at once, or after their own deadline.
    void refusal_retryAfter_isBoundedSpreadAndShorterForUrgentOnes()
    {
        begin(4);
        for (size_t i = 0; i < 5; ++i)
            submit(demand(1));
        std::map<int, Duration> sums;
        std::set<Duration> seen;
        for (size_t i = 0; i < 100; ++i) {
            for (const int priority : {0, 2}) {
                AdmissionDemand late = demand(priority);
                late.targetTime = m_now;
                late.usualTime = kTarget;
                late.deadline = m_now + kTarget - 1ms;
                const Duration delay = submit(late).refuse.at(0).retryAfter;
                CPPUNIT_ASSERT(delay > Duration::zero() && delay <= (late.deadline - m_now) / 3);
                sums[priority] += delay;
                seen.insert(delay);
            }
        }
        CPPUNIT_ASSERT(seen.size() > 50);
        CPPUNIT_ASSERT(sums[0] < sums[2]);
    }

    void request_withdrawnWhileWaiting_neverStarts()
    {
        begin(4);
        submit(demand());
        m_admission.withdraw(m_number);
        CPPUNIT_ASSERT(startAll().empty());
        CPPUNIT_ASSERT(m_admission.nextWake(m_now) == TimePoint::max());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestAdmissionFailureTest);
