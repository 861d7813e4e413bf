#include "hickoryspur/process/ControlState.h"

#include "hickoryspur/process/Check.h"
#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/MessageCodec.h"

#include <algorithm>

namespace hickoryspur {

namespace {

constexpr size_t kMaxStoredOutcomes = 10000;
constexpr size_t kMaxAuditRecords = 10000;
constexpr size_t kMaxDocumentVersions = 200;
/** The previous map is served beside the newest one until its snapshots are gone. */
constexpr size_t kMaxShardMaps = 3;

ApplyOutcome refuse(ResultCode code, std::string message)
{
    return {static_cast<int>(code), std::move(message), 0, ""};
}

std::string claimName(const std::string &service, const std::string &key)
{
    return service + '\n' + key;
}

std::string requestDigest(const Command &command)
{
    return sha256Hex(std::to_string(command.type) + '\n' + std::to_string(command.environment) + '\n' + command.subject
                     + '\n' + std::to_string(command.expectedNumber) + '\n' + command.expectedDigest + '\n'
                     + command.digest + '\n' + command.text);
}

std::string auditAction(const Command &command)
{
    switch (command.kind()) {
    case CommandType::SubmitDocument:
        return "submit " + std::string(environmentName(static_cast<Environment>(command.environment)));
    case CommandType::PromoteDocument:
        return "promote " + command.digest;
    case CommandType::DataCentreOut:
        return "data-centre out " + command.subject;
    case CommandType::DataCentreBack:
        return "data-centre back " + command.subject;
    case CommandType::ReviveVersion:
        return "revive " + command.subject;
    default:
        return "";
    }
}

} // namespace

std::string_view environmentName(Environment environment)
{
    return environment == Environment::Trial ? "trial" : "production";
}

std::optional<Environment> environmentFromName(std::string_view name)
{
    if (name == "trial")
        return Environment::Trial;
    if (name == "production")
        return Environment::Production;
    return std::nullopt;
}

ApplyOutcome ControlState::apply(LogIndex index, const Command &command)
{
    HS_INVARIANT(CommittedKept, index.value() > m_index) << "applying " << index << " after " << m_index;
    m_index = index.value();
    m_wallSeconds = std::max(m_wallSeconds, command.wallSeconds);
    expireClaims();
    if (command.requestId.empty())
        return applyOnce(command);

    const auto found = m_outcomes.find(command.requestId);
    if (found != m_outcomes.end()) {
        if (found->second.requestDigest != requestDigest(command))
            return refuse(ResultCode::KeyReused, "the request id " + command.requestId + " named another request");
        return found->second.outcome;
    }
    ApplyOutcome outcome = applyOnce(command);
    storeOutcome(command, outcome);
    writeAudit(command, outcome);
    return outcome;
}

ApplyOutcome ControlState::applyOnce(const Command &command)
{
    switch (command.kind()) {
    case CommandType::SubmitDocument:
        return submit(command);
    case CommandType::PromoteDocument:
        return promote(command);
    case CommandType::MarkTried:
        return markTried(command);
    case CommandType::DataCentreOut:
        return setDataCentre(command, true);
    case CommandType::DataCentreBack:
        return setDataCentre(command, false);
    case CommandType::SetShardMap:
        return setShardMap(command);
    case CommandType::Claim:
        return claimKey(command);
    case CommandType::ClaimOutcome:
        return finishClaim(command);
    case CommandType::SetMove:
        return setMove(command);
    case CommandType::ReviveVersion:
        return revive(command);
    case CommandType::EntryUp:
        return setEntry(command, true);
    case CommandType::EntryDown:
        return setEntry(command, false);
    case CommandType::ReplaceRoutes:
        return replaceRoutes(command);
    case CommandType::AcquireDuty:
        return acquireDuty(command);
    case CommandType::DecideUsage:
        return decideUsage(command);
    case CommandType::UsageSent:
        m_usage.undelivered.erase(command.number);
        return {};
    }
    // A command type of a newer release. Every host of this release skips it, so states stay equal.
    return refuse(ResultCode::MalformedRequest, "unknown command type " + std::to_string(command.type));
}

ApplyOutcome ControlState::submit(const Command &command)
{
    return accept(static_cast<Environment>(command.environment), command, command.text);
}

ApplyOutcome ControlState::promote(const Command &command)
{
    const DocumentVersion *trial = current(Environment::Trial);
    if (!trial || trial->digest != command.digest)
        return refuse(ResultCode::NotTried, "the trial document is not " + command.digest);
    if (!trial->tried)
        return refuse(ResultCode::NotTried, "the trial document has not been in force yet");
    return accept(Environment::Production, command, trial->text);
}

ApplyOutcome ControlState::accept(Environment environment, const Command &command, const std::string &text)
{
    const DocumentVersion *previous = current(environment);
    const uint64_t number = previous ? previous->number : 0;
    const std::string digest = previous ? previous->digest : "";
    // The digest is compared too: with the number alone, the loser of a race between two submissions
    // could overwrite the winner by resending.
    if (command.expectedNumber != number || command.expectedDigest != digest) {
        ApplyOutcome outcome = refuse(ResultCode::PredecessorMismatch,
                                      "the document in place is number " + std::to_string(number) + ", digest "
                                          + (digest.empty() ? "none" : digest));
        outcome.number = number;
        outcome.digest = digest;
        return outcome;
    }
    std::vector<DocumentVersion> &versions = m_documents[static_cast<uint8_t>(environment)];
    DocumentVersion version;
    version.number = number + 1;
    version.text = text;
    version.digest = sha256Hex(text);
    version.operatorName = command.operatorName;
    version.wallSeconds = command.wallSeconds;
    HS_INVARIANT(VersionNeverLower, version.number > number) << version.number << " after " << number;
    version.index = m_index;
    versions.push_back(version);
    if (versions.size() > kMaxDocumentVersions)
        versions.erase(versions.begin());
    return {0, "accepted", version.number, version.digest};
}

ApplyOutcome ControlState::markTried(const Command &command)
{
    std::vector<DocumentVersion> &versions = m_documents[static_cast<uint8_t>(Environment::Trial)];
    if (!versions.empty() && versions.back().digest == command.digest)
        versions.back().tried = true;
    return {};
}

ApplyOutcome ControlState::replaceRoutes(const Command &command)
{
    // The number 0 stands for no routes; acknowledged, these would never be in force.
    if (command.number == 0 && m_routes.number == 0)
        return refuse(ResultCode::MalformedRequest, "the number of the first routes must be above zero");
    // The highest number wins in any order of arrival, so a resent or superseded change is not an error.
    if (command.number <= m_routes.number)
        return {0, "not higher than the version in place", m_routes.number, ""};
    m_routes = {command.number, command.text};
    return {0, "accepted", command.number, ""};
}

ApplyOutcome ControlState::setMove(const Command &command)
{
    std::string &stored = m_moves[command.subject];
    // An operator's order and a step of the leader may be proposed at the same time; the later one was decided on
    // a state that is no longer current.
    if (!command.expectedDigest.empty() && command.expectedDigest != sha256Hex(stored))
        return refuse(ResultCode::PredecessorMismatch, "the move of " + command.subject + " has changed meanwhile");
    stored = command.text;
    return {};
}

ApplyOutcome ControlState::setDataCentre(const Command &command, bool out)
{
    const bool changed = m_dataCentresOut.contains(command.subject) != out;
    if (changed) {
        startHomeEpoch();
        if (out)
            m_dataCentresOut.insert(command.subject);
        else
            m_dataCentresOut.erase(command.subject);
    }
    return {0, changed ? "accepted" : "already so", m_index, ""};
}

ApplyOutcome ControlState::setShardMap(const Command &command)
{
    std::vector<ShardMap> &maps = m_maps[command.subject];
    const MapGeneration generation(command.number);
    const auto same =
        std::find_if(maps.begin(), maps.end(), [&](const ShardMap &map) { return map.generation == generation; });
    if (same != maps.end()) {
        if (same->shards != command.count)
            return refuse(ResultCode::MalformedRequest, "another count of shards is known for this map generation");
        return {};
    }
    if (!maps.empty() && generation < maps.front().generation)
        return refuse(ResultCode::MalformedRequest, "this map generation is over");
    maps.push_back({generation, static_cast<uint32_t>(command.count)});
    std::sort(maps.begin(), maps.end(),
              [](const ShardMap &left, const ShardMap &right) { return left.generation < right.generation; });
    if (maps.size() > kMaxShardMaps)
        maps.erase(maps.begin());
    return {};
}

ApplyOutcome ControlState::claimKey(const Command &command)
{
    if (command.expiresAtSeconds <= m_wallSeconds)
        return refuse(ResultCode::KeyTooOld, "the key's time is over");
    const std::string name = claimName(command.subject, command.key);
    const auto found = m_claims.find(name);
    if (found != m_claims.end()) {
        const ClaimRecord &claim = found->second;
        if (claim.digest != command.digest)
            return refuse(ResultCode::KeyReused, "the key named another request");
        const bool resent = claim.entry.value() == command.operatorName && claim.incarnation == command.number
            && claim.commandId == command.count;
        if (!claim.finished && resent)
            return {};
        if (!claim.finished)
            return refuse(ResultCode::OutcomeUnknown, "the request was claimed before and its outcome is not known");
        return {static_cast<int>(claim.code), claim.outcome, 1, claim.digest};
    }
    ClaimRecord claim;
    claim.digest = command.digest;
    claim.entry = NodeId(command.operatorName);
    claim.incarnation = command.number;
    claim.commandId = command.count;
    claim.expiresAtSeconds = command.expiresAtSeconds;
    m_claims.emplace(name, std::move(claim));
    m_claimExpiry.emplace(command.expiresAtSeconds, name);
    return {};
}

ApplyOutcome ControlState::finishClaim(const Command &command)
{
    const auto found = m_claims.find(claimName(command.subject, command.key));
    if (found == m_claims.end() || found->second.finished)
        return {};
    found->second.finished = true;
    found->second.code = static_cast<int>(command.count);
    found->second.outcome = command.text;
    return {};
}

ApplyOutcome ControlState::revive(const Command &command)
{
    const auto move = m_moves.find(command.subject);
    // The new state is derived from the one that the operator saw, so it is refused if the move has
    // changed since then.
    if (move == m_moves.end() || sha256Hex(move->second) != command.expectedDigest)
        return refuse(ResultCode::PredecessorMismatch, "the move has changed meanwhile; look at it again");
    move->second = command.text;
    return {0, "accepted", m_index, ""};
}

ApplyOutcome ControlState::setEntry(const Command &command, bool up)
{
    const auto found = m_entries.find(command.subject);
    const bool changed = up ? found == m_entries.end() || found->second != command.number : found != m_entries.end();
    if (!changed)
        return {};
    startHomeEpoch();
    if (up)
        m_entries[command.subject] = command.number;
    else
        m_entries.erase(found);
    return {};
}

ApplyOutcome ControlState::acquireDuty(const Command &command)
{
    Duty &duty = m_duties[command.subject];
    // The log index is the token: it grows, and it stays equal on all hosts even if one of them lacks earlier
    // acquisitions because it ran an earlier build, which skips them.
    HS_INVARIANT(VersionNeverLower, m_index > duty.token) << "token " << m_index << " after " << duty.token;
    if (duty.token == 0)
        duty.sinceMillis = static_cast<int64_t>(command.number);
    duty.token = m_index;
    duty.holder = command.operatorName;
    return {0, "accepted", duty.token, ""};
}

ApplyOutcome ControlState::decideUsage(const Command &command)
{
    if (command.count != duty(command.subject).token)
        return refuse(ResultCode::PredecessorMismatch, "the fencing token is outdated");
    if (command.number <= m_usage.lastDecided)
        return {0, "already decided", 0, ""};
    m_usage.lastDecided = command.number;
    m_usage.undelivered[command.number] = command.text;
    return {0, "accepted", dropOldestUsage(), ""};
}

uint64_t ControlState::dropOldestUsage()
{
    size_t bytes = 0;
    for (const auto &[window, counts] : m_usage.undelivered)
        bytes += counts.size();
    uint64_t dropped = 0;
    while (m_usage.undelivered.size() > kMaxUndeliveredWindows
           || (bytes > kMaxUndeliveredBytes && m_usage.undelivered.size() > 1)) {
        bytes -= m_usage.undelivered.begin()->second.size();
        m_usage.undelivered.erase(m_usage.undelivered.begin());
        ++dropped;
    }
    return dropped;
}

void ControlState::startHomeEpoch()
{
    m_previousEntries = m_entries;
    m_previousDataCentresOut = m_dataCentresOut;
    m_homeEpoch = m_index;
}

void ControlState::expireClaims()
{
    while (!m_claimExpiry.empty() && m_claimExpiry.begin()->first <= m_wallSeconds) {
        m_claims.erase(m_claimExpiry.begin()->second);
        m_claimExpiry.erase(m_claimExpiry.begin());
    }
}

void ControlState::storeOutcome(const Command &command, const ApplyOutcome &outcome)
{
    m_outcomes[command.requestId] = {requestDigest(command), outcome};
    m_outcomeOrder.push_back(command.requestId);
    if (m_outcomeOrder.size() > kMaxStoredOutcomes) {
        m_outcomes.erase(m_outcomeOrder.front());
        m_outcomeOrder.pop_front();
    }
}

void ControlState::writeAudit(const Command &command, const ApplyOutcome &outcome)
{
    const std::string action = auditAction(command);
    if (action.empty())
        return;
    m_audit.push_back({m_index, command.wallSeconds, command.operatorName, action, outcome.code});
    if (m_audit.size() > kMaxAuditRecords)
        m_audit.pop_front();
}

const DocumentVersion *ControlState::current(Environment environment) const
{
    const auto found = m_documents.find(static_cast<uint8_t>(environment));
    return found == m_documents.end() || found->second.empty() ? nullptr : &found->second.back();
}

const std::vector<DocumentVersion> &ControlState::history(Environment environment) const
{
    static const std::vector<DocumentVersion> none;
    const auto found = m_documents.find(static_cast<uint8_t>(environment));
    return found == m_documents.end() ? none : found->second;
}

const ClaimRecord *ControlState::claim(const std::string &service, const std::string &key) const
{
    const auto found = m_claims.find(claimName(service, key));
    return found == m_claims.end() ? nullptr : &found->second;
}

const Duty &ControlState::duty(const std::string &name) const
{
    static const Duty none;
    const auto found = m_duties.find(name);
    return found == m_duties.end() ? none : found->second;
}

void ControlState::keepDutiesOf(const ControlState &previous)
{
    if (!m_duties.empty())
        return;
    m_duties = previous.m_duties;
    m_usage = previous.m_usage;
}

std::string ControlState::serialize() const
{
    return pack(*this);
}

std::optional<ControlState> ControlState::deserialize(const std::string &bytes)
{
    if (bytes.empty())
        return ControlState();
    return unpack<ControlState>(bytes);
}

} // namespace hickoryspur
