#include "hickoryspur/connection/UpstreamGate.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace hickoryspur;

class UpstreamGateFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamGateFailureTest);
    CPPUNIT_TEST(gate_unknownUpstream_getsOneAtATime);
    CPPUNIT_TEST(gate_quickAnswers_growsToTheSlots);
    CPPUNIT_TEST(gate_latencyJumps_fallsBackToOne);
    CPPUNIT_TEST(gate_oneStraggler_keepsItsLimit);
    CPPUNIT_TEST(gate_sheds_pausesAndStartsAtOne);
    CPPUNIT_TEST(gate_newIncarnation_isColdAgain);
    CPPUNIT_TEST(gate_saysReady_isNotBelieved);
    CPPUNIT_TEST(gate_silentConnection_doesNotCoolTheUpstream);
    CPPUNIT_TEST(gate_waiting_servesTheEarliestDeadlineFirst);
    CPPUNIT_TEST(gate_doomed_isRefusedBeforeItRuns);
    CPPUNIT_TEST(gate_heldAfterTakeover_sendsNothingBefore);
    CPPUNIT_TEST(gate_anyEvents_neverGoesBeyondTheSlots);
    CPPUNIT_TEST_SUITE_END();

    static constexpr uint32_t kSlots = 4;

    /** Submits until all slots run, each answered in 5 ms. */
    void warm(UpstreamGate &gate)
    {
        for (GateKey key = 1000; key < 1040; ++key) {
            const GateActions actions = gate.submit(m_now, {key, m_now + 1s});
            for (const GateKey running : actions.dispatch)
                gate.completed(m_now, running, SubOutcome::Ok, 5ms);
        }
        CPPUNIT_ASSERT_EQUAL(kSlots, gate.limit().limit());
    }

    size_t dispatchedOf(UpstreamGate &gate, GateKey from, size_t count)
    {
        size_t dispatched = 0;
        for (GateKey key = from; key < from + count; ++key)
            dispatched += gate.submit(m_now, {key, m_now + 1s}).dispatch.size();
        return dispatched;
    }

public:
    void gate_unknownUpstream_getsOneAtATime()
    {
        UpstreamGate gate(kSlots, 1);
        CPPUNIT_ASSERT_EQUAL(size_t(1), dispatchedOf(gate, 1, 7));
    }

    void gate_quickAnswers_growsToTheSlots()
    {
        UpstreamGate gate(kSlots, 1);
        warm(gate);
        CPPUNIT_ASSERT_EQUAL(size_t(kSlots), dispatchedOf(gate, 1, 7));
    }

    void gate_latencyJumps_fallsBackToOne()
    {
        UpstreamGate gate(kSlots, 1);
        warm(gate);
        for (GateKey key = 1; key <= ColdLimit::kJumpsToCold; ++key) {
            gate.submit(m_now, {key, m_now + 1s});
            gate.completed(m_now, key, SubOutcome::Ok, 80ms);
        }
        CPPUNIT_ASSERT_EQUAL(size_t(1), dispatchedOf(gate, 10, 7));
    }

    void gate_oneStraggler_keepsItsLimit()
    {
        UpstreamGate gate(kSlots, 1);
        warm(gate);
        gate.submit(m_now, {1, m_now + 1s});
        gate.completed(m_now, 1, SubOutcome::Ok, 80ms);
        CPPUNIT_ASSERT_EQUAL(size_t(kSlots), dispatchedOf(gate, 2, 7));
    }

    void gate_sheds_pausesAndStartsAtOne()
    {
        UpstreamGate gate(kSlots, 1);
        warm(gate);
        gate.submit(m_now, {1, m_now + 1s});
        gate.completed(m_now, 1, SubOutcome::Shed, 1ms);
        CPPUNIT_ASSERT_EQUAL(size_t(0), dispatchedOf(gate, 2, 7));
        CPPUNIT_ASSERT_EQUAL(size_t(1), gate.tick(m_now + ColdLimit::kFirstPause).dispatch.size());
    }

    void gate_newIncarnation_isColdAgain()
    {
        UpstreamGate gate(kSlots, 1);
        warm(gate);
        gate.update(kSlots, 2, false);
        CPPUNIT_ASSERT_EQUAL(size_t(1), dispatchedOf(gate, 1, 7));
    }

    void gate_saysReady_isNotBelieved()
    {
        UpstreamGate gate(kSlots, 1);
        gate.update(kSlots, 1, false);
        CPPUNIT_ASSERT_EQUAL(size_t(1), dispatchedOf(gate, 1, 7));
    }

    void gate_silentConnection_doesNotCoolTheUpstream()
    {
        UpstreamGate gate(kSlots, 1);
        warm(gate);
        gate.submit(m_now, {1, m_now + 1s});
        gate.completed(m_now, 1, SubOutcome::Unknown, 200ms);
        CPPUNIT_ASSERT_EQUAL(size_t(kSlots), dispatchedOf(gate, 2, 7));
    }

    void gate_waiting_servesTheEarliestDeadlineFirst()
    {
        UpstreamGate gate(1, 1);
        gate.submit(m_now, {1, m_now + 1s});
        gate.submit(m_now, {2, m_now + 900ms});
        gate.submit(m_now, {3, m_now + 300ms});
        const GateActions next = gate.completed(m_now, 1, SubOutcome::Ok, 5ms);
        CPPUNIT_ASSERT(next.dispatch == std::vector<GateKey>{3});
    }

    void gate_doomed_isRefusedBeforeItRuns()
    {
        UpstreamGate gate(1, 1);
        gate.submit(m_now, {1, m_now + 1s});
        gate.completed(m_now, 1, SubOutcome::Ok, 20ms);
        const GateActions actions = gate.submit(m_now, {2, m_now + 10ms});
        CPPUNIT_ASSERT(actions.dispatch.empty());
        CPPUNIT_ASSERT(actions.refuse == std::vector<GateKey>{2});
    }

    void gate_heldAfterTakeover_sendsNothingBefore()
    {
        UpstreamGate gate(kSlots, 1);
        gate.holdUntil(m_now + 1s);
        CPPUNIT_ASSERT_EQUAL(size_t(0), dispatchedOf(gate, 1, 3));
        CPPUNIT_ASSERT_EQUAL(size_t(1), gate.tick(m_now + 1s - 1us).refuse.size() + 1);
        gate.submit(m_now + 1s, {9, m_now + 2s});
        CPPUNIT_ASSERT_EQUAL(size_t(1), gate.running());
    }

    void gate_anyEvents_neverGoesBeyondTheSlots()
    {
        const bool held = rc::check("no more run than the slots allow", [this] {
            const auto slots = *rc::gen::inRange<uint32_t>(1, 6);
            const auto events = *rc::gen::container<std::vector<uint8_t>>(200, rc::gen::arbitrary<uint8_t>());
            UpstreamGate gate(slots, 1);
            std::vector<GateKey> running;
            TimePoint now = m_now;
            GateKey key = 0;
            const auto take = [&](const GateActions &actions) {
                running.insert(running.end(), actions.dispatch.begin(), actions.dispatch.end());
                RC_ASSERT(running.size() <= slots);
            };
            for (const uint8_t event : events) {
                now += Duration(event * 100);
                if (event % 3 != 0 || running.empty()) {
                    take(gate.submit(now, {++key, now + 500ms}));
                    continue;
                }
                const GateKey ended = running.front();
                running.erase(running.begin());
                take(gate.completed(now, ended, static_cast<SubOutcome>(event % 8), Duration(event * 50)));
            }
        });
        CPPUNIT_ASSERT(held);
    }

private:
    TimePoint m_now{Duration(1'000'000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamGateFailureTest);
