// Guards against the loss of entries that a majority has acknowledged, when a checkpoint of the leader reaches a
// follower whose log goes on behind it.
#include "hickoryspur/process/ReplicatedLog.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace hickoryspur;

class ReplicatedLogFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicatedLogFailureTest);
    CPPUNIT_TEST(follower_checkpointOfItsOwnEntries_keepsAcknowledgedEntriesBehindIt);
    CPPUNIT_TEST(follower_checkpointOfItsOwnEntries_appliesThem);
    CPPUNIT_TEST(follower_checkpointConflictsWithItsLog_isReplaced);
    CPPUNIT_TEST(follower_logEndsBeforeCheckpoint_isReplaced);
    CPPUNIT_TEST(leader_followerNamesCommitBeforeCheckpoint_offersEntriesBehindItFirst);
    CPPUNIT_TEST(leader_followerRefusesEntriesBehindCheckpoint_sendsCheckpoint);
    CPPUNIT_TEST(leader_offerOfEntriesLost_isRepeated);
    CPPUNIT_TEST(leader_sendsCheckpoint_noLongerCountsEntriesBehindIt);
    CPPUNIT_TEST_SUITE_END();

    static constexpr uint64_t kSeed = 4711;
    static constexpr uint64_t kLastIndex = 10;
    static constexpr uint64_t kCheckpointIndex = 5;
    static constexpr uint64_t kFollowerCommit = 2;

    const TimePoint m_start{10s};
    const MemberId m_self{NodeId("h1"), DiskIncarnation(1)};
    const MemberId m_second{NodeId("h2"), DiskIncarnation(1)};
    const MemberId m_third{NodeId("h3"), DiskIncarnation(1)};

    Membership membership() const { return {{m_self, m_second, m_third}, {}}; }

    Checkpoint checkpointAt(uint64_t index, uint64_t term) const
    {
        return {LogIndex(index), Term(term), membership(), "state"};
    }

    /** A member whose log holds the entries after its checkpoint up to kLastIndex, all of term 1, as after a restart.
     */
    ReplicatedLog restarted(uint64_t checkpointIndex) const
    {
        RecoveredLog recovered;
        recovered.hardState.term = Term(1);
        recovered.checkpoint = checkpointAt(checkpointIndex, checkpointIndex > 0 ? 1 : 0);
        for (uint64_t index = checkpointIndex + 1; index <= kLastIndex; ++index)
            recovered.entries.push_back(
                {LogIndex(index), Term(1), static_cast<uint8_t>(EntryKind::Command), std::to_string(index)});
        return {m_self, {}, std::move(recovered), LogTiming(), kSeed, m_start};
    }

    LogMessage messageOf(LogMessageType type, const MemberId &from, uint64_t term) const
    {
        LogMessage message;
        message.type = static_cast<uint8_t>(type);
        message.from = from;
        message.term = Term(term);
        return message;
    }

    LogMessage installCheckpoint(uint64_t index, uint64_t term) const
    {
        LogMessage message = messageOf(LogMessageType::InstallCheckpoint, m_second, 2);
        message.checkpoint = checkpointAt(index, term);
        return message;
    }

    /** Elects the member, whose time is advanced beyond every election timeout. */
    ReplicatedLog elected(TimePoint now) const
    {
        ReplicatedLog log = restarted(kCheckpointIndex);
        static_cast<void>(log.tick(now));
        LogMessage preVote = messageOf(LogMessageType::PreVoteReply, m_second, 2);
        preVote.accepted = true;
        static_cast<void>(log.receive(now, preVote));
        LogMessage vote = messageOf(LogMessageType::VoteReply, m_second, 2);
        vote.accepted = true;
        static_cast<void>(log.receive(now, vote));
        CPPUNIT_ASSERT(log.isLeader());
        return log;
    }

    /** What the leader sends to the second member when that refuses the message of the given time. */
    LogActions answerToRejection(ReplicatedLog &log, TimePoint now, TimePoint rejectedSend) const
    {
        LogMessage reply = messageOf(LogMessageType::AppendReply, m_second, 2);
        reply.index = LogIndex(kFollowerCommit);
        reply.sentAt = rejectedSend.time_since_epoch().count();
        return log.receive(now, reply);
    }

    static LogMessage onlyMessage(const LogActions &actions)
    {
        CPPUNIT_ASSERT_EQUAL(size_t{1}, actions.messages.size());
        return actions.messages.front().message;
    }

    void accept(ReplicatedLog &log, TimePoint now, uint64_t index) const
    {
        LogMessage reply = messageOf(LogMessageType::AppendReply, m_second, 2);
        reply.index = LogIndex(index);
        reply.accepted = true;
        reply.sentAt = now.time_since_epoch().count();
        static_cast<void>(log.receive(now, reply));
    }

public:
    // After a kill of all hosts, both followers dropped entries that a majority had acknowledged.
    void follower_checkpointOfItsOwnEntries_keepsAcknowledgedEntriesBehindIt()
    {
        ReplicatedLog log = restarted(0);
        const LogActions actions = log.receive(m_start, installCheckpoint(kCheckpointIndex, 1));
        CPPUNIT_ASSERT_EQUAL(LogIndex(kLastIndex), log.lastIndex());
        CPPUNIT_ASSERT(!actions.installCheckpoint);
        CPPUNIT_ASSERT(!actions.truncateFrom);
        CPPUNIT_ASSERT_EQUAL(size_t{1}, actions.messages.size());
        CPPUNIT_ASSERT(actions.messages.front().message.accepted);
        CPPUNIT_ASSERT_EQUAL(LogIndex(kCheckpointIndex), actions.messages.front().message.index);
    }

    void follower_checkpointOfItsOwnEntries_appliesThem()
    {
        ReplicatedLog log = restarted(0);
        const LogActions actions = log.receive(m_start, installCheckpoint(kCheckpointIndex, 1));
        CPPUNIT_ASSERT_EQUAL(LogIndex(kCheckpointIndex), log.commitIndex());
        CPPUNIT_ASSERT_EQUAL(size_t{kCheckpointIndex}, actions.committed.size());
    }

    void follower_checkpointConflictsWithItsLog_isReplaced()
    {
        ReplicatedLog log = restarted(0);
        const LogActions actions = log.receive(m_start, installCheckpoint(kCheckpointIndex, 2));
        CPPUNIT_ASSERT(actions.installCheckpoint.has_value());
        CPPUNIT_ASSERT_EQUAL(LogIndex(kCheckpointIndex), log.lastIndex());
    }

    void follower_logEndsBeforeCheckpoint_isReplaced()
    {
        ReplicatedLog log = restarted(0);
        const LogActions actions = log.receive(m_start, installCheckpoint(kLastIndex + 1, 1));
        CPPUNIT_ASSERT(actions.installCheckpoint.has_value());
        CPPUNIT_ASSERT_EQUAL(LogIndex(kLastIndex + 1), log.lastIndex());
    }

    // A follower of an earlier version still drops its log for a checkpoint, so the leader avoids to send one.
    void leader_followerNamesCommitBeforeCheckpoint_offersEntriesBehindItFirst()
    {
        const TimePoint now = m_start + 10s;
        ReplicatedLog log = elected(now);
        const LogMessage offer = onlyMessage(answerToRejection(log, now + 1ms, now));
        CPPUNIT_ASSERT(offer.kind() == LogMessageType::Append);
        CPPUNIT_ASSERT_EQUAL(LogIndex(kCheckpointIndex), offer.index);
        CPPUNIT_ASSERT_EQUAL(Term(1), offer.indexTerm);
    }

    void leader_followerRefusesEntriesBehindCheckpoint_sendsCheckpoint()
    {
        const TimePoint now = m_start + 10s;
        ReplicatedLog log = elected(now);
        static_cast<void>(answerToRejection(log, now + 1ms, now));
        // A heartbeat that was under way when the offer was sent is refused too, which says nothing about the offer.
        CPPUNIT_ASSERT(answerToRejection(log, now + 2ms, now).messages.empty());
        const LogMessage next = onlyMessage(answerToRejection(log, now + 3ms, now + 1ms));
        CPPUNIT_ASSERT(next.kind() == LogMessageType::InstallCheckpoint);
    }

    void leader_offerOfEntriesLost_isRepeated()
    {
        const TimePoint now = m_start + 10s;
        ReplicatedLog log = elected(now);
        static_cast<void>(answerToRejection(log, now + 1ms, now));
        const LogMessage next = onlyMessage(answerToRejection(log, now + 3ms, now + 2ms));
        CPPUNIT_ASSERT(next.kind() == LogMessageType::Append);
        CPPUNIT_ASSERT_EQUAL(LogIndex(kCheckpointIndex), next.index);
    }

    void leader_sendsCheckpoint_noLongerCountsEntriesBehindIt()
    {
        const TimePoint now = m_start + 10s;
        ReplicatedLog log = elected(now);
        static_cast<void>(log.persisted(now, log.lastIndex()));
        accept(log, now + 1ms, kLastIndex + 1);
        CPPUNIT_ASSERT(log.isCaughtUp(m_second));
        static_cast<void>(answerToRejection(log, now + 2ms, now));
        static_cast<void>(answerToRejection(log, now + 3ms, now + 2ms));
        CPPUNIT_ASSERT(!log.isCaughtUp(m_second));
        accept(log, now + 4ms, kLastIndex + 1);
        CPPUNIT_ASSERT(log.isCaughtUp(m_second));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicatedLogFailureTest);
