#include "app/EntrySessions.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

/**
 * Guards a control host against the sessions of hundreds of entries that start at the same moment, as after a loss of
 * power: with work for each of them that grows with the number of upstreams it answers nobody in time, no leader is
 * heard, and no configuration can be read.
 */
class EntrySessionsFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntrySessionsFailureTest);
    CPPUNIT_TEST(sessions_hundredsOpenAtOnce_stateIsSentInBatches);
    CPPUNIT_TEST(sessions_endedWhileWaiting_useNoPlaceInABatch);
    CPPUNIT_TEST(sessions_waiting_areNotSentRoutes);
    CPPUNIT_TEST(entries_cutOffFromUpstreams_areOfferedOnlyIfAllAre);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t kEntries = 291;
    static constexpr size_t kBatch = 20;

    EntrySessions::Link open(EntrySessions &sessions)
    {
        auto link = std::make_shared<FrameLink>(
            boost::asio::ip::tcp::socket(m_context), [](const auto &, const PeerMessage &) {}, [](const auto &) {});
        EntryStatus status;
        status.entry = NodeId("entry");
        sessions.recordStatus(link, status);
        return link;
    }

    static size_t waiting(const EntrySessions &sessions, const std::vector<EntrySessions::Link> &links)
    {
        size_t count = 0;
        for (const EntrySessions::Link &link : links)
            count += sessions.awaitsState(link) ? 1 : 0;
        return count;
    }

    /** Records that an entry callers may be sent to is, or is not, cut off. */
    static bool report(EntrySessions &sessions, const EntrySessions::Link &link, const std::string &address,
                       bool cutOff)
    {
        EntryStatus status;
        status.entry = NodeId(address);
        status.callerAddress = address;
        status.offered = true;
        status.cutOff = cutOff;
        return sessions.recordStatus(link, status).offeredChanged;
    }

public:
    void entries_cutOffFromUpstreams_areOfferedOnlyIfAllAre()
    {
        EntrySessions sessions(NodeId("control"));
        const EntrySessions::Link first = open(sessions);
        const EntrySessions::Link second = open(sessions);
        report(sessions, first, "first", false);
        report(sessions, second, "second", false);
        CPPUNIT_ASSERT_EQUAL(size_t(2), sessions.offeredEntries().size());
        CPPUNIT_ASSERT(report(sessions, first, "first", true));
        CPPUNIT_ASSERT_EQUAL(size_t(1), sessions.offeredEntries().size());
        CPPUNIT_ASSERT_EQUAL(std::string("second"), sessions.offeredEntries().front().location.address);
        report(sessions, second, "second", true);
        CPPUNIT_ASSERT_EQUAL(size_t(2), sessions.offeredEntries().size());
    }

    void sessions_hundredsOpenAtOnce_stateIsSentInBatches()
    {
        EntrySessions sessions(NodeId("control"));
        std::vector<EntrySessions::Link> links;
        for (size_t i = 0; i < kEntries; ++i)
            links.push_back(open(sessions));
        size_t left = kEntries;
        for (; left > kBatch; left -= kBatch) {
            CPPUNIT_ASSERT_EQUAL(left, waiting(sessions, links));
            sessions.sendState(kBatch, EntryUpdate());
            // What is broadcast meanwhile ends nobody's wait.
            sessions.broadcast(EntryUpdate());
        }
        // The oldest sessions come first.
        CPPUNIT_ASSERT(!sessions.awaitsState(links.front()));
        CPPUNIT_ASSERT(sessions.awaitsState(links.back()));
        sessions.sendState(kBatch, EntryUpdate());
        CPPUNIT_ASSERT(!sessions.anyAwaitsState());
    }

    void sessions_endedWhileWaiting_useNoPlaceInABatch()
    {
        EntrySessions sessions(NodeId("control"));
        std::vector<EntrySessions::Link> links;
        for (size_t i = 0; i < 2 * kBatch; ++i)
            links.push_back(open(sessions));
        for (size_t i = 0; i < kBatch; ++i) {
            links[i]->close();
            sessions.remove(links[i]);
        }
        sessions.sendState(kBatch, EntryUpdate());
        CPPUNIT_ASSERT_EQUAL(size_t(0), waiting(sessions, links));
    }

    void sessions_waiting_areNotSentRoutes()
    {
        EntrySessions sessions(NodeId("control"));
        const TimePoint now(1000s);
        sessions.setRoutes(now, {7, "routes"});
        const EntrySessions::Link link = open(sessions);
        CPPUNIT_ASSERT(sessions.linksWithoutRoutes(now, true).empty());
        sessions.sendState(kBatch, EntryUpdate());
        CPPUNIT_ASSERT_EQUAL(size_t(1), sessions.linksWithoutRoutes(now, true).size());
    }

private:
    boost::asio::io_context m_context;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntrySessionsFailureTest);
