#include "hickoryspur/connection/UpstreamReachability.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace hickoryspur;

/**
 * Guards against an entry that is cut off from all upstreams and goes on serving nobody, and against one that takes
 * upstreams that have ended for a lost way: it would hand its requests to others for nothing.
 */
class UpstreamReachabilityFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamReachabilityFailureTest);
    CPPUNIT_TEST(connections_allSilent_cutOffIsKnownWithinHalfASecond);
    CPPUNIT_TEST(connections_allRefused_cutOffIsKnownAtOnce);
    CPPUNIT_TEST(upstreams_someEnded_isNotCutOff);
    CPPUNIT_TEST(upstreams_allGoneWithTheirHeartbeats_isNotCutOff);
    CPPUNIT_TEST(upstream_oneSilent_isNotProbed);
    CPPUNIT_TEST(upstreams_slowWithAnswersBetween_areNotProbed);
    CPPUNIT_TEST(oldConnections_answerWhileNewOnesFail_staysCutOff);
    CPPUNIT_TEST(way_backAgain_isKnownByTheNextProbe);
    CPPUNIT_TEST(probes_whileCutOff_comeAtGrowingPauses);
    CPPUNIT_TEST(probe_repliesAfterTheRound_changeNothing);
    CPPUNIT_TEST_SUITE_END();

    const TimePoint m_start{1000s};
    UpstreamReachability m_reachability{7};
    std::vector<UpstreamId> m_alive = upstreams(30);

    static UpstreamId upstream(size_t index) { return UpstreamId("upstream" + std::to_string(index)); }

    static std::vector<UpstreamId> upstreams(size_t count)
    {
        std::vector<UpstreamId> list;
        for (size_t i = 0; i < count; ++i)
            list.push_back(upstream(i));
        return list;
    }

    std::vector<UpstreamId> tick(TimePoint now)
    {
        return m_reachability.tick(now, [this] { return m_alive; });
    }

    void endProbes(TimePoint now, const std::vector<UpstreamId> &probes, bool connected)
    {
        for (size_t i = 0; i < probes.size(); ++i)
            m_reachability.recordProbe(now, connected);
    }

    /** Leaves the entry cut off. */
    void cutOff(TimePoint now)
    {
        for (size_t i = 0; i < UpstreamReachability::kMinFailed; ++i)
            m_reachability.recordConnectFailed(now, upstream(i));
        endProbes(now, tick(now), false);
        CPPUNIT_ASSERT(m_reachability.isCutOff());
    }

public:
    void connections_allSilent_cutOffIsKnownWithinHalfASecond()
    {
        for (size_t i = 0; i < 10; ++i)
            m_reachability.recordSent(m_start, upstream(i));
        CPPUNIT_ASSERT(tick(m_start + 150ms).empty());
        const std::vector<UpstreamId> probes = tick(m_start + 250ms);
        CPPUNIT_ASSERT_EQUAL(UpstreamReachability::kProbes, probes.size());
        CPPUNIT_ASSERT(!m_reachability.isCutOff());
        endProbes(m_start + 250ms + UpstreamReachability::kProbeTimeout, probes, false);
        CPPUNIT_ASSERT(m_reachability.isCutOff());
    }

    void connections_allRefused_cutOffIsKnownAtOnce() { cutOff(m_start); }

    void upstreams_someEnded_isNotCutOff()
    {
        for (size_t i = 0; i < 12; ++i)
            m_reachability.recordConnectFailed(m_start, upstream(i));
        const std::vector<UpstreamId> probes = tick(m_start);
        // None of those that failed is probed while there are others.
        for (const UpstreamId &probe : probes)
            CPPUNIT_ASSERT(std::stoul(probe.value().substr(8)) >= 12);
        endProbes(m_start, probes, true);
        CPPUNIT_ASSERT(!m_reachability.isCutOff());
        CPPUNIT_ASSERT(tick(m_start + 1s).empty());
    }

    void upstreams_allGoneWithTheirHeartbeats_isNotCutOff()
    {
        cutOff(m_start);
        m_alive.clear();
        CPPUNIT_ASSERT(tick(m_start + 1s).empty());
        CPPUNIT_ASSERT(!m_reachability.isCutOff());
    }

    void upstream_oneSilent_isNotProbed()
    {
        m_reachability.recordSent(m_start, upstream(1));
        m_reachability.recordLost(m_start, upstream(2));
        CPPUNIT_ASSERT(tick(m_start + 1s).empty());
    }

    void upstreams_slowWithAnswersBetween_areNotProbed()
    {
        for (size_t i = 0; i < 10; ++i)
            m_reachability.recordSent(m_start, upstream(i));
        m_reachability.recordAnswer();
        m_reachability.recordSent(m_start + 190ms, upstream(3));
        CPPUNIT_ASSERT(tick(m_start + 300ms).empty());
    }

    void oldConnections_answerWhileNewOnesFail_staysCutOff()
    {
        cutOff(m_start);
        m_reachability.recordAnswer();
        CPPUNIT_ASSERT(m_reachability.isCutOff());
        endProbes(m_start + 1s, tick(m_start + 1s), false);
        CPPUNIT_ASSERT(m_reachability.isCutOff());
    }

    void way_backAgain_isKnownByTheNextProbe()
    {
        cutOff(m_start);
        const TimePoint later = m_start + 2 * UpstreamReachability::kMaxProbePause;
        const std::vector<UpstreamId> probes = tick(later);
        CPPUNIT_ASSERT(!probes.empty());
        m_reachability.recordProbe(later, true);
        CPPUNIT_ASSERT(!m_reachability.isCutOff());
    }

    void probes_whileCutOff_comeAtGrowingPauses()
    {
        cutOff(m_start);
        size_t rounds = 0;
        for (TimePoint now = m_start; now < m_start + 10s; now += 10ms) {
            const std::vector<UpstreamId> probes = tick(now);
            rounds += probes.empty() ? 0 : 1;
            endProbes(now, probes, false);
        }
        CPPUNIT_ASSERT(rounds >= 18);
        CPPUNIT_ASSERT(rounds <= 40);
    }

    void probe_repliesAfterTheRound_changeNothing()
    {
        m_reachability.recordProbe(m_start, false);
        CPPUNIT_ASSERT(!m_reachability.isCutOff());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamReachabilityFailureTest);
