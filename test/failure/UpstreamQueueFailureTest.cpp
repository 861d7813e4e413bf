#include "hickoryspur/connection/UpstreamQueue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace hickoryspur;

/**
 * Guards against overloading an upstream: too many concurrent sub-requests after a start, a restart, a
 * handover or a refusal, and sub-requests that run although their deadline cannot be met.
 */
class UpstreamQueueFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamQueueFailureTest);
    CPPUNIT_TEST(queue_newUpstream_dispatchesOneAtATime);
    CPPUNIT_TEST(queue_quickAnswers_limitGrowsToSlots);
    CPPUNIT_TEST(queue_latencyJumpsInARow_limitFallsToOne);
    CPPUNIT_TEST(queue_oneStraggler_keepsLimit);
    CPPUNIT_TEST(queue_upstreamSheds_pausesAndRestartsAtOne);
    CPPUNIT_TEST(queue_newIncarnation_limitFallsToOne);
    CPPUNIT_TEST(queue_announcedReady_limitDoesNotGrow);
    CPPUNIT_TEST(queue_silentConnection_keepsLimit);
    CPPUNIT_TEST(queue_severalWaiting_earliestDeadlineFirst);
    CPPUNIT_TEST(queue_deadlineUnreachable_isRefusedWithoutDispatch);
    CPPUNIT_TEST(queue_blockedAfterHandover_dispatchesNothingUntilUnblocked);
    CPPUNIT_TEST(queue_anyEvents_neverExceedsSlots);
    CPPUNIT_TEST_SUITE_END();

    static constexpr uint32_t kSlots = 4;

    /** Completes sub-requests with a latency of 5 ms until the limit equals the slots. */
    void warm(UpstreamQueue &queue)
    {
        for (DispatchId id = 1000; id < 1040; ++id) {
            const DispatchActions actions = queue.submit(m_now, {id, m_now + 1s});
            for (const DispatchId running : actions.dispatch)
                queue.completed(m_now, running, SubOutcome::Ok, 5ms);
        }
        CPPUNIT_ASSERT_EQUAL(kSlots, queue.limit().limit());
    }

    size_t dispatchedOf(UpstreamQueue &queue, DispatchId from, size_t count)
    {
        size_t dispatched = 0;
        for (DispatchId id = from; id < from + count; ++id)
            dispatched += queue.submit(m_now, {id, m_now + 1s}).dispatch.size();
        return dispatched;
    }

public:
    void queue_newUpstream_dispatchesOneAtATime()
    {
        UpstreamQueue queue(kSlots, 1);
        CPPUNIT_ASSERT_EQUAL(size_t(1), dispatchedOf(queue, 1, 7));
    }

    void queue_quickAnswers_limitGrowsToSlots()
    {
        UpstreamQueue queue(kSlots, 1);
        warm(queue);
        CPPUNIT_ASSERT_EQUAL(size_t(kSlots), dispatchedOf(queue, 1, 7));
    }

    void queue_latencyJumpsInARow_limitFallsToOne()
    {
        UpstreamQueue queue(kSlots, 1);
        warm(queue);
        for (DispatchId id = 1; id <= ConcurrencyLimit::kJumpsToReset; ++id) {
            queue.submit(m_now, {id, m_now + 1s});
            queue.completed(m_now, id, SubOutcome::Ok, 80ms);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(1), dispatchedOf(queue, 10, 7));
    }

    void queue_oneStraggler_keepsLimit()
    {
        UpstreamQueue queue(kSlots, 1);
        warm(queue);
        queue.submit(m_now, {1, m_now + 1s});
        queue.completed(m_now, 1, SubOutcome::Ok, 80ms);
        CPPUNIT_ASSERT_EQUAL(size_t(kSlots), dispatchedOf(queue, 2, 7));
    }

    void queue_upstreamSheds_pausesAndRestartsAtOne()
    {
        UpstreamQueue queue(kSlots, 1);
        warm(queue);
        queue.submit(m_now, {1, m_now + 1s});
        queue.completed(m_now, 1, SubOutcome::Shed, 1ms);
        CPPUNIT_ASSERT_EQUAL(size_t(0), dispatchedOf(queue, 2, 7));
        CPPUNIT_ASSERT_EQUAL(size_t(1), queue.tick(m_now + ConcurrencyLimit::kInitialPause).dispatch.size());
    }

    void queue_newIncarnation_limitFallsToOne()
    {
        UpstreamQueue queue(kSlots, 1);
        warm(queue);
        queue.update(kSlots, 2, false);
        CPPUNIT_ASSERT_EQUAL(size_t(1), dispatchedOf(queue, 1, 7));
    }

    void queue_announcedReady_limitDoesNotGrow()
    {
        UpstreamQueue queue(kSlots, 1);
        queue.update(kSlots, 1, false);
        CPPUNIT_ASSERT_EQUAL(size_t(1), dispatchedOf(queue, 1, 7));
    }

    void queue_silentConnection_keepsLimit()
    {
        UpstreamQueue queue(kSlots, 1);
        warm(queue);
        queue.submit(m_now, {1, m_now + 1s});
        queue.completed(m_now, 1, SubOutcome::Unknown, 200ms);
        CPPUNIT_ASSERT_EQUAL(size_t(kSlots), dispatchedOf(queue, 2, 7));
    }

    void queue_severalWaiting_earliestDeadlineFirst()
    {
        UpstreamQueue queue(1, 1);
        queue.submit(m_now, {1, m_now + 1s});
        queue.submit(m_now, {2, m_now + 900ms});
        queue.submit(m_now, {3, m_now + 300ms});
        const DispatchActions next = queue.completed(m_now, 1, SubOutcome::Ok, 5ms);
        CPPUNIT_ASSERT(next.dispatch == std::vector<DispatchId>{3});
    }

    void queue_deadlineUnreachable_isRefusedWithoutDispatch()
    {
        UpstreamQueue queue(1, 1);
        queue.submit(m_now, {1, m_now + 1s});
        queue.completed(m_now, 1, SubOutcome::Ok, 20ms);
        const DispatchActions actions = queue.submit(m_now, {2, m_now + 10ms});
        CPPUNIT_ASSERT(actions.dispatch.empty());
        CPPUNIT_ASSERT(actions.refuse == std::vector<DispatchId>{2});
    }

    void queue_blockedAfterHandover_dispatchesNothingUntilUnblocked()
    {
        UpstreamQueue queue(kSlots, 1);
        queue.blockUntil(m_now + 1s);
        CPPUNIT_ASSERT_EQUAL(size_t(0), dispatchedOf(queue, 1, 3));
        const DispatchActions beforeTheEnd = queue.tick(m_now + 1s - 1us);
        CPPUNIT_ASSERT(beforeTheEnd.refuse.empty() && beforeTheEnd.dispatch.empty());
        queue.submit(m_now + 1s, {9, m_now + 2s});
        CPPUNIT_ASSERT_EQUAL(size_t(1), queue.running());
    }

    void queue_anyEvents_neverExceedsSlots()
    {
        const bool held = rc::check("no more run than the slots allow", [this] {
            const auto slots = *rc::gen::inRange<uint32_t>(1, 6);
            const auto events = *rc::gen::container<std::vector<uint8_t>>(200, rc::gen::arbitrary<uint8_t>());
            UpstreamQueue queue(slots, 1);
            std::vector<DispatchId> running;
            TimePoint now = m_now;
            DispatchId id = 0;
            const auto append = [&](const DispatchActions &actions) {
                running.insert(running.end(), actions.dispatch.begin(), actions.dispatch.end());
                RC_ASSERT(running.size() <= slots);
            };
            for (const uint8_t event : events) {
                now += Duration(event * 100);
                if (event % 3 != 0 || running.empty()) {
                    append(queue.submit(now, {++id, now + 500ms}));
                    continue;
                }
                const DispatchId ended = running.front();
                running.erase(running.begin());
                append(queue.completed(now, ended, static_cast<SubOutcome>(event % 8), Duration(event * 50)));
            }
        });
        CPPUNIT_ASSERT(held);
    }

private:
    TimePoint m_now{Duration(1'000'000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamQueueFailureTest);
