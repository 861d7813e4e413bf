// The messages between the processes of a deployment: an envelope with a format version, a type, the
// sender and a payload encoded with MessageCodec.h. Forward and Reply go to a traffic thread, control
// types to the control thread.
#pragma once

#include "hickoryspur/process/ControlState.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace hickoryspur {

enum class PeerMessageType : uint8_t {
    Ping = 0,
    Pong = 1,
    Log = 2,
    LeaseRequest = 3,
    LeaseGrant = 4,
    PeerConfirmRequest = 5,
    PeerConfirmReply = 6,
    Directory = 7,
    CommandRequest = 8,
    CommandReply = 9,
    Observations = 10,
    /** Between control hosts: the announcement of an upstream that is leaving or has ended. */
    Departure = 11,
    /** Between control hosts: an UpstreamCountReport. */
    UpstreamCounts = 12,
    Forward = 20,
    Reply = 21,
    /** Between entries: a PeerCall, the replies to it, and its cancellation. */
    Call = 22,
    CallReply = 23,
    CallCancel = 24,
    EntryStatus = 30,
    EntryUpdate = 31,
    /** From an entry to control hosts: a UsageReport. */
    UsageCounts = 32,
};

struct PeerMessage
{
    static constexpr uint8_t kFormat = 1;

    uint8_t format = kFormat;
    uint8_t type = 0;
    NodeId from;
    /** Index of the receiving traffic thread, for Forward and Reply. */
    uint32_t thread = 0;
    std::string payload;
    MSGPACK_DEFINE(format, type, from, thread, payload)

    PeerMessageType kind() const { return static_cast<PeerMessageType>(type); }
};

/** Whether a command is answered when it is committed or only when it is in force at the entries. */
enum class CommandWait : uint8_t { Committed = 0, InForce = 1 };

struct CommandRequest
{
    uint64_t commandId = 0;
    Command command;
    uint8_t wait = 0;
    /** How long the leader may wait for the command to be in force before it replies. */
    int64_t timeoutMicros = 0;
    MSGPACK_DEFINE(commandId, command, wait, timeoutMicros)
};

struct CommandReply
{
    uint64_t commandId = 0;
    ApplyOutcome outcome;
    MSGPACK_DEFINE(commandId, outcome)
};

} // namespace hickoryspur
