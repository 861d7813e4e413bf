#include "hickoryspur/connection/UpstreamRegistry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

/**
 * Guards against routing to upstreams that have ended: late, repeated and reordered heartbeats, reused
 * addresses and missing heartbeats must neither bring one back nor remove one that runs.
 */
class UpstreamRegistryFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamRegistryFailureTest);
    CPPUNIT_TEST(registry_heartbeatOutOfOrder_isIgnored);
    CPPUNIT_TEST(registry_newIncarnation_replacesDespiteLowerSequence);
    CPPUNIT_TEST(registry_lateHeartbeatAfterRemoval_isIgnored);
    CPPUNIT_TEST(registry_addressReusedByNewerIncarnation_olderUpstreamGetsNoWork);
    CPPUNIT_TEST(registry_upstreamLeaving_getsNoWork);
    CPPUNIT_TEST(registry_noHeartbeatsAtAll_noUpstreamExpires);
    CPPUNIT_TEST(registry_noHeartbeatWhileOthersSendTheirs_expires);
    CPPUNIT_TEST(registry_removedWithoutIncarnation_removesCurrentIncarnation);
    CPPUNIT_TEST_SUITE_END();

    static Announcement heartbeat(const std::string &id, uint64_t incarnation, uint64_t sequence,
                                  UpstreamState state = UpstreamState::Ready, uint16_t port = 80)
    {
        Announcement announcement;
        announcement.id = UpstreamId(id);
        announcement.service = ServiceName("s");
        announcement.address = "10.0.0.1";
        announcement.port = port;
        announcement.incarnation = incarnation;
        announcement.sequence = sequence;
        announcement.state = static_cast<uint8_t>(state);
        return announcement;
    }

    size_t replicas() const { return m_registry.replicas(ServiceName("s")).size(); }

public:
    void registry_heartbeatOutOfOrder_isIgnored()
    {
        m_registry.accept(m_now, heartbeat("a", 1, 5, UpstreamState::Leaving));
        CPPUNIT_ASSERT(m_registry.accept(m_now, heartbeat("a", 1, 4)) == RegistryChange::Ignored);
        CPPUNIT_ASSERT_EQUAL(size_t(0), replicas());
    }

    void registry_newIncarnation_replacesDespiteLowerSequence()
    {
        m_registry.accept(m_now, heartbeat("a", 1, 50, UpstreamState::Leaving));
        CPPUNIT_ASSERT(m_registry.accept(m_now, heartbeat("a", 2, 1)) == RegistryChange::Changed);
        CPPUNIT_ASSERT_EQUAL(size_t(1), replicas());
    }

    void registry_lateHeartbeatAfterRemoval_isIgnored()
    {
        m_registry.accept(m_now, heartbeat("a", 7, 5));
        m_registry.remove(m_now, UpstreamId("a"), 7);
        CPPUNIT_ASSERT(m_registry.accept(m_now + 1s, heartbeat("a", 7, 9)) == RegistryChange::Ignored);
        CPPUNIT_ASSERT_EQUAL(size_t(0), replicas());
    }

    void registry_addressReusedByNewerIncarnation_olderUpstreamGetsNoWork()
    {
        m_registry.accept(m_now, heartbeat("old", 1, 5));
        m_registry.accept(m_now, heartbeat("new", 2, 1));
        CPPUNIT_ASSERT_EQUAL(UpstreamId("new"), m_registry.replicas(ServiceName("s")).front());
        CPPUNIT_ASSERT(m_registry.accept(m_now, heartbeat("old", 1, 6)) == RegistryChange::Ignored);
        CPPUNIT_ASSERT(m_registry.accept(m_now, heartbeat("older", 1, 1)) == RegistryChange::Ignored);
        CPPUNIT_ASSERT_EQUAL(size_t(1), replicas());
    }

    void registry_upstreamLeaving_getsNoWork()
    {
        m_registry.accept(m_now, heartbeat("a", 1, 1));
        CPPUNIT_ASSERT(m_registry.accept(m_now, heartbeat("a", 1, 2, UpstreamState::Leaving))
                       == RegistryChange::Changed);
        CPPUNIT_ASSERT_EQUAL(size_t(0), replicas());
    }

    void registry_noHeartbeatsAtAll_noUpstreamExpires()
    {
        m_registry.accept(m_now, heartbeat("a", 1, 1));
        m_registry.removeExpired(m_now + 60s);
        CPPUNIT_ASSERT_EQUAL(size_t(1), replicas());
        CPPUNIT_ASSERT(m_registry.heartbeatAge(*m_registry.find(UpstreamId("a"))) == Duration::zero());
    }

    void registry_noHeartbeatWhileOthersSendTheirs_expires()
    {
        m_registry.accept(m_now, heartbeat("a", 1, 1, UpstreamState::Ready, 80));
        m_registry.accept(m_now, heartbeat("b", 1, 1, UpstreamState::Ready, 81));
        m_registry.recordHeartbeat(m_now + 21s, UpstreamId("b"));
        CPPUNIT_ASSERT(m_registry.heartbeatAge(*m_registry.find(UpstreamId("a"))) == Duration(21s));
        m_registry.removeExpired(m_now + 21s);
        CPPUNIT_ASSERT_EQUAL(UpstreamId("b"), m_registry.replicas(ServiceName("s")).front());
        CPPUNIT_ASSERT_EQUAL(size_t(1), replicas());
    }

    void registry_removedWithoutIncarnation_removesCurrentIncarnation()
    {
        m_registry.accept(m_now, heartbeat("a", 3, 1));
        CPPUNIT_ASSERT(m_registry.remove(m_now, UpstreamId("a"), 0) == RegistryChange::Changed);
        CPPUNIT_ASSERT(m_registry.accept(m_now, heartbeat("a", 3, 2)) == RegistryChange::Ignored);
        CPPUNIT_ASSERT(m_registry.remove(m_now, UpstreamId("a"), 2) == RegistryChange::Ignored);
    }

private:
    TimePoint m_now{1000s};
    UpstreamRegistry m_registry;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamRegistryFailureTest);
