// Guards the memory of a process against peers that send bytes without end on many connections: the bytes of all
// messages together stay within one limit, and the largest message is given up first, so that others are served.
#include "hickoryspur/process/ByteBudget.h"
#include "hickoryspur/process/Metrics.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class ByteBudgetFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ByteBudgetFailureTest);
    CPPUNIT_TEST(budget_exceeded_largestMessageIsGivenUp);
    CPPUNIT_TEST(budget_exceededByTheLargest_refusesItsGrowth);
    CPPUNIT_TEST(budget_pinnedBytesUseItUp_newLargeMessageIsGivenUp);
    CPPUNIT_TEST(budget_shareDestroyed_bytesAreFree);
    CPPUNIT_TEST(budget_manyMessagesWithoutEnd_sumStaysWithinLimit);
    CPPUNIT_TEST(budget_smallMessages_areNotCounted);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t kLimitBytes = 1000UL * 1024;
    static constexpr size_t kKilobyte = 1024;

    ByteBudget m_budget{kLimitBytes};

    ByteBudget::Share share(int *givenUp = nullptr)
    {
        return {m_budget, "test", [givenUp] {
                    if (givenUp)
                        ++*givenUp;
                }};
    }

public:
    void budget_exceeded_largestMessageIsGivenUp()
    {
        const int64_t before = Metrics::counter("hickoryspur_messages_given_up_total").value();
        int largeGivenUp = 0;
        ByteBudget::Share large = share(&largeGivenUp);
        ByteBudget::Share small = share();
        CPPUNIT_ASSERT(large.resize(900 * kKilobyte));
        CPPUNIT_ASSERT(small.resize(200 * kKilobyte));
        CPPUNIT_ASSERT_EQUAL(1, largeGivenUp);
        CPPUNIT_ASSERT_EQUAL(200 * kKilobyte, m_budget.heldBytes());
        CPPUNIT_ASSERT(!large.resize(901 * kKilobyte));
        CPPUNIT_ASSERT_EQUAL(before + 1, Metrics::counter("hickoryspur_messages_given_up_total").value());
    }

    void budget_exceededByTheLargest_refusesItsGrowth()
    {
        ByteBudget::Share large = share();
        ByteBudget::Share small = share();
        CPPUNIT_ASSERT(small.resize(200 * kKilobyte));
        CPPUNIT_ASSERT(large.resize(700 * kKilobyte));
        CPPUNIT_ASSERT(!large.resize(900 * kKilobyte));
        CPPUNIT_ASSERT(small.resize(300 * kKilobyte));
    }

    void budget_pinnedBytesUseItUp_newLargeMessageIsGivenUp()
    {
        ByteBudget::Share pinned = share();
        CPPUNIT_ASSERT(pinned.resize(900 * kKilobyte));
        pinned.pin();
        ByteBudget::Share next = share();
        CPPUNIT_ASSERT(!next.resize(200 * kKilobyte));
        CPPUNIT_ASSERT_EQUAL(900 * kKilobyte, m_budget.heldBytes());
    }

    void budget_shareDestroyed_bytesAreFree()
    {
        {
            ByteBudget::Share first = share();
            CPPUNIT_ASSERT(first.resize(900 * kKilobyte));
            ByteBudget::Share moved = std::move(first);
            CPPUNIT_ASSERT_EQUAL(900 * kKilobyte, m_budget.heldBytes());
            moved = share();
            CPPUNIT_ASSERT_EQUAL(size_t{0}, m_budget.heldBytes());
            CPPUNIT_ASSERT(moved.resize(900 * kKilobyte));
        }
        CPPUNIT_ASSERT_EQUAL(size_t{0}, m_budget.heldBytes());
    }

    void budget_manyMessagesWithoutEnd_sumStaysWithinLimit()
    {
        std::vector<ByteBudget::Share> shares(100);
        for (ByteBudget::Share &one : shares)
            one = share();
        for (size_t bytes = kKilobyte; bytes <= kLimitBytes; bytes *= 2)
            for (ByteBudget::Share &one : shares) {
                static_cast<void>(one.resize(bytes));
                CPPUNIT_ASSERT(m_budget.heldBytes() <= kLimitBytes);
            }
    }

    void budget_smallMessages_areNotCounted()
    {
        ByteBudget::Share small = share();
        CPPUNIT_ASSERT(small.resize(ByteBudget::kUncountedBytes));
        CPPUNIT_ASSERT_EQUAL(size_t{0}, m_budget.heldBytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteBudgetFailureTest);
