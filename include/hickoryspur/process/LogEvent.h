// Numbered log events. Every message written by HS_LOG starts with E and the number of its event.
// docs/LOG-EVENTS.md describes each number; a CI check compares it with this file.
//
//     HS_LOG(WARNING, LogEvent::PeerSilent) << "peer " << peer << " has not answered for 1 s";
#pragma once

#include <glog/logging.h>

namespace hickoryspur {

enum class LogEvent {
    ProcessStarted = 1000,
    ProcessStopping = 1001,
    ProcessStopped = 1002,
    LogRecovered = 1100,
    LogTailCut = 1101,
    CheckpointWritten = 1102,
    LogClosed = 1103,
    LeaderElected = 1200,
    LeaderLost = 1201,
    MemberChanged = 1202,
    ClusterIdentityMismatch = 1203,
    LeaderMissing = 1204,
    PeerSilent = 1300,
    PeerBack = 1301,
    MessageUndecodable = 1302,
    RequestHandlerFailed = 1303,
    ConnectionException = 1304,
    MessageGivenUp = 1305,
    AcceptFailed = 1306,
    DocumentAccepted = 1400,
    DocumentInForce = 1401,
    LeaseLost = 1402,
    LeaseRegained = 1403,
    ServingWithoutControl = 1404,
    DataCentreOut = 1405,
    DataCentreBack = 1406,
    OrderRefused = 1407,
    DocumentUnreadable = 1408,
    UpstreamArrived = 1500,
    UpstreamLost = 1501,
    UpstreamLeaving = 1502,
    UpstreamRestarted = 1503,
    UpstreamEjected = 1504,
    IdentityConflict = 1505,
    UpstreamsRecalled = 1506,
    ServiceWithoutUpstreams = 1507,
    ServiceHasUpstreams = 1508,
    UpstreamLimited = 1509,
    UpstreamLimitEnded = 1510,
    UpstreamSignalInvalid = 1511,
    UpstreamSaysLeaving = 1512,
    UpstreamPaused = 1513,
    UpstreamPauseEnded = 1514,
    UpstreamsUnreachable = 1515,
    UpstreamsReachable = 1516,
    UpstreamsLoaded = 1517,
    UpstreamLoadNormal = 1518,
    ConnectionSilent = 1600,
    ReplyMismatch = 1601,
    ConnectionsReported = 1602,
    MoveStarted = 1700,
    MoveDone = 1701,
    MoveTakenBack = 1702,
    MoveLate = 1703,
    SettingsReloaded = 1800,
    SettingsRefused = 1801,
    SessionOpened = 1802,
    SessionLost = 1803,
    RoutesApplied = 1804,
    RoutesUnreadable = 1805,
    StateFromLogs = 1806,
    UsageRowsDropped = 1850,
    RequestFailed = 1900,
    RequestPartial = 1901,
    RequestRefused = 1902,
    RequestSuspected = 1903,
    RequestQuarantined = 1904,
    RequestCleared = 1905,
    GroupLost = 1906,
    CallerFieldInvalid = 1907,
    RequestUnauthenticated = 1908,
    RequestNotAdmitted = 1910,
    DutyAcquired = 2000,
    DutyNotAcquired = 2001,
    DutyTokenRefused = 2002,
    UsageReportFailed = 2003,
    UsageWindowsDropped = 2004,
    UsageNotStored = 2005,
};

/** Limit on log lines about single requests, for each thread; lines beyond it are dropped and counted. */
constexpr int kMaxRequestLinesPerSecond = 40;
/** Counts a line against the calling thread's limit for this second; if it is used up, counts the line as dropped. */
bool mayLogRequest();

} // namespace hickoryspur

#define HS_LOG(severity, event) LOG(severity) << 'E' << static_cast<int>(event) << ' '
/** Like HS_LOG at WARNING, for lines about single requests; limited to kMaxRequestLinesPerSecond. */
#define HS_LOG_REQUEST(event) LOG_IF(WARNING, ::hickoryspur::mayLogRequest()) << 'E' << static_cast<int>(event) << ' '
