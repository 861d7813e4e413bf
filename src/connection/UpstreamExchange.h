// One request to an upstream and its answer, as the connections to upstreams carry it.
#pragma once

#include "hickoryspur/process/ByteBudget.h"
#include "hickoryspur/process/Settings.h"
#include "hickoryspur/process/Time.h"
#include "hickoryspur/request/ReplicaTracker.h"
#include "hickoryspur/request/RequestCodec.h"

#include <cstdint>
#include <functional>
#include <string>

namespace hickoryspur {

struct UpstreamTarget
{
    UpstreamId id;
    HostAddress address;
    /** Maximum number of connections that this entry opens to the upstream. */
    uint32_t connections = 1;
    /** Whether a connection stays open while no request runs. */
    bool keepsIdle = true;
};

struct ExchangeRequest
{
    /**
     * Encodes the request at the time of sending, which may be later than send() if it waits for a connection. Called
     * at most once, right before the first byte is written.
     */
    std::function<std::string(TimePoint)> encode;
    std::string requestId;
    /** Whether the request is a HEAD, whose answer has no body. */
    bool isHead = false;
    /** Size of the request's body, known before it is encoded; bounds what one upstream holds, see ConnectionPool. */
    size_t bodyBytes = 0;
    /** An exchange without an answer ends then: NoResponse if it was sent, NotSent otherwise. */
    TimePoint deadline;
    /**
     * Set for a request that must not be sent twice: it uses only a new or recently used connection, which
     * the upstream cannot have closed for idleness.
     */
    bool fresh = false;
    /** Of the exchanges that wait for a connection, one with a lower number goes first; equal ones in order of arrival.
     */
    int priority = 0;
    /** Whether the request may still be sent; asked again until it is, since it may wait for a connection meanwhile. */
    std::function<bool()> mayStart = [] { return true; };
};

struct ExchangeResult
{
    /** Answered, Failed, Lost, NotSent, Withheld, NoResponse or Cancelled; Answered says nothing about the answer's
     * status.
     */
    AttemptOutcome outcome = AttemptOutcome::Failed;
    UpstreamAnswer answer;
    /** Why there is no answer; empty if there is one. */
    std::string reason;
    /** Counts the answer's bytes; kept as long as these are. */
    ByteBudget::Share held{};
};

/** Names an exchange while it runs; unique within the process. */
using ExchangeHandle = uint64_t;

/** Calls done exactly once. */
struct Exchange
{
    ExchangeHandle handle = 0;
    ExchangeRequest request;
    std::function<void(ExchangeResult)> done;
};

} // namespace hickoryspur
