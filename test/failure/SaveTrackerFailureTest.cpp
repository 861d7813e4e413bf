// Guards against an acknowledgement of what a restart forgets: upstreams whose leaving had been acknowledged just
// before all control hosts were killed were used again.
#include "hickoryspur/process/SaveTracker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

using namespace hickoryspur;

class SaveTrackerFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SaveTrackerFailureTest);
    CPPUNIT_TEST(change_notSaved_isNotAcknowledged);
    CPPUNIT_TEST(change_afterTheSaveBegan_waitsForTheNextOne);
    CPPUNIT_TEST(save_failed_changesAreReportedAsNotSaved);
    CPPUNIT_TEST(change_allSaved_isAcknowledgedAtOnce);
    CPPUNIT_TEST_SUITE_END();

    SaveTracker m_tracker;
    std::optional<bool> m_result;

    void recordAndAwait()
    {
        m_tracker.recordChange();
        m_tracker.await([this](bool saved) { m_result = saved; });
    }

public:
    void change_notSaved_isNotAcknowledged()
    {
        recordAndAwait();
        CPPUNIT_ASSERT(!m_result);
        m_tracker.end(m_tracker.begin(), true);
        CPPUNIT_ASSERT_EQUAL(true, m_result.value());
    }

    void change_afterTheSaveBegan_waitsForTheNextOne()
    {
        m_tracker.recordChange();
        const uint64_t covered = m_tracker.begin();
        recordAndAwait();
        m_tracker.end(covered, true);
        CPPUNIT_ASSERT(!m_result);
        CPPUNIT_ASSERT(m_tracker.hasUnsaved());
        m_tracker.end(m_tracker.begin(), true);
        CPPUNIT_ASSERT_EQUAL(true, m_result.value());
    }

    void save_failed_changesAreReportedAsNotSaved()
    {
        recordAndAwait();
        m_tracker.end(m_tracker.begin(), false);
        CPPUNIT_ASSERT_EQUAL(false, m_result.value());
        CPPUNIT_ASSERT(m_tracker.hasUnsaved());
    }

    void change_allSaved_isAcknowledgedAtOnce()
    {
        recordAndAwait();
        m_tracker.end(m_tracker.begin(), true);
        m_result.reset();
        m_tracker.await([this](bool saved) { m_result = saved; });
        CPPUNIT_ASSERT_EQUAL(true, m_result.value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SaveTrackerFailureTest);
