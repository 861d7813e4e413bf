// The durable state of a deployment: documents, outcomes of operators' requests, data centres that are
// out, shard maps, at-most-once claims, traffic moves, duties with one holder, usage that is not reported
// yet and the audit trail. It is built by applying the commands of the replicated log. Applying the same commands in
// the same order gives the same state on every host, so apply() reads no clock and draws no random number.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/ResultCode.h"

#include <msgpack.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickoryspur {

enum class Environment : uint8_t { Trial = 0, Production = 1 };

std::string_view environmentName(Environment environment);
std::optional<Environment> environmentFromName(std::string_view name);

enum class CommandType : uint8_t {
    SubmitDocument,
    PromoteDocument,
    MarkTried,
    DataCentreOut,
    DataCentreBack,
    SetShardMap,
    Claim,
    ClaimOutcome,
    SetMove,
    ReviveVersion,
    EntryUp,
    EntryDown,
    ReplaceRoutes,
    /** Makes operatorName the holder of the duty `subject` under a new fencing token; number: milliseconds since 1970.
     */
    AcquireDuty,
    /** Fixes what is reported for the usage window `number`: text; count is the fencing token of duty `subject`. */
    DecideUsage,
    /** The usage window `number` has been delivered. */
    UsageSent,
};

/** Number of command types that this build applies; a host of an earlier build skips the others. */
constexpr uint8_t kCommandTypes = static_cast<uint8_t>(CommandType::UsageSent) + 1;

/** One command. Its type decides which fields are used. New fields go at the end. */
struct Command
{
    uint8_t type = 0;
    std::string requestId;
    std::string operatorName;
    int64_t wallSeconds = 0;
    uint8_t environment = 0;
    std::string text;
    std::string digest;
    uint64_t expectedNumber = 0;
    std::string expectedDigest;
    /** The data centre, service or node that the command applies to. */
    std::string subject;
    uint64_t number = 0;
    uint64_t count = 0;
    std::string key;
    int64_t expiresAtSeconds = 0;
    MSGPACK_DEFINE(type, requestId, operatorName, wallSeconds, environment, text, digest, expectedNumber,
                   expectedDigest, subject, number, count, key, expiresAtSeconds)

    CommandType kind() const { return static_cast<CommandType>(type); }
};

/** The result of applying a command; for an operator's request it is stored and returned again on a resend. */
struct ApplyOutcome
{
    int code = 0;
    std::string message;
    uint64_t number = 0;
    std::string digest;
    MSGPACK_DEFINE(code, message, number, digest)

    ResultCode resultCode() const { return static_cast<ResultCode>(code); }
    bool ok() const { return code == 0; }
};

struct DocumentVersion
{
    uint64_t number = 0;
    std::string digest;
    std::string text;
    std::string operatorName;
    int64_t wallSeconds = 0;
    bool tried = false;
    /** Log index at which it was accepted; the version is in force when this index is. */
    uint64_t index = 0;
    MSGPACK_DEFINE(number, digest, text, operatorName, wallSeconds, tried, index)
};

/** The accepted configuration of routes, as its operator wrote it. */
struct AcceptedRoutes
{
    uint64_t number = 0;
    std::string text;
    MSGPACK_DEFINE(number, text)
};

struct ShardMap
{
    MapGeneration generation;
    uint32_t shards = 0;
    MSGPACK_DEFINE(generation, shards)
};

struct ClaimRecord
{
    std::string digest;
    NodeId entry;
    uint64_t incarnation = 0;
    int64_t expiresAtSeconds = 0;
    bool finished = false;
    int code = 0;
    std::string outcome;
    /** Id that the claiming entry gave to the claim; identifies a resend of the same claim. */
    uint64_t commandId = 0;
    MSGPACK_DEFINE(digest, entry, incarnation, expiresAtSeconds, finished, code, outcome, commandId)
};

struct StoredOutcome
{
    std::string requestDigest;
    ApplyOutcome outcome;
    MSGPACK_DEFINE(requestDigest, outcome)
};

struct AuditRecord
{
    uint64_t index = 0;
    int64_t wallSeconds = 0;
    std::string operatorName;
    std::string action;
    int code = 0;
    MSGPACK_DEFINE(index, wallSeconds, operatorName, action, code)
};

/** A duty that one host holds at a time. */
struct Duty
{
    /** Grows with every acquisition and is never given twice; 0 before the first one. */
    uint64_t token = 0;
    /** Name of the host that acquired the duty last. */
    std::string holder;
    /** True time of the first acquisition, in milliseconds since 1970. */
    int64_t sinceMillis = 0;
    MSGPACK_DEFINE(token, holder, sinceMillis)
};

/** What has been decided to be reported, by window. */
struct UsageLedger
{
    /** Number of the newest window that has been decided; 0 before the first one. */
    uint64_t lastDecided = 0;
    /** The packed counts of windows that have been decided and not yet delivered. */
    std::map<uint64_t, std::string> undelivered;
    MSGPACK_DEFINE(lastDecided, undelivered)
};

class ControlState
{
public:
    /** Undelivered usage windows that are kept: twenty minutes of windows of 5 s. */
    static constexpr size_t kMaxUndeliveredWindows = 240;
    /** Limit on the bytes of the undelivered windows, since every checkpoint contains them. */
    static constexpr size_t kMaxUndeliveredBytes = 8UL * 1024 * 1024;
    /** How long the key of a claim is kept after it was claimed, in seconds. */
    static constexpr int64_t kClaimRetentionSeconds = 24LL * 3600;

    ApplyOutcome apply(LogIndex index, const Command &command);

    LogIndex appliedIndex() const { return LogIndex(m_index); }
    /** Null until a document is accepted. */
    const DocumentVersion *current(Environment environment) const;
    const std::vector<DocumentVersion> &history(Environment environment) const;
    /** Has number 0 until a configuration is accepted. */
    const AcceptedRoutes &routes() const { return m_routes; }
    const std::set<std::string> &dataCentresOut() const { return m_dataCentresOut; }
    /** Per service, the maps that may still be served, newest last. */
    const std::map<std::string, std::vector<ShardMap>> &shardMaps() const { return m_maps; }
    /** Null if no claim of the key is stored. */
    const ClaimRecord *claim(const std::string &service, const std::string &key) const;
    size_t claimCount() const { return m_claims.size(); }
    /** The stored state of each service's traffic move, as packed by the move code. */
    const std::map<std::string, std::string> &moves() const { return m_moves; }
    /** Entries that hold a lease, or held one until recently, with their incarnations; homes are assigned to these. */
    const std::map<std::string, uint64_t> &entries() const { return m_entries; }
    /** The entries before the last change; their homes are given time to finish work. */
    const std::map<std::string, uint64_t> &previousEntries() const { return m_previousEntries; }
    const std::set<std::string> &previousDataCentresOut() const { return m_previousDataCentresOut; }
    /** Log index of the last change to entries() or dataCentresOut(); acts as the fencing token of homes. */
    LogIndex homeEpoch() const { return LogIndex(m_homeEpoch); }
    const std::deque<AuditRecord> &audit() const { return m_audit; }
    /** Has token 0 until some host has acquired the duty. */
    const Duty &duty(const std::string &name) const;
    const UsageLedger &usage() const { return m_usage; }
    /**
     * Takes over the duties and the usage of `previous` if this state has none. A host of an earlier build writes
     * checkpoints without them; another host that installs such a checkpoint would otherwise lose what is decided.
     */
    void keepDutiesOf(const ControlState &previous);

    std::string serialize() const;
    static std::optional<ControlState> deserialize(const std::string &bytes);

    MSGPACK_DEFINE(m_index, m_wallSeconds, m_documents, m_outcomes, m_outcomeOrder, m_dataCentresOut, m_maps, m_claims,
                   m_claimExpiry, m_moves, m_entries, m_homeEpoch, m_audit, m_previousEntries, m_previousDataCentresOut,
                   m_routes, m_duties, m_usage)

private:
    ApplyOutcome applyOnce(const Command &command);
    ApplyOutcome submit(const Command &command);
    ApplyOutcome promote(const Command &command);
    ApplyOutcome accept(Environment environment, const Command &command, const std::string &text);
    ApplyOutcome setDataCentre(const Command &command, bool out);
    ApplyOutcome setShardMap(const Command &command);
    /** Stores the move if expectedDigest is empty or is the digest of the stored one. */
    ApplyOutcome setMove(const Command &command);
    ApplyOutcome claimKey(const Command &command);
    ApplyOutcome finishClaim(const Command &command);
    ApplyOutcome revive(const Command &command);
    ApplyOutcome setEntry(const Command &command, bool up);
    ApplyOutcome markTried(const Command &command);
    ApplyOutcome replaceRoutes(const Command &command);
    ApplyOutcome acquireDuty(const Command &command);
    ApplyOutcome decideUsage(const Command &command);
    /** Returns how many windows were dropped to keep within the limits. */
    uint64_t dropOldestUsage();
    void startHomeEpoch();
    void expireClaims();
    void storeOutcome(const Command &command, const ApplyOutcome &outcome);
    void writeAudit(const Command &command, const ApplyOutcome &outcome);

    uint64_t m_index = 0;
    int64_t m_wallSeconds = 0;
    std::map<uint8_t, std::vector<DocumentVersion>> m_documents;
    std::map<std::string, StoredOutcome> m_outcomes;
    std::deque<std::string> m_outcomeOrder;
    std::set<std::string> m_dataCentresOut;
    std::map<std::string, std::vector<ShardMap>> m_maps;
    std::map<std::string, ClaimRecord> m_claims;
    std::set<std::pair<int64_t, std::string>> m_claimExpiry;
    std::map<std::string, std::string> m_moves;
    std::map<std::string, uint64_t> m_entries;
    uint64_t m_homeEpoch = 0;
    std::deque<AuditRecord> m_audit;
    std::map<std::string, uint64_t> m_previousEntries;
    std::set<std::string> m_previousDataCentresOut;
    AcceptedRoutes m_routes;
    std::map<std::string, Duty> m_duties;
    UsageLedger m_usage;
};

} // namespace hickoryspur
