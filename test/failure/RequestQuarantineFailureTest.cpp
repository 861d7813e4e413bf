#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/request/RequestCodec.h"
#include "hickoryspur/request/RequestQuarantine.h"
#include "hickoryspur/request/ScatterGather.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

using namespace hickoryspur;

/**
 * Guards against a request that ends each upstream which runs it: it must not reach upstream after upstream, at one
 * entry or at several, while a request that merely runs beside a lost data centre is served.
 */
class RequestQuarantineFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestQuarantineFailureTest);
    CPPUNIT_TEST(request_endsUpstreams_isProbedAndThenRejected);
    CPPUNIT_TEST(request_sentToManyEntries_endsFewUpstreams);
    CPPUNIT_TEST(request_besideLostDataCentre_isServed);
    CPPUNIT_TEST(request_besideDeadlyOne_isNotRejected);
    CPPUNIT_TEST(request_comesTwiceBesideLostUpstreams_isNotRejected);
    CPPUNIT_TEST(request_connectionsResetByLivingUpstreams_isReleasedByTheirHeartbeats);
    CPPUNIT_TEST(request_lateHeartbeat_doesNotRelease);
    CPPUNIT_TEST(request_quarantineOver_isProbedOnceAndRejectedLonger);
    CPPUNIT_TEST(request_probeRuns_othersAreRejected);
    CPPUNIT_TEST(evidence_encodedAndMerged_isTheSame);
    CPPUNIT_TEST(evidence_manyRequests_isBounded);
    CPPUNIT_TEST(fingerprint_partsShifted_differs);
    CPPUNIT_TEST_SUITE_END();

    static constexpr size_t kShards = 10;
    static constexpr size_t kReplicas = 3;

    /** Upstreams that end when they begin to run the deadly request, and come back under another incarnation. */
    struct Fleet
    {
        std::map<UpstreamId, uint64_t> incarnations;
        size_t ended = 0;

        uint64_t incarnation(const UpstreamId &id) { return incarnations.try_emplace(id, 1).first->second; }
        void end(const UpstreamId &id)
        {
            ++incarnations[id];
            ++ended;
        }
    };

    ScatterPlan plan(bool probesFirst, uint32_t shards = kShards) const
    {
        ScatterPlan plan;
        for (uint32_t i = 0; i < shards; ++i)
            plan.shards.emplace_back("shard" + std::to_string(i));
        plan.minParts = std::max<size_t>(1, shards - 1);
        plan.maxAttempts = 2;
        plan.idempotent = true;
        plan.targetTime = m_now + 70ms;
        plan.deadline = m_now + 400ms;
        plan.hedgeAfter = 10ms;
        plan.probesFirst = probesFirst;
        return plan;
    }

    static ScatterHooks hooks()
    {
        ScatterHooks hooks;
        hooks.choose = [](const ServiceName &service,
                          const std::vector<UpstreamId> &tried) -> std::optional<ReplicaChoice> {
            for (size_t replica = 0; replica < kReplicas; ++replica) {
                const UpstreamId id(service.value() + static_cast<char>('a' + replica));
                if (std::find(tried.begin(), tried.end(), id) == tried.end())
                    return ReplicaChoice{id, false};
            }
            return std::nullopt;
        };
        hooks.tryConsumeBudget = [](const ServiceName &) { return true; };
        hooks.reportOverdue = [](const UpstreamId &) {};
        return hooks;
    }

    /** Serves the deadly request at one entry; returns false if it was rejected. */
    bool serveDeadly(RequestQuarantine &quarantine, Fleet &fleet, uint32_t shards = kShards)
    {
        const QuarantineVerdict verdict = quarantine.admit(m_now, m_deadly);
        if (verdict.decision == QuarantineDecision::Reject)
            return false;
        const bool isProbe = verdict.decision == QuarantineDecision::Probe;
        ScatterGather run(plan(isProbe, shards), hooks());
        std::vector<SendAttempt> sends = run.start(m_now).sends;
        std::vector<UpstreamLoss> losses;
        ++m_requests;
        while (!sends.empty()) {
            const SendAttempt attempt = sends.back();
            sends.pop_back();
            losses.push_back({attempt.upstream, fleet.incarnation(attempt.upstream), m_requests, attempt.isProbe});
            fleet.end(attempt.upstream);
            const ScatterActions actions = run.attemptEnded(m_now, attempt.key, AttemptOutcome::Lost);
            sends.insert(sends.end(), actions.sends.begin(), actions.sends.end());
        }
        quarantine.recordLosses(m_now, m_deadly, losses);
        if (isProbe)
            quarantine.endProbe(m_deadly);
        return true;
    }

    /** Losses of one request, of upstreams u0, u1 and so on. */
    static std::vector<UpstreamLoss> losses(size_t count, bool inProbe = false, uint64_t request = 1)
    {
        std::vector<UpstreamLoss> losses;
        for (size_t i = 0; i < count; ++i)
            losses.push_back({UpstreamId("u" + std::to_string(i)), 1, request, inProbe});
        return losses;
    }

    void loseUpstreams(RequestQuarantine &quarantine, size_t count, bool inProbe = false) const
    {
        quarantine.recordLosses(m_now, m_deadly, losses(count, inProbe));
    }

public:
    void request_endsUpstreams_isProbedAndThenRejected()
    {
        for (const uint32_t shards : {1U, static_cast<uint32_t>(kShards)}) {
            RequestQuarantine quarantine;
            Fleet fleet;
            size_t served = 0;
            for (int i = 0; i < 80; ++i) {
                served += serveDeadly(quarantine, fleet, shards) ? 1 : 0;
                m_now += 250ms;
            }
            // The first scatter reaches each shard once, a request to one service two replicas; then a probe.
            CPPUNIT_ASSERT(served <= 2);
            CPPUNIT_ASSERT(fleet.ended <= std::max<size_t>(shards, 2) + 1);
        }
    }

    void request_sentToManyEntries_endsFewUpstreams()
    {
        // Evidence travels in 300 ms; the request comes four times a second, at a random one of 48 entries.
        std::vector<RequestQuarantine> entries(48);
        std::vector<std::pair<TimePoint, std::vector<SuspectReport>>> onTheWay;
        Fleet fleet;
        std::mt19937_64 random(7);
        size_t sends = 0;
        const TimePoint settled = m_now + 4s;
        for (int i = 0; i < 80; ++i) {
            for (const auto &[at, reports] : onTheWay)
                if (at <= m_now)
                    for (RequestQuarantine &entry : entries)
                        entry.merge(m_now, reports);
            RequestQuarantine &entry = entries[random() % entries.size()];
            const size_t before = fleet.ended;
            if (serveDeadly(entry, fleet))
                onTheWay.emplace_back(m_now + 300ms, entry.ownReports(m_now));
            sends += m_now >= settled ? fleet.ended - before : 0;
            m_now += 250ms;
        }
        CPPUNIT_ASSERT_EQUAL(size_t(0), sends);
        CPPUNIT_ASSERT(fleet.ended <= 2 * kShards + 2);
    }

    void request_besideLostDataCentre_isServed()
    {
        RequestQuarantine quarantine;
        ScatterGather run(plan(false), hooks());
        const std::vector<SendAttempt> sends = run.start(m_now).sends;
        CPPUNIT_ASSERT_EQUAL(kShards, sends.size());
        // Three upstreams were in the lost data centre; the connections to them end before any other answers.
        for (uint32_t shard = 0; shard < 3; ++shard) {
            CPPUNIT_ASSERT(run.attemptEnded(m_now + 1ms, {shard, 0}, AttemptOutcome::Lost).sends.empty());
        }
        // The first answer of another shard sends all three to other replicas.
        CPPUNIT_ASSERT_EQUAL(size_t(3), run.attemptEnded(m_now + 3ms, {5, 0}, AttemptOutcome::Answered).sends.size());
        // A request without an answer that was lost with one data centre is probed, and the answer clears it.
        quarantine.recordLosses(m_now, m_deadly, losses(3));
        CPPUNIT_ASSERT(quarantine.admit(m_now + 1s, m_deadly).decision == QuarantineDecision::Probe);
        CPPUNIT_ASSERT(quarantine.recordAnswer(m_deadly));
        CPPUNIT_ASSERT(quarantine.admit(m_now + 1s, m_deadly).decision == QuarantineDecision::Serve);
    }

    /** It ran on the same upstreams when they ended, and its retry as well. */
    void request_besideDeadlyOne_isNotRejected()
    {
        RequestQuarantine quarantine;
        const RequestFingerprint beside("beside");
        loseUpstreams(quarantine, 10);
        quarantine.recordLosses(m_now, m_deadly, {{UpstreamId("v1"), 1, 2, false}, {UpstreamId("v2"), 1, 2, false}});
        quarantine.recordLosses(m_now, beside, losses(10, false, 7));
        quarantine.recordLosses(m_now, beside, {{UpstreamId("v1"), 1, 8, true}});
        CPPUNIT_ASSERT(quarantine.isInQuarantine(m_now, m_deadly));
        CPPUNIT_ASSERT(quarantine.admit(m_now, beside).decision != QuarantineDecision::Reject);
    }

    /** Two callers' requests of the same contents were running when upstreams of one data centre were lost. */
    void request_comesTwiceBesideLostUpstreams_isNotRejected()
    {
        RequestQuarantine quarantine;
        quarantine.recordLosses(m_now, m_deadly, losses(1, false, 1));
        quarantine.recordLosses(m_now, m_deadly, {{UpstreamId("v1"), 1, 2, false}});
        CPPUNIT_ASSERT(quarantine.admit(m_now, m_deadly).decision == QuarantineDecision::Probe);
    }

    void request_connectionsResetByLivingUpstreams_isReleasedByTheirHeartbeats()
    {
        RequestQuarantine quarantine;
        loseUpstreams(quarantine, 3, true);
        CPPUNIT_ASSERT(quarantine.isInQuarantine(m_now, m_deadly));
        for (const char *upstream : {"u0", "u1", "u2"})
            quarantine.recordHeartbeat(m_now + 2s, UpstreamId(upstream), 1);
        CPPUNIT_ASSERT(quarantine.empty());
    }

    void request_lateHeartbeat_doesNotRelease()
    {
        RequestQuarantine quarantine;
        loseUpstreams(quarantine, 3, true);
        quarantine.recordHeartbeat(m_now + 500ms, UpstreamId("u0"), 1);
        quarantine.recordHeartbeat(m_now + 4s, UpstreamId("u1"), 2);
        CPPUNIT_ASSERT(quarantine.isInQuarantine(m_now + 5s, m_deadly));
    }

    void request_quarantineOver_isProbedOnceAndRejectedLonger()
    {
        RequestQuarantine quarantine;
        loseUpstreams(quarantine, 2, true);
        // Two probes have ended their upstreams, so the time has doubled once.
        CPPUNIT_ASSERT(quarantine.admit(m_now + 119s, m_deadly).decision == QuarantineDecision::Reject);
        CPPUNIT_ASSERT(quarantine.admit(m_now + 121s, m_deadly).decision == QuarantineDecision::Probe);
        quarantine.recordLosses(m_now + 121s, m_deadly, {{UpstreamId("u9"), 1, 2, true}});
        quarantine.endProbe(m_deadly);
        const QuarantineVerdict verdict = quarantine.admit(m_now + 122s, m_deadly);
        CPPUNIT_ASSERT(verdict.decision == QuarantineDecision::Reject);
        CPPUNIT_ASSERT(verdict.retryAfter == 239s);
    }

    void request_probeRuns_othersAreRejected()
    {
        RequestQuarantine quarantine;
        loseUpstreams(quarantine, 2);
        CPPUNIT_ASSERT(quarantine.admit(m_now, m_deadly).decision == QuarantineDecision::Probe);
        CPPUNIT_ASSERT(quarantine.admit(m_now, m_deadly).decision == QuarantineDecision::Reject);
        quarantine.endProbe(m_deadly);
        CPPUNIT_ASSERT(quarantine.admit(m_now, m_deadly).decision == QuarantineDecision::Probe);
    }

    void evidence_encodedAndMerged_isTheSame()
    {
        RequestQuarantine first;
        loseUpstreams(first, 2, true);
        const auto reports = unpack<std::vector<SuspectReport>>(pack(first.reports(m_now + 1s)));
        CPPUNIT_ASSERT(reports);
        RequestQuarantine second;
        CPPUNIT_ASSERT(second.merge(m_now + 1s, *reports));
        CPPUNIT_ASSERT(!second.merge(m_now + 1s, *reports));
        // What others have reported is not reported once more by every entry.
        CPPUNIT_ASSERT(second.ownReports(m_now + 1s).empty());
        CPPUNIT_ASSERT_EQUAL(size_t(1), first.ownReports(m_now + 1s).size());
        CPPUNIT_ASSERT(second.admit(m_now + 1s, m_deadly).retryAfter == first.admit(m_now + 1s, m_deadly).retryAfter);
    }

    void evidence_manyRequests_isBounded()
    {
        RequestQuarantine quarantine;
        for (size_t i = 0; i < 2 * RequestQuarantine::kMaxSuspects; ++i)
            quarantine.recordLosses(m_now + 1ms * static_cast<int>(i), RequestFingerprint(std::to_string(i)),
                                    losses(2, false, i));
        loseUpstreams(quarantine, 3 * RequestQuarantine::kMaxLossesPerRequest);
        quarantine.tick(m_now + 1s);
        CPPUNIT_ASSERT(quarantine.reports(m_now).size() <= RequestQuarantine::kMaxReports);
        for (const SuspectReport &report : quarantine.reports(m_now))
            CPPUNIT_ASSERT(report.losses.size() <= RequestQuarantine::kMaxLossesPerRequest);
        quarantine.tick(m_now + RequestQuarantine::kEvidenceLifetime + 1min);
        CPPUNIT_ASSERT(quarantine.empty());
    }

    void fingerprint_partsShifted_differs()
    {
        ForwardedRequest first;
        first.method = "GET";
        first.host = "h";
        first.target = "/a";
        first.body = "bc";
        ForwardedRequest second = first;
        second.target = "/ab";
        second.body = "c";
        CPPUNIT_ASSERT(fingerprintOf(first) != fingerprintOf(second));
        second = first;
        second.id = "another";
        CPPUNIT_ASSERT(fingerprintOf(first) == fingerprintOf(second));
    }

private:
    TimePoint m_now = TimePoint(1000s);
    RequestFingerprint m_deadly{"deadly"};
    uint64_t m_requests = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQuarantineFailureTest);
