// Numbered log events. Every line written by HS_LOG starts with its number, which
// docs/LOG-EVENTS.md explains; a CI check keeps both in step.
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
    LeaderElected = 1200,
    LeaderLost = 1201,
    MemberChanged = 1202,
    ClusterIdentityMismatch = 1203,
    PeerSilent = 1300,
    PeerBack = 1301,
    MessageUndecodable = 1302,
    DocumentAccepted = 1400,
    DocumentInForce = 1401,
    LeaseLost = 1402,
    LeaseRegained = 1403,
    ServingWithoutControl = 1404,
    DataCentreOut = 1405,
    DataCentreBack = 1406,
    UpstreamArrived = 1500,
    UpstreamLost = 1501,
    UpstreamLeaving = 1502,
    UpstreamRestarted = 1503,
    UpstreamEjected = 1504,
    IdentityConflict = 1505,
    ConnectionSilent = 1600,
    ReplyMismatch = 1601,
    MoveStarted = 1700,
    MoveDone = 1701,
    MoveTakenBack = 1702,
    MoveLate = 1703,
};

} // namespace hickoryspur

#define HS_LOG(severity, event) LOG(severity) << 'E' << static_cast<int>(event) << ' '
