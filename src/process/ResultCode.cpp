#include "hickoryspur/process/ResultCode.h"

namespace hickoryspur {

std::string_view resultCodeName(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return "ok";
    case ResultCode::MalformedRequest:
        return "malformed-request";
    case ResultCode::UnknownService:
        return "unknown-service";
    case ResultCode::UnknownCaller:
        return "unknown-caller";
    case ResultCode::NotAllowed:
        return "not-allowed";
    case ResultCode::BodyTooLarge:
        return "body-too-large";
    case ResultCode::UnknownPath:
        return "unknown-path";
    case ResultCode::KeyReused:
        return "key-reused";
    case ResultCode::KeyTooOld:
        return "key-too-old";
    case ResultCode::KeyRequired:
        return "key-required";
    case ResultCode::Overloaded:
        return "overloaded";
    case ResultCode::DeadlineTooShort:
        return "deadline-too-short";
    case ResultCode::NoShardMap:
        return "no-shard-map";
    case ResultCode::EntryLeaving:
        return "entry-leaving";
    case ResultCode::EntryWithoutLease:
        return "entry-without-lease";
    case ResultCode::NoUpstream:
        return "no-upstream";
    case ResultCode::NoEntryConnected:
        return "no-entry-connected";
    case ResultCode::ShuttingDown:
        return "shutting-down";
    case ResultCode::CoverageTooLow:
        return "coverage-too-low";
    case ResultCode::OutcomeUnknown:
        return "outcome-unknown";
    case ResultCode::CallerGone:
        return "caller-gone";
    case ResultCode::SnapshotGone:
        return "snapshot-gone";
    case ResultCode::UpstreamFailed:
        return "upstream-failed";
    case ResultCode::DocumentInvalid:
        return "document-invalid";
    case ResultCode::PredecessorMismatch:
        return "predecessor-mismatch";
    case ResultCode::NotTried:
        return "not-tried";
    case ResultCode::NoLeader:
        return "no-leader";
    case ResultCode::NoSuchDocument:
        return "no-such-document";
    case ResultCode::TooFewVoters:
        return "too-few-voters";
    case ResultCode::NotInForce:
        return "not-in-force";
    case ResultCode::MemberChangePending:
        return "member-change-pending";
    case ResultCode::MemberUnknown:
        return "member-unknown";
    case ResultCode::LastDataCentre:
        return "last-data-centre";
    case ResultCode::DocumentQuestionable:
        return "document-questionable";
    case ResultCode::SettingsInvalid:
        return "settings-invalid";
    case ResultCode::LogCorrupt:
        return "log-corrupt";
    case ResultCode::DiskFailed:
        return "disk-failed";
    case ResultCode::AddressInUse:
        return "address-in-use";
    case ResultCode::UsageError:
        return "usage-error";
    case ResultCode::TokenFileUnsafe:
        return "token-file-unsafe";
    case ResultCode::ConnectionFailed:
        return "connection-failed";
    case ResultCode::ReplayMismatch:
        return "replay-mismatch";
    case ResultCode::MoveTakenBack:
        return "move-taken-back";
    case ResultCode::MoveLate:
        return "move-late";
    case ResultCode::MoveTooLittleTraffic:
        return "move-too-little-traffic";
    }
    return "unnamed";
}

} // namespace hickoryspur
