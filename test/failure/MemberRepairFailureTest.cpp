// Guards against membership changes that lower the number of losses that the control group tolerates, and
// against voters that have ended but are kept while others could replace them.
#include "hickoryspur/process/MemberRepair.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace hickoryspur;

class MemberRepairFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberRepairFailureTest);
    CPPUNIT_TEST(repair_evenVotersAndOneSilent_removesIt);
    CPPUNIT_TEST(repair_oddVotersAndOneSilent_keepsIt);
    CPPUNIT_TEST(repair_allPlacesTakenAndOneVoterSilent_makesRoomForALearner);
    CPPUNIT_TEST(repair_silentLearner_isNotASpare);
    CPPUNIT_TEST(repair_fewestVotersAndOneSilent_admitsTheLearnerFirst);
    CPPUNIT_TEST(repair_diskReplacedWhileAllPlacesAreTaken_removesTheLostDiskFirst);
    CPPUNIT_TEST(repair_lostVoter_isRemovedDownToTheMinimum);
    CPPUNIT_TEST_SUITE_END();

    static MemberId member(const std::string &host, uint64_t disk = 1) { return {NodeId(host), DiskIncarnation(disk)}; }

    static std::vector<MemberId> members(const std::string &hosts)
    {
        std::vector<MemberId> result;
        for (const char host : hosts)
            result.push_back(member(std::string(1, host)));
        return result;
    }

    static RepairInputs inputs(const std::string &silent, const std::string &lost = "")
    {
        const auto isOneOf = [](const std::string &hosts) {
            return [hosts](const MemberId &id) { return hosts.find(id.node.value()) != std::string::npos; };
        };
        RepairInputs result;
        result.isSilent = isOneOf(silent);
        result.isLost = isOneOf(lost);
        result.isCaughtUp = [isSilent = result.isSilent](const MemberId &id) { return !isSilent(id); };
        result.maxVoters = 5;
        result.minVoters = 3;
        return result;
    }

public:
    void repair_evenVotersAndOneSilent_removesIt()
    {
        const auto next = nextRepairStep({members("abcd"), {}}, inputs("b"));
        CPPUNIT_ASSERT(next && next->voters == members("acd"));
    }

    void repair_oddVotersAndOneSilent_keepsIt()
    {
        CPPUNIT_ASSERT(!nextRepairStep({members("abc"), {}}, inputs("b")));
        CPPUNIT_ASSERT(!nextRepairStep({members("abcde"), {}}, inputs("b")));
    }

    void repair_allPlacesTakenAndOneVoterSilent_makesRoomForALearner()
    {
        const auto removed = nextRepairStep({members("abcde"), members("f")}, inputs("b"));
        CPPUNIT_ASSERT(removed && removed->voters == members("acde"));
        const auto admitted = nextRepairStep(*removed, inputs("b"));
        CPPUNIT_ASSERT(admitted && admitted->voters == members("acdef"));
    }

    void repair_silentLearner_isNotASpare()
    {
        CPPUNIT_ASSERT(!nextRepairStep({members("abcde"), members("f")}, inputs("bf")));
        CPPUNIT_ASSERT(!nextRepairStep({members("abc"), members("f")}, inputs("f")));
    }

    void repair_fewestVotersAndOneSilent_admitsTheLearnerFirst()
    {
        const auto admitted = nextRepairStep({members("abc"), members("d")}, inputs("b"));
        CPPUNIT_ASSERT(admitted && admitted->voters == members("abcd"));
        const auto removed = nextRepairStep(*admitted, inputs("b"));
        CPPUNIT_ASSERT(removed && removed->voters == members("acd"));
        CPPUNIT_ASSERT(!nextRepairStep(*removed, inputs("b")));
    }

    void repair_diskReplacedWhileAllPlacesAreTaken_removesTheLostDiskFirst()
    {
        const Membership current{members("abcde"), {member("f"), member("b", 2)}};
        const auto next = nextRepairStep(current, inputs(""));
        CPPUNIT_ASSERT(next && next->voters == members("acde"));
    }

    void repair_lostVoter_isRemovedDownToTheMinimum()
    {
        const auto next = nextRepairStep({members("abcde"), {}}, inputs("b", "b"));
        CPPUNIT_ASSERT(next && next->voters == members("acde"));
        CPPUNIT_ASSERT(!nextRepairStep({members("abc"), {}}, inputs("b", "b")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberRepairFailureTest);
