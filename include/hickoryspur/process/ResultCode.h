// The numbered result codes that callers and operators see, and Result, which holds a value or a
// Failure with its code. docs/RESULT-CODES.md describes each number; a CI check compares it with
// this file.
#pragma once

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace hickoryspur {

enum class ResultCode {
    Ok = 0,
    // 1xx: the request is invalid; nothing was run.
    MalformedRequest = 100,
    UnknownService = 101,
    UnknownCaller = 102,
    NotAllowed = 103,
    BodyTooLarge = 104,
    UnknownPath = 105,
    KeyReused = 106,
    KeyTooOld = 107,
    KeyRequired = 108,
    // 2xx: temporarily refused; the message says whether anything was run.
    Overloaded = 200,
    DeadlineTooShort = 201,
    NoShardMap = 202,
    EntryLeaving = 203,
    EntryWithoutLease = 204,
    NoUpstream = 205,
    ShuttingDown = 206,
    NoEntryConnected = 207,
    // 3xx: the request was started.
    CoverageTooLow = 300,
    OutcomeUnknown = 301,
    CallerGone = 302,
    SnapshotGone = 303,
    UpstreamFailed = 304,
    // 4xx: an operator's request failed.
    DocumentInvalid = 400,
    PredecessorMismatch = 401,
    NotTried = 402,
    NoLeader = 403,
    NoSuchDocument = 404,
    TooFewVoters = 405,
    NotInForce = 406,
    MemberChangePending = 407,
    MemberUnknown = 408,
    LastDataCentre = 409,
    DocumentQuestionable = 410,
    // 5xx: this process cannot continue.
    SettingsInvalid = 500,
    LogCorrupt = 501,
    DiskFailed = 502,
    AddressInUse = 503,
    UsageError = 504,
    TokenFileUnsafe = 505,
    ConnectionFailed = 506,
    ReplayMismatch = 507,
    // 6xx: results of a traffic move.
    MoveTakenBack = 600,
    MoveLate = 601,
    MoveTooLittleTraffic = 602,
};

/** The code's name as documented, for example "overloaded". */
std::string_view resultCodeName(ResultCode code);

/** Process exit code for a result: 20 times the code's hundreds plus its last two digits. */
constexpr int exitCode(ResultCode code)
{
    return static_cast<int>(code) / 100 * 20 + static_cast<int>(code) % 100;
}

struct Failure
{
    ResultCode code = ResultCode::Ok;
    std::string message;
    /** True only if no upstream was asked to run the request, or each one asked replied that it did not run it. */
    bool notRun = false;
};

template <typename Value> using Result = tl::expected<Value, Failure>;

inline tl::unexpected<Failure> failure(ResultCode code, std::string message, bool notRun = false)
{
    return tl::unexpected<Failure>(Failure{code, std::move(message), notRun});
}

} // namespace hickoryspur
