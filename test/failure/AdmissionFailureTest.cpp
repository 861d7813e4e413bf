#include "hickoryspur/request/Admission.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

/**
 * Guards admission control against overload: one caller floods the thread, the queue fills, queries arrive
 * with too little time left, and answers come late.
 */
class AdmissionFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionFailureTest);
    CPPUNIT_TEST(admission_oneCallerFloods_otherCallerGetsItsShare);
    CPPUNIT_TEST(admission_queueFull_refusesFromLongestQueue);
    CPPUNIT_TEST(admission_deadlineTooShort_isRefusedEarly);
    CPPUNIT_TEST(admission_answersLate_lowersLimit);
    CPPUNIT_TEST_SUITE_END();

    static inline const CallerName kHeavyCaller{"loud"};
    static inline const CallerName kLightCaller{"quiet"};

public:
    void admission_oneCallerFloods_otherCallerGetsItsShare()
    {
        Admission admission;
        QueryNumber next = 0;
        for (int i = 0; i < 200; ++i)
            admission.submit(m_now, ++next, kHeavyCaller, 1, m_now + 10s);
        for (int i = 0; i < 20; ++i)
            admission.submit(m_now, 1000 + static_cast<QueryNumber>(i), kLightCaller, 1, m_now + 10s);
        size_t fromLightCaller = 0;
        size_t admitted = 0;
        for (QueryNumber ended = 1; ended <= 20; ++ended)
            for (const QueryNumber query : admission.finished(m_now, ended, true).admit) {
                ++admitted;
                fromLightCaller += query >= 1000 ? 1 : 0;
            }
        CPPUNIT_ASSERT(2 * fromLightCaller + 2 >= admitted);
    }

    void admission_queueFull_refusesFromLongestQueue()
    {
        Admission admission;
        std::vector<QueryNumber> refused;
        for (QueryNumber query = 1; query <= 2 * Admission::kMaxWaiting; ++query)
            for (const auto &[number, code] : admission.submit(m_now, query, kHeavyCaller, 1, m_now + 10s).refuse)
                refused.push_back(number);
        CPPUNIT_ASSERT_EQUAL(Admission::kMaxWaiting, admission.waiting());
        CPPUNIT_ASSERT(admission.submit(m_now, 9999, kLightCaller, 1, m_now + 10s).refuse.front().first != 9999);
        CPPUNIT_ASSERT(!refused.empty());
    }

    void admission_deadlineTooShort_isRefusedEarly()
    {
        Admission admission;
        admission.submit(m_now, 1, kHeavyCaller, 1, m_now + 1s);
        admission.finished(m_now + 100ms, 1, true);
        const AdmissionActions actions = admission.submit(m_now + 100ms, 2, kHeavyCaller, 1, m_now + 150ms);
        CPPUNIT_ASSERT(actions.admit.empty());
        CPPUNIT_ASSERT_EQUAL(ResultCode::DeadlineTooShort, actions.refuse.front().second);
    }

    void admission_answersLate_lowersLimit()
    {
        Admission admission;
        for (QueryNumber query = 1; query <= 30; ++query)
            admission.submit(m_now, query, kHeavyCaller, 1, m_now + 1s);
        for (QueryNumber query = 1; query <= 30; ++query)
            admission.finished(m_now + query * 200ms, query, false);
        CPPUNIT_ASSERT(admission.limit() < Admission::kInitialLimit / 4);
    }

private:
    TimePoint m_now{Duration(10'000'000)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionFailureTest);
