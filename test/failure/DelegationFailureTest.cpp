#include "fakes/EntryWorld.h"

using namespace hickoryspur;
using namespace hickoryspur::entryworld;

/**
 * Guards callers of an entry that has lost its way to all upstreams, and queries that two entries work on. Two
 * entries in one thread, on loopback addresses of their own, and upstreams that the test answers for. An entry is cut
 * off by telling it addresses at which nobody listens, while the upstreams' heartbeats go on.
 */
class DelegationFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DelegationFailureTest);
    CPPUNIT_TEST(entry_cutOffFromUpstreams_callersAreServedThroughAnother);
    CPPUNIT_TEST(entries_allCutOff_refuseAtOnceAndHandNothingOnTwice);
    CPPUNIT_TEST(entry_cutOffAndNoOtherKnown_triesItself);
    CPPUNIT_TEST(entry_backInTouch_servesItself);
    CPPUNIT_TEST(entry_cutOffAndMostOthersUnreachable_callersAreServedThroughTheLastOne);
    CPPUNIT_TEST(notIdempotent_delegated_runsOnce);
    CPPUNIT_TEST(answerOfAnotherEntry_malformed_isNotPassedOn);
    CPPUNIT_TEST(query_overManyShards_isAnsweredByBothEntries);
    CPPUNIT_TEST(query_otherEntryGone_isAnsweredByThisOne);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t kShards = ShardGroups::kMinShards;
    /** Requests after which an entry has found out which other entries cannot be reached. */
    static constexpr int kLearning = 20;
    /** Fewer than an unreachable entry is left out for. */
    static constexpr int kRequests = 30;

    struct Pair
    {
        std::unique_ptr<EntryTraffic> first;
        std::unique_ptr<EntryTraffic> second;
    };

    static const std::vector<EntryLocation> &locations()
    {
        static const std::vector<EntryLocation> kLocations = {{"127.0.0.1:80", DataCentreName("a")},
                                                              {"127.0.0.2:80", DataCentreName("b")}};
        return kLocations;
    }

    static Pair startPair(const World &world, bool firstCutOff, bool secondCutOff,
                          const RequestCodec &secondCodec = platform::makePlatformCodec().traffic)
    {
        Pair pair{world.startEntry("127.0.0.1", "a"),
                  world.startEntry("127.0.0.2", "b", AdmissionMode::Arrival, secondCodec)};
        announce(world, *pair.first, firstCutOff);
        announce(world, *pair.second, secondCutOff);
        for (EntryTraffic *entry : {pair.first.get(), pair.second.get()}) {
            entry->setRoutes(table(world));
            entry->setDeploymentSize(2);
        }
        pair.first->setEntries(monotonicNow(), locations()[0].address, locations());
        pair.second->setEntries(monotonicNow(), locations()[1].address, locations());
        return pair;
    }

    static void addUpstreams(World &world, size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            world.addUpstream("shard" + std::to_string(i), i % 2 == 0 ? "a" : "b");
    }

public:
    void entry_cutOffFromUpstreams_callersAreServedThroughAnother()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, false);
            awaitCutOff(*pair.first);
            const CallerAnswer merged = pair.first->serve(request("/query/1"), neverGone);
            CPPUNIT_ASSERT_EQUAL(200U, merged.status);
            CPPUNIT_ASSERT_EQUAL(3 * kRecordBytes, merged.body.size());
            const CallerAnswer single = pair.first->serve(request("/label/1"), neverGone);
            CPPUNIT_ASSERT_EQUAL(200U, single.status);
            CPPUNIT_ASSERT_EQUAL(kRecordBytes, single.body.size());
        });
    }

    void entries_allCutOff_refuseAtOnceAndHandNothingOnTwice()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, true);
            awaitCutOff(*pair.first);
            awaitCutOff(*pair.second);
            const TimePoint before = monotonicNow();
            CPPUNIT_ASSERT_EQUAL(503U, pair.first->serve(request("/query/1"), neverGone).status);
            CPPUNIT_ASSERT(monotonicNow() - before < 100ms);
            CPPUNIT_ASSERT_EQUAL(size_t(0), world.runs);
            CPPUNIT_ASSERT_EQUAL(size_t(0), pair.second->delegatedRequests());
        });
    }

    void entry_cutOffAndNoOtherKnown_triesItself()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, false);
            awaitCutOff(*pair.first);
            pair.first->setEntries(monotonicNow(), locations()[0].address, {locations()[0]});
            announce(world, *pair.first, false, 2);
            CPPUNIT_ASSERT_EQUAL(200U, pair.first->serve(request("/query/1"), neverGone).status);
        });
    }

    void entry_backInTouch_servesItself()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, false);
            awaitCutOff(*pair.first);
            announce(world, *pair.first, false, 2);
            tickFor({pair.first.get()}, 1s);
            CPPUNIT_ASSERT(!pair.first->isCutOff());
        });
    }

    // Four entries were drawn before those that were known to be unreachable were left out, so that requests were
    // refused although another entry could serve them.
    void entry_cutOffAndMostOthersUnreachable_callersAreServedThroughTheLastOne()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, false);
            std::vector<EntryLocation> entries = locations();
            for (const char *address :
                 {"127.0.0.91:80", "127.0.0.92:80", "127.0.0.93:80", "127.0.0.94:80", "127.0.0.95:80", "127.0.0.96:80"})
                entries.push_back({address, DataCentreName("b")});
            pair.first->setEntries(monotonicNow(), locations()[0].address, entries);
            awaitCutOff(*pair.first);
            for (int i = 0; i < kLearning; ++i)
                pair.first->serve(request("/label/1"), neverGone);
            for (int i = 0; i < kRequests; ++i)
                CPPUNIT_ASSERT_EQUAL(200U, pair.first->serve(request("/label/1"), neverGone).status);
        });
    }

    void notIdempotent_delegated_runsOnce()
    {
        onFibers([](World &world) {
            addUpstreams(world, 6);
            const Pair pair = startPair(world, true, false);
            awaitCutOff(*pair.first);
            world.runs = 0;
            CPPUNIT_ASSERT_EQUAL(200U, pair.first->serve(request("/notice/1"), neverGone).status);
            CPPUNIT_ASSERT_EQUAL(size_t(1), world.runs);
        });
    }

    // An entry of an earlier release may pass on a status that is none, as the final answer. The other forms would be
    // read by the caller in another way than they are meant, or end its connection without an answer.
    void answerOfAnotherEntry_malformed_isNotPassedOn()
    {
        const std::vector<CallerAnswer> malformed = {
            {0, {}, "body"},
            {99, {}, "body"},
            {100, {}, ""},
            {101, {}, ""},
            {600, {}, "body"},
            {200, {{"X Bad", "1"}}, "body"},
            {200, {{"", "1"}}, "body"},
            {200, {{"X-Bad\r\nX-Other", "1"}}, "body"},
            {200, {{"X-Bad", "1\r\nX-Other: 2"}}, "body"},
            {200, {{"X-Bad", std::string(1, '\0')}}, "body"},
            {204, {}, "body"},
        };
        onFibers([&](World &world) {
            addUpstreams(world, 6);
            CallerAnswer passedOn;
            RequestCodec codec = platform::makePlatformCodec().traffic;
            codec.passThrough = [&passedOn](const UpstreamAnswer &) { return passedOn; };
            const Pair pair = startPair(world, true, false, codec);
            awaitCutOff(*pair.first);
            for (const CallerAnswer &answer : malformed) {
                passedOn = answer;
                passedOn.fields.emplace_back("Hickoryspur-Server-Seal", "sig");
                world.runs = 0;
                const CallerAnswer received = pair.first->serve(request("/notice/1"), neverGone);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(answer.status), 502U, received.status);
                CPPUNIT_ASSERT(received.fields.empty());
                CPPUNIT_ASSERT_EQUAL(size_t(1), world.runs);
            }
            passedOn = {404, {{"Hickoryspur-Server-Seal", "sig"}, {"X-Note", "\xc3\xa4\tb"}}, "body"};
            CPPUNIT_ASSERT_EQUAL(404U, pair.first->serve(request("/notice/1"), neverGone).status);
        });
    }

    void query_overManyShards_isAnsweredByBothEntries()
    {
        onFibers([](World &world) {
            addUpstreams(world, kShards);
            const Pair pair = startPair(world, false, false);
            // The first entry alone could not answer: half of the shards are out of its reach.
            for (size_t i = 1; i < world.upstreams.size(); i += 2) {
                Announcement announcement = world.upstreams[i];
                announcement.sequence = 2;
                announcement.address = "127.0.0.99";
                pair.first->accept(monotonicNow(), announcement);
            }
            const CallerAnswer answer = pair.first->serve(request("/query/1"), neverGone);
            CPPUNIT_ASSERT_EQUAL(200U, answer.status);
            CPPUNIT_ASSERT_EQUAL(kShards, world.runs);
            // The greatest records of all shards, which both entries hold parts of.
            CPPUNIT_ASSERT_EQUAL(std::string("shard9"), answer.body.substr(0, 6));
            CPPUNIT_ASSERT_EQUAL(std::string("shard8"), answer.body.substr(kRecordBytes, 6));
        });
    }

    void query_otherEntryGone_isAnsweredByThisOne()
    {
        onFibers([](World &world) {
            addUpstreams(world, kShards);
            Pair pair = startPair(world, false, false);
            pair.second.reset();
            const CallerAnswer answer = pair.first->serve(request("/query/1"), neverGone);
            CPPUNIT_ASSERT_EQUAL(200U, answer.status);
            CPPUNIT_ASSERT_EQUAL(kShards, world.runs);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DelegationFailureTest);
