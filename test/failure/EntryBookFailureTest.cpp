#include "hickoryspur/process/EntryBook.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class EntryBookFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryBookFailureTest);
    CPPUNIT_TEST(book_controlHostFrozen_itsWordRunsOut);
    CPPUNIT_TEST(book_oneControlHostLostAnEntry_theOthersNameIt);
    CPPUNIT_TEST(book_allControlHostsLost_lastWordHolds);
    CPPUNIT_TEST(book_cutOffWithOneControlHost_namesTheOtherSide);
    CPPUNIT_TEST_SUITE_END();

    using Addresses = std::vector<std::string>;
    static inline const NodeId kFirst{"10.0.0.1:7000"};
    static inline const NodeId kSecond{"10.0.0.2:7000"};

public:
    void book_controlHostFrozen_itsWordRunsOut()
    {
        EntryBook book;
        book.note(m_now, kFirst, {"a", "killed"});
        book.note(m_now, kSecond, {"a"});
        book.heard(m_now + 2s, kSecond);
        CPPUNIT_ASSERT(book.addresses(m_now + 2s, 1) == Addresses{"a"});
        CPPUNIT_ASSERT_EQUAL(1U, book.count(m_now + 2s));
    }

    void book_oneControlHostLostAnEntry_theOthersNameIt()
    {
        EntryBook book;
        book.note(m_now, kFirst, {"a", "b"});
        book.note(m_now, kSecond, {"a"});
        CPPUNIT_ASSERT((book.addresses(m_now, 2) == Addresses{"a", "b"}));
        CPPUNIT_ASSERT_EQUAL(2U, book.count(m_now));
    }

    void book_allControlHostsLost_lastWordHolds()
    {
        EntryBook book;
        book.note(m_now, kFirst, {"a", "b"});
        CPPUNIT_ASSERT((book.addresses(m_now + 60s, 1) == Addresses{"a", "b"}));
    }

    void book_cutOffWithOneControlHost_namesTheOtherSide()
    {
        EntryBook book;
        book.note(m_now, kFirst, {"far", "near"});
        book.note(m_now, kSecond, {"far", "near"});
        book.note(m_now + 5s, NodeId("third"), {"near"});
        CPPUNIT_ASSERT(book.addresses(m_now + 5s, 3) == Addresses{"far"});
    }

private:
    TimePoint m_now{1000s};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryBookFailureTest);
