#include "hickoryspur/connection/UpstreamDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

/**
 * Guards against stale, reordered and conflicting announcements, lost broadcasts between entries, and
 * unnecessary changes of homes when an entry is lost.
 */
class UpstreamDirectoryFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamDirectoryFailureTest);
    CPPUNIT_TEST(upstream_announcementsStop_expires);
    CPPUNIT_TEST(upstream_announcementRepeated_broadcastsOnlyARefresh);
    CPPUNIT_TEST(upstream_newIncarnationAtSameAddress_replacesOldRecord);
    CPPUNIT_TEST(upstream_lateAnnouncementOfOldIncarnation_isIgnored);
    CPPUNIT_TEST(upstream_sameIdAtAnotherAddress_isConflictAndFirstIsKept);
    CPPUNIT_TEST(upstream_leaving_isBroadcastAtOnce);
    CPPUNIT_TEST(entry_recordMissing_requestsItAfterRefresh);
    CPPUNIT_TEST(home_entryLost_movesOnlyItsUpstreams);
    CPPUNIT_TEST(announcement_malformed_isRejected);
    CPPUNIT_TEST_SUITE_END();

    static Announcement make(uint64_t incarnation, uint64_t sequence, uint16_t port = 9000)
    {
        Announcement announcement;
        announcement.id = UpstreamId("u");
        announcement.incarnation = incarnation;
        announcement.sequence = sequence;
        announcement.address = "10.0.0.1";
        announcement.port = port;
        return announcement;
    }

public:
    void setUp() override { m_directory = UpstreamDirectory(); }

    void upstream_announcementsStop_expires()
    {
        m_directory.announce(m_now, make(1, 1));
        m_directory.tick(m_now + UpstreamDirectory::kRecordLifetime);
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_directory.size());
        m_directory.tick(m_now + UpstreamDirectory::kRecordLifetime + 1ms);
        CPPUNIT_ASSERT_EQUAL(size_t(0), m_directory.size());
    }

    void upstream_announcementRepeated_broadcastsOnlyARefresh()
    {
        m_directory.announce(m_now, make(1, 1));
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_directory.tick(m_now).records.size());
        m_directory.announce(m_now + 1s, make(1, 2));
        const DirectoryUpdate update = m_directory.tick(m_now + 1s);
        CPPUNIT_ASSERT(update.records.empty());
        CPPUNIT_ASSERT_EQUAL(size_t(1), update.refreshes.size());
    }

    void upstream_newIncarnationAtSameAddress_replacesOldRecord()
    {
        m_directory.announce(m_now, make(1, 50));
        CPPUNIT_ASSERT(m_directory.announce(m_now, make(2, 1)) == DirectoryChange::Restarted);
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), m_directory.records()[0].incarnation);
    }

    void upstream_lateAnnouncementOfOldIncarnation_isIgnored()
    {
        m_directory.announce(m_now, make(2, 1));
        m_directory.announce(m_now, make(1, 99));
        CPPUNIT_ASSERT_EQUAL(uint64_t(2), m_directory.records()[0].incarnation);
    }

    void upstream_sameIdAtAnotherAddress_isConflictAndFirstIsKept()
    {
        m_directory.announce(m_now, make(1, 1));
        CPPUNIT_ASSERT(m_directory.announce(m_now, make(1, 2, 9001)) == DirectoryChange::Conflict);
        CPPUNIT_ASSERT_EQUAL(uint16_t(9000), m_directory.records()[0].port);
    }

    void upstream_leaving_isBroadcastAtOnce()
    {
        m_directory.announce(m_now, make(1, 1));
        m_directory.tick(m_now);
        Announcement leaving = make(1, 2);
        leaving.state = static_cast<uint8_t>(UpstreamState::Leaving);
        CPPUNIT_ASSERT(m_directory.announce(m_now + 10ms, leaving) == DirectoryChange::Leaving);
        CPPUNIT_ASSERT_EQUAL(size_t(1), m_directory.tick(m_now + 10ms).records.size());
    }

    void entry_recordMissing_requestsItAfterRefresh()
    {
        m_directory.announce(m_now, make(1, 1));
        UpstreamDirectory other;
        DirectoryUpdate refresh;
        refresh.refreshes.push_back({UpstreamId("u"), 1, 2});
        const DirectoryUpdate request = other.merge(m_now, refresh);
        CPPUNIT_ASSERT_EQUAL(size_t(1), request.wanted.size());
        other.merge(m_now, m_directory.lookUpWanted(request.wanted));
        CPPUNIT_ASSERT_EQUAL(size_t(1), other.size());
    }

    void home_entryLost_movesOnlyItsUpstreams()
    {
        const std::vector<NodeId> all = {NodeId("a"), NodeId("b"), NodeId("c"), NodeId("d")};
        const std::vector<NodeId> rest = {NodeId("a"), NodeId("b"), NodeId("d")};
        for (int i = 0; i < 500; ++i) {
            const UpstreamId id("u" + std::to_string(i));
            const NodeId before = homeOf(id, {}, all);
            const NodeId after = homeOf(id, {}, rest);
            CPPUNIT_ASSERT(before == after || before == NodeId("c"));
        }
    }

    void announcement_malformed_isRejected()
    {
        const Result<Announcement> result = parseAnnouncement(R"({"id": "u", "service": 5})");
        CPPUNIT_ASSERT_EQUAL(ResultCode::MalformedRequest, result.error().code);
        CPPUNIT_ASSERT(!parseAnnouncement("not json"));
        CPPUNIT_ASSERT(!parseAnnouncement("[1,2]"));
    }

private:
    TimePoint m_now{Duration(10'000'000)};
    UpstreamDirectory m_directory;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamDirectoryFailureTest);
