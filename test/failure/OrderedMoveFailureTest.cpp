// Guards moves that operators order with a due time of seconds: a bad version is taken back while its share is small,
// a good one is done before it is due, trouble that hits both versions is not blamed on the new one, a new leader goes
// on from the log, and a repeated or overtaken order changes nothing.
#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/version/MoveCoordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace hickoryspur;

namespace {

constexpr int kUpstreamsPerVersion = 3;
constexpr double kFirstShare = 0.06;
constexpr int64_t kWithinSeconds = 14;
/** Requests a second to one service on a small deployment. */
constexpr int kRequestsPerSecond = 180;

struct Behaviour
{
    double failures = 0.001;
    double slowdown = 1;
    /** The behaviour starts this long after the order. */
    Duration from = Duration::zero();
    /** The behaviour needs at least this share of the requests. */
    double fromShare = 0;
};

/** Requests a second to one service that many entries share; each of them reports at its own time. */
constexpr int kSharedRequestsPerSecond = 95;
constexpr Duration kReportInterval = 500ms;
constexpr int kEntries = 40;
/** Requests that a bad version may get beyond its tenth. */
constexpr int kCanarySlack = 50;

} // namespace

class OrderedMoveFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OrderedMoveFailureTest);
    CPPUNIT_TEST(version_failing_isTakenBackWithinCanaryLimit);
    CPPUNIT_TEST(version_slow_isTakenBackWithinCanaryLimit);
    CPPUNIT_TEST(version_badAfterSomeSeconds_isTakenBackWithinCanaryLimit);
    CPPUNIT_TEST(version_failingOnlyAtFullShare_isTakenBackWithinCanaryLimit);
    CPPUNIT_TEST(version_goodWhileBothFailFromFullShareOn_isNotTakenBack);
    CPPUNIT_TEST(version_good_isDoneBeforeDue);
    CPPUNIT_TEST(version_goodWhileBothFail_isNotTakenBack);
    CPPUNIT_TEST(leader_changesDuringMove_isDoneBeforeDue);
    CPPUNIT_TEST(leader_deposedMissesSteps_adoptsStateOfTheLog);
    CPPUNIT_TEST(order_repeated_changesNothing);
    CPPUNIT_TEST(step_decidedOnOvertakenState_isRefused);
    CPPUNIT_TEST_SUITE_END();

    struct Run
    {
        MoveStatus status = MoveStatus::Moving;
        Duration ended = Duration::zero();
        int newRequests = 0;
        int requests = 0;
    };

    std::mt19937_64 m_random{7};

    static MoveState ordered()
    {
        WantedVersion wanted;
        wanted.name = VersionName("v2");
        wanted.within = std::chrono::seconds(kWithinSeconds);
        wanted.firstShare = kFirstShare;
        return *orderMove(std::nullopt, wanted, 0);
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void addRequest(ObservationBatch &batch, const std::string &version, const Behaviour &behaviour)
    {
        const auto upstream = static_cast<int>(draw() * kUpstreamsPerVersion);
        SubRequestTally &tally =
            batch.services["rolls"].versions[version]["status"].byUpstream[version + "-" + std::to_string(upstream)];
        ++tally.requests;
        tally.failures += draw() < behaviour.failures ? 1 : 0;
        const double latency =
            7500 * behaviour.slowdown * std::exp(0.35 * std::normal_distribution<double>()(m_random));
        tally.latency.add(Duration(static_cast<int64_t>(latency)));
    }

    /** Plays a move against a service whose entries report late and one after the other. */
    Run playReportedLate(const Behaviour &oldVersion, const Behaviour &newVersion)
    {
        MoveState state = ordered();
        MoveCoordinator coordinator(shortMoveTiming());
        Run run;
        constexpr Duration kStep = 10ms;
        const TimePoint start(1000s);
        std::vector<ObservationBatch> unreported(kEntries);
        for (Duration at = Duration::zero(); at < std::chrono::seconds(kWithinSeconds); at += kStep) {
            const TimePoint now = start + at;
            coordinator.updateStates(now, {{"rolls", pack(state)}});
            if (draw() < kSharedRequestsPerSecond * 0.01) {
                const bool isNew = draw() < state.share();
                run.newRequests += isNew ? 1 : 0;
                ++run.requests;
                const Behaviour &behaviour = isNew ? newVersion : oldVersion;
                const bool inForce = at >= behaviour.from && state.share() >= behaviour.fromShare;
                addRequest(unreported[static_cast<size_t>(draw() * kEntries)], isNew ? "v2" : "",
                           inForce ? behaviour : Behaviour());
            }
            for (int entry = 0; entry < kEntries; ++entry)
                if ((at + entry * kReportInterval / kEntries) / kStep % (kReportInterval / kStep) == 0)
                    coordinator.addObservations(std::exchange(unreported[static_cast<size_t>(entry)], {}));
            if (const auto next = coordinator.nextOrderedChange(now, at / 1s, kFirstShare))
                state = next->second;
            recordEnd(run, state, at);
        }
        return run;
    }

    static void recordEnd(Run &run, const MoveState &state, Duration at)
    {
        if (state.kind() == MoveStatus::Moving || run.status != MoveStatus::Moving)
            return;
        run.status = state.kind();
        run.ended = at;
    }

    /** Plays a move against a service; the leader is replaced at the given time. */
    Run play(const Behaviour &oldVersion, const Behaviour &newVersion, Duration leaderChange = Duration::max())
    {
        MoveState state = ordered();
        auto coordinator = std::make_unique<MoveCoordinator>(shortMoveTiming());
        Run run;
        constexpr Duration kStep = 100ms;
        const TimePoint start(1000s);
        for (Duration at = Duration::zero(); at < std::chrono::seconds(kWithinSeconds); at += kStep) {
            const TimePoint now = start + at;
            if (at >= leaderChange) {
                coordinator = std::make_unique<MoveCoordinator>(shortMoveTiming());
                leaderChange = Duration::max();
            }
            coordinator->updateStates(now, {{"rolls", pack(state)}});
            ObservationBatch batch;
            for (int i = 0; i < kRequestsPerSecond / 10; ++i) {
                const bool isNew = draw() < state.share();
                run.newRequests += isNew ? 1 : 0;
                ++run.requests;
                const Behaviour &behaviour = isNew ? newVersion : oldVersion;
                addRequest(batch, isNew ? "v2" : "", at >= behaviour.from ? behaviour : Behaviour());
            }
            coordinator->addObservations(batch);
            if (const auto next = coordinator->nextOrderedChange(now, at / 1s, kFirstShare))
                state = next->second;
            recordEnd(run, state, at);
        }
        return run;
    }

    static void assertTakenBackInTime(const Run &run)
    {
        CPPUNIT_ASSERT(run.status == MoveStatus::TakenBack);
        CPPUNIT_ASSERT(run.newRequests <= run.requests / 10);
    }

public:
    void version_failing_isTakenBackWithinCanaryLimit()
    {
        assertTakenBackInTime(play(Behaviour(), {0.5, 1, Duration::zero()}));
    }

    void version_slow_isTakenBackWithinCanaryLimit()
    {
        assertTakenBackInTime(play(Behaviour(), {0.001, 8, Duration::zero()}));
    }

    void version_badAfterSomeSeconds_isTakenBackWithinCanaryLimit()
    {
        assertTakenBackInTime(play(Behaviour(), {0.5, 1, 3s}));
    }

    // Guards the rule on the requests that a bad version gets: it was completed, as nothing was compared in the last
    // stage.
    void version_failingOnlyAtFullShare_isTakenBackWithinCanaryLimit()
    {
        for (int play = 0; play < 20; ++play) {
            const Run run = playReportedLate(Behaviour(), {0.4, 1, Duration::zero(), 1.0});
            CPPUNIT_ASSERT(run.status == MoveStatus::TakenBack);
            CPPUNIT_ASSERT(run.newRequests <= run.requests / 10 + kCanarySlack);
        }
    }

    void version_goodWhileBothFailFromFullShareOn_isNotTakenBack()
    {
        const Behaviour troubled{0.08, 3, Duration::zero(), 1.0};
        for (int play = 0; play < 20; ++play) {
            const Run run = playReportedLate(troubled, troubled);
            CPPUNIT_ASSERT(run.status == MoveStatus::Done);
            CPPUNIT_ASSERT(run.ended < 13s);
        }
    }

    void version_good_isDoneBeforeDue()
    {
        const Run run = play(Behaviour(), Behaviour());
        CPPUNIT_ASSERT(run.status == MoveStatus::Done);
        CPPUNIT_ASSERT(run.ended < 13s);
    }

    void version_goodWhileBothFail_isNotTakenBack()
    {
        const Behaviour troubled{0.05, 3, 4s};
        CPPUNIT_ASSERT(play(troubled, troubled).status == MoveStatus::Done);
    }

    void leader_changesDuringMove_isDoneBeforeDue()
    {
        CPPUNIT_ASSERT(play(Behaviour(), Behaviour(), 6s).status == MoveStatus::Done);
        CPPUNIT_ASSERT(play(Behaviour(), {0.5, 1, Duration::zero()}, 500ms).status == MoveStatus::TakenBack);
    }

    void leader_deposedMissesSteps_adoptsStateOfTheLog()
    {
        MoveCoordinator coordinator(shortMoveTiming());
        const TimePoint now(1000s);
        MoveState state = ordered();
        coordinator.updateStates(now, {{"rolls", pack(state)}});
        coordinator.nextOrderedChange(now, 0, kFirstShare);
        // Another host led meanwhile and advanced the move by two stages.
        state.stage = 2;
        state.sharePpm = 1'000'000;
        coordinator.updateStates(now + 5s, {{"rolls", pack(state)}});
        CPPUNIT_ASSERT(!coordinator.nextOrderedChange(now + 5s, 5, kFirstShare));
        CPPUNIT_ASSERT_EQUAL(uint64_t(0), coordinator.stageRequests("rolls"));
    }

    void order_repeated_changesNothing()
    {
        WantedVersion wanted;
        wanted.name = VersionName("v2");
        MoveState takenBack = ordered();
        takenBack.status = static_cast<uint8_t>(MoveStatus::TakenBack);
        CPPUNIT_ASSERT(!orderMove(ordered(), wanted, 20));
        CPPUNIT_ASSERT(!orderMove(takenBack, wanted, 20));
    }

    void step_decidedOnOvertakenState_isRefused()
    {
        ControlState state;
        Command step;
        step.type = static_cast<uint8_t>(CommandType::SetMove);
        step.subject = "rolls";
        step.text = "first";
        step.expectedDigest = sha256Hex("");
        CPPUNIT_ASSERT(state.apply(LogIndex(1), step).ok());
        step.text = "second";
        CPPUNIT_ASSERT(state.apply(LogIndex(2), step).resultCode() == ResultCode::PredecessorMismatch);
        CPPUNIT_ASSERT_EQUAL(std::string("first"), state.moves().at("rolls"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderedMoveFailureTest);
