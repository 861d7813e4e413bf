#include "hickoryspur/connection/ConnectionPolicy.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

/**
 * Guards against requests that wait for their deadline on a connection whose state a device on the path
 * has dropped: such a connection stays open at this end but delivers no bytes.
 */
class ConnectionPolicyFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionPolicyFailureTest);
    CPPUNIT_TEST(connection_silentWithRequestInFlight_isAbandoned);
    CPPUNIT_TEST(connection_silentWhileIdle_isProbedThenAbandoned);
    CPPUNIT_TEST(connection_idleWhenAnotherWentSilent_isProbedBeforeReuse);
    CPPUNIT_TEST(connection_slowButAlive_isKept);
    CPPUNIT_TEST(connections_limitReached_noneIsAdded);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_policy = ConnectionPolicy(3); }

    void connection_silentWithRequestInFlight_isAbandoned()
    {
        const ConnectionId id = *m_policy.add(m_now);
        m_policy.recordLatency(5ms);
        CPPUNIT_ASSERT(m_policy.tick(m_now + ConnectionPolicy::kMinSilenceTimeout).abandon.empty());
        const ConnectionActions actions = m_policy.tick(m_now + ConnectionPolicy::kMinSilenceTimeout + 1ms);
        CPPUNIT_ASSERT(actions.abandon == std::vector<ConnectionId>{id});
        CPPUNIT_ASSERT(m_policy.add(m_now).has_value());
    }

    void connection_silentWhileIdle_isProbedThenAbandoned()
    {
        const ConnectionId id = *m_policy.add(m_now);
        m_policy.markIdle(m_now, id);
        const TimePoint later = m_now + ConnectionPolicy::kProbeAfter + 1ms;
        CPPUNIT_ASSERT(m_policy.tick(later).probe == std::vector<ConnectionId>{id});
        CPPUNIT_ASSERT(!m_policy.claimIdle(later));
        const ConnectionActions actions = m_policy.tick(later + ConnectionPolicy::kProbeTimeout + 1ms);
        CPPUNIT_ASSERT(actions.abandon == std::vector<ConnectionId>{id});
    }

    void connection_idleWhenAnotherWentSilent_isProbedBeforeReuse()
    {
        const ConnectionId idle = *m_policy.add(m_now);
        const ConnectionId busy = *m_policy.add(m_now);
        m_policy.markIdle(m_now, idle);
        const ConnectionActions actions = m_policy.tick(m_now + 200ms);
        CPPUNIT_ASSERT(actions.abandon == std::vector<ConnectionId>{busy});
        m_policy.markIdle(m_now - 1ms, idle);
        CPPUNIT_ASSERT(!m_policy.claimIdle(m_now + 201ms));
        CPPUNIT_ASSERT(m_policy.tick(m_now + 202ms).probe == std::vector<ConnectionId>{idle});
        m_policy.markIdle(m_now + 203ms, idle);
        CPPUNIT_ASSERT(m_policy.claimIdle(m_now + 204ms) == idle);
    }

    void connection_slowButAlive_isKept()
    {
        const ConnectionId id = *m_policy.add(m_now);
        m_policy.recordLatency(100ms);
        m_policy.recordBytes(m_now + 600ms, id);
        CPPUNIT_ASSERT(m_policy.tick(m_now + 1200ms).abandon.empty());
    }

    void connections_limitReached_noneIsAdded()
    {
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT(m_policy.add(m_now));
        CPPUNIT_ASSERT(!m_policy.add(m_now));
    }

private:
    TimePoint m_now{Duration(10'000'000)};
    ConnectionPolicy m_policy{3};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPolicyFailureTest);
