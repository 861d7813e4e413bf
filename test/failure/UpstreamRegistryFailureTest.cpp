#include "hickoryspur/connection/UpstreamRegistry.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class UpstreamRegistryFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamRegistryFailureTest);
    CPPUNIT_TEST(registry_heartbeatOvertaken_isIgnored);
    CPPUNIT_TEST(registry_sameIdLaterLife_replacesWhateverItsSequence);
    CPPUNIT_TEST(registry_lateHeartbeatAfterTheEnd_doesNotBringItBack);
    CPPUNIT_TEST(registry_addressTakenByALaterLife_earlierOneGetsNoWork);
    CPPUNIT_TEST(registry_leaving_getsNoWork);
    CPPUNIT_TEST(registry_allControlHostsLost_nobodyIsSilent);
    CPPUNIT_TEST(registry_silentWhileOthersAreHeard_isForgotten);
    CPPUNIT_TEST(registry_endWithoutIncarnation_endsTheKnownLife);
    CPPUNIT_TEST_SUITE_END();

    static Announcement beat(const std::string &id, uint64_t born, uint64_t sequence,
                             UpstreamState state = UpstreamState::Ready, uint16_t port = 80)
    {
        Announcement announcement;
        announcement.id = UpstreamId(id);
        announcement.service = ServiceName("s");
        announcement.address = "10.0.0.1";
        announcement.port = port;
        announcement.incarnation = born;
        announcement.sequence = sequence;
        announcement.state = static_cast<uint8_t>(state);
        return announcement;
    }

    size_t replicas() const { return m_registry.replicas(ServiceName("s")).size(); }

public:
    void registry_heartbeatOvertaken_isIgnored()
    {
        m_registry.accept(m_now, beat("a", 1, 5, UpstreamState::Leaving));
        CPPUNIT_ASSERT(m_registry.accept(m_now, beat("a", 1, 4)) == RegistryChange::Ignored);
        CPPUNIT_ASSERT_EQUAL(size_t(0), replicas());
    }

    void registry_sameIdLaterLife_replacesWhateverItsSequence()
    {
        m_registry.accept(m_now, beat("a", 1, 50, UpstreamState::Leaving));
        CPPUNIT_ASSERT(m_registry.accept(m_now, beat("a", 2, 1)) == RegistryChange::Changed);
        CPPUNIT_ASSERT_EQUAL(size_t(1), replicas());
    }

    void registry_lateHeartbeatAfterTheEnd_doesNotBringItBack()
    {
        m_registry.accept(m_now, beat("a", 7, 5));
        m_registry.remove(m_now, UpstreamId("a"), 7);
        CPPUNIT_ASSERT(m_registry.accept(m_now + 1s, beat("a", 7, 9)) == RegistryChange::Ignored);
        CPPUNIT_ASSERT_EQUAL(size_t(0), replicas());
    }

    void registry_addressTakenByALaterLife_earlierOneGetsNoWork()
    {
        m_registry.accept(m_now, beat("old", 1, 5));
        m_registry.accept(m_now, beat("new", 2, 1));
        CPPUNIT_ASSERT_EQUAL(UpstreamId("new"), m_registry.replicas(ServiceName("s")).front());
        CPPUNIT_ASSERT(m_registry.accept(m_now, beat("old", 1, 6)) == RegistryChange::Ignored);
        CPPUNIT_ASSERT(m_registry.accept(m_now, beat("older", 1, 1)) == RegistryChange::Ignored);
        CPPUNIT_ASSERT_EQUAL(size_t(1), replicas());
    }

    void registry_leaving_getsNoWork()
    {
        m_registry.accept(m_now, beat("a", 1, 1));
        CPPUNIT_ASSERT(m_registry.accept(m_now, beat("a", 1, 2, UpstreamState::Leaving)) == RegistryChange::Changed);
        CPPUNIT_ASSERT_EQUAL(size_t(0), replicas());
    }

    void registry_allControlHostsLost_nobodyIsSilent()
    {
        m_registry.accept(m_now, beat("a", 1, 1));
        m_registry.forgetSilent(m_now + 60s);
        CPPUNIT_ASSERT_EQUAL(size_t(1), replicas());
        CPPUNIT_ASSERT(m_registry.silence(UpstreamId("a")) == Duration::zero());
    }

    void registry_silentWhileOthersAreHeard_isForgotten()
    {
        m_registry.accept(m_now, beat("a", 1, 1, UpstreamState::Ready, 80));
        m_registry.accept(m_now, beat("b", 1, 1, UpstreamState::Ready, 81));
        m_registry.heard(m_now + 21s, UpstreamId("b"));
        CPPUNIT_ASSERT(m_registry.silence(UpstreamId("a")) == Duration(21s));
        m_registry.forgetSilent(m_now + 21s);
        CPPUNIT_ASSERT_EQUAL(UpstreamId("b"), m_registry.replicas(ServiceName("s")).front());
        CPPUNIT_ASSERT_EQUAL(size_t(1), replicas());
    }

    void registry_endWithoutIncarnation_endsTheKnownLife()
    {
        m_registry.accept(m_now, beat("a", 3, 1));
        CPPUNIT_ASSERT(m_registry.remove(m_now, UpstreamId("a"), 0) == RegistryChange::Changed);
        CPPUNIT_ASSERT(m_registry.accept(m_now, beat("a", 3, 2)) == RegistryChange::Ignored);
        CPPUNIT_ASSERT(m_registry.remove(m_now, UpstreamId("a"), 2) == RegistryChange::Ignored);
    }

private:
    TimePoint m_now{1000s};
    UpstreamRegistry m_registry;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamRegistryFailureTest);
