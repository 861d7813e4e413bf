#include "hickoryspur/process/ControlHostBook.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace hickoryspur;

class ControlHostBookFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlHostBookFailureTest);
    CPPUNIT_TEST(book_leaderIsNoSeed_isNamedByAnUnconfirmedSeed);
    CPPUNIT_TEST(book_seedsExchanged_oldOnesStayWhileNamed);
    CPPUNIT_TEST(book_allSourcesLost_lastWordIsKept);
    CPPUNIT_TEST(book_guestAsksAgain_staysAndThenLeaves);
    CPPUNIT_TEST_SUITE_END();

    static inline const NodeId kSeed{"10.0.0.1:7000"};
    static inline const NodeId kOtherSeed{"10.0.0.2:7000"};
    static inline const NodeId kLeader{"10.0.0.9:7000"};

    static bool has(const std::vector<NodeId> &hosts, const NodeId &host)
    {
        return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
    }

public:
    void book_leaderIsNoSeed_isNamedByAnUnconfirmedSeed()
    {
        ControlHostBook book;
        book.setSeeds({kSeed});
        CPPUNIT_ASSERT(book.noteNamed(kSeed, {kSeed, kLeader}));
        CPPUNIT_ASSERT(has(book.hosts(m_now), kLeader));
    }

    void book_seedsExchanged_oldOnesStayWhileNamed()
    {
        ControlHostBook book;
        book.setSeeds({kSeed});
        book.noteNamed(kSeed, {kSeed, kLeader});
        CPPUNIT_ASSERT(book.setSeeds({kOtherSeed}));
        CPPUNIT_ASSERT(has(book.hosts(m_now), kSeed));
        book.noteNamed(kSeed, {kLeader});
        CPPUNIT_ASSERT(!has(book.hosts(m_now), kSeed));
    }

    void book_allSourcesLost_lastWordIsKept()
    {
        ControlHostBook book;
        book.setSeeds({kSeed});
        book.noteNamed(kSeed, {kSeed, kLeader});
        book.noteNamed(kLeader, {kSeed, kLeader});
        book.forgetSource(kSeed);
        book.forgetSource(kLeader);
        CPPUNIT_ASSERT(has(book.hosts(m_now), kLeader));
    }

    void book_guestAsksAgain_staysAndThenLeaves()
    {
        ControlHostBook book;
        CPPUNIT_ASSERT(book.noteGuest(m_now, kLeader));
        CPPUNIT_ASSERT(!book.noteGuest(m_now + 1s, kLeader));
        CPPUNIT_ASSERT(has(book.hosts(m_now + 5s), kLeader));
        CPPUNIT_ASSERT(!has(book.hosts(m_now + 7s), kLeader));
    }

private:
    TimePoint m_now{1000s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlHostBookFailureTest);
