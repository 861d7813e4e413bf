// Guards against lost acknowledged documents, keys granted twice, and documents lost in disk repairs.
// Each run draws crashes, partitions, lossy links, freezes and restarts from a seed.
#include "fakes/RandomRuns.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class ControlRandomRunTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlRandomRunTest);
    CPPUNIT_TEST(documents_underAllFaults_keepEveryAcknowledgedVersion);
    CPPUNIT_TEST(claims_underAllFaults_grantEachKeyAtMostOnce);
    CPPUNIT_TEST(repairs_underAllFaults_keepEveryAcknowledgedVersion);
    CPPUNIT_TEST_SUITE_END();

    static constexpr uint64_t kSeeds = 12;
    static constexpr uint64_t kSteps = 60;

public:
    void documents_underAllFaults_keepEveryAcknowledgedVersion()
    {
        for (uint64_t seed = 1; seed <= kSeeds; ++seed)
            runDocuments(seed, kSteps, {});
    }

    void claims_underAllFaults_grantEachKeyAtMostOnce()
    {
        for (uint64_t seed = 1; seed <= kSeeds; ++seed)
            runClaims(seed, kSteps, {});
    }

    void repairs_underAllFaults_keepEveryAcknowledgedVersion()
    {
        for (uint64_t seed = 1; seed <= kSeeds; ++seed)
            runRepairs(seed, kSteps, {});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlRandomRunTest);
