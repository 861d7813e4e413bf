// Guards an entry's split between two versions: a version that was found bad, or that may have been found bad while
// this entry heard no leader, must get no requests, and entries with few requests must keep the share together.
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/request/VersionSplit.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class VersionSplitFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionSplitFailureTest);
    CPPUNIT_TEST(service_withoutMove_usesAnyVersion);
    CPPUNIT_TEST(share_ofManyEntriesWithFewRequests_isKept);
    CPPUNIT_TEST(leader_notHeardForValidity_sendsToOldVersionOnly);
    CPPUNIT_TEST(version_takenBack_getsNothingEvenWithoutOtherReplicas);
    CPPUNIT_TEST(extra_whileMoving_goesToOldVersion);
    CPPUNIT_TEST(move_done_fallsBackToOldReplicasOnlyWithoutNewOnes);
    CPPUNIT_TEST(sample_ofColdUpstream_countsWithoutLatency);
    CPPUNIT_TEST(sample_refused_isNoFailure);
    CPPUNIT_TEST_SUITE_END();

    const ServiceName m_service{"rolls"};
    const TimePoint m_start{1000s};

    static MoveState moving(MoveStatus status, uint32_t sharePpm)
    {
        MoveState state;
        state.to = "v2";
        state.status = static_cast<uint8_t>(status);
        state.sharePpm = sharePpm;
        return state;
    }

    VersionSplit splitWith(const MoveState &state, uint64_t seed = 1) const
    {
        VersionSplit split(seed);
        split.setMoves({{m_service.value(), pack(state)}});
        split.recordLeaderContact(m_start);
        return split;
    }

    VersionSample sample(const char *version, AttemptOutcome outcome) const
    {
        VersionSample result;
        result.service = m_service;
        result.version = VersionName(version);
        result.route = "status";
        result.upstream = UpstreamId("u-1");
        result.outcome = outcome;
        result.latency = 5ms;
        return result;
    }

public:
    void service_withoutMove_usesAnyVersion()
    {
        VersionSplit split(1);
        CPPUNIT_ASSERT(split.pick(m_start, m_service) == VersionGroup::Any);
        CPPUNIT_ASSERT(split.isInGroup(m_service, VersionName("v7"), VersionGroup::Any));
        CPPUNIT_ASSERT(!split.fallback(m_service, VersionGroup::Any));
    }

    void share_ofManyEntriesWithFewRequests_isKept()
    {
        int picked = 0;
        for (uint64_t entry = 0; entry < 300; ++entry) {
            VersionSplit split = splitWith(moving(MoveStatus::Moving, 60'000), entry);
            for (int request = 0; request < 4; ++request)
                picked += split.pick(m_start, m_service) == VersionGroup::New ? 1 : 0;
        }
        // 6% of 1200 requests, within three standard deviations.
        CPPUNIT_ASSERT(picked > 47 && picked < 97);
    }

    void leader_notHeardForValidity_sendsToOldVersionOnly()
    {
        VersionSplit split = splitWith(moving(MoveStatus::Moving, 1'000'000));
        const TimePoint last = m_start + VersionSplit::kShareValidity;
        CPPUNIT_ASSERT(split.pick(last, m_service) == VersionGroup::New);
        CPPUNIT_ASSERT(split.pick(last + 1ms, m_service) == VersionGroup::Old);
        split.recordLeaderContact(last + 2ms);
        CPPUNIT_ASSERT(split.pick(last + 2ms, m_service) == VersionGroup::New);
    }

    void version_takenBack_getsNothingEvenWithoutOtherReplicas()
    {
        VersionSplit split = splitWith(moving(MoveStatus::TakenBack, 0));
        CPPUNIT_ASSERT(split.pick(m_start, m_service) == VersionGroup::Old);
        CPPUNIT_ASSERT(!split.isInGroup(m_service, VersionName("v2"), VersionGroup::Old));
        CPPUNIT_ASSERT(!split.fallback(m_service, VersionGroup::Old));
    }

    void extra_whileMoving_goesToOldVersion()
    {
        const VersionSplit split = splitWith(moving(MoveStatus::Moving, 60'000));
        CPPUNIT_ASSERT(split.pickForExtra(m_service, VersionGroup::New) == VersionGroup::Old);
        // With the whole traffic on the new version, the old one is about to be stopped.
        const VersionSplit last = splitWith(moving(MoveStatus::Moving, 1'000'000));
        CPPUNIT_ASSERT(last.pickForExtra(m_service, VersionGroup::New) == VersionGroup::New);
    }

    void move_done_fallsBackToOldReplicasOnlyWithoutNewOnes()
    {
        VersionSplit split = splitWith(moving(MoveStatus::Done, 1'000'000));
        CPPUNIT_ASSERT(split.pick(m_start + 1h, m_service) == VersionGroup::New);
        CPPUNIT_ASSERT(split.fallback(m_service, VersionGroup::New) == VersionGroup::Old);
    }

    void sample_ofColdUpstream_countsWithoutLatency()
    {
        VersionSplit split = splitWith(moving(MoveStatus::Moving, 60'000));
        VersionSample cold = sample("v2", AttemptOutcome::Answered);
        cold.cold = true;
        split.record(cold);
        split.record(sample("v1", AttemptOutcome::Failed));
        ServiceObservation observed = split.drainObservations().services.at("rolls");
        const SubRequestTally fresh = observed.versions.at("v2").at("status").total();
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), fresh.requests);
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), fresh.latency.count());
        // A version other than the target counts as the old one, whatever its name.
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), observed.versions.at("").at("status").total().failures);
        CPPUNIT_ASSERT(split.drainObservations().empty());
    }

    void sample_refused_isNoFailure()
    {
        VersionSplit split = splitWith(moving(MoveStatus::Moving, 60'000));
        split.record(sample("v2", AttemptOutcome::Refused));
        split.record(sample("v2", AttemptOutcome::NotSent));
        split.record(sample("v2", AttemptOutcome::Cancelled));
        ServiceObservation observed = split.drainObservations().services.at("rolls");
        const SubRequestTally tally = observed.versions.at("v2").at("status").total();
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), tally.requests);
        CPPUNIT_ASSERT_EQUAL(uint64_t(1), tally.refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionSplitFailureTest);
