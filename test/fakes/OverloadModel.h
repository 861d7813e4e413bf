// Entries and upstreams under overload, in virtual time: requests of three kinds at a multiple of the usual load, while
// half of the replicas are slower. The entries decide with the real ScatterGather, ReplicaTracker, RequestAdmission and
// Admission; connections and upstreams are simulated.
#pragma once

#include "fakes/VirtualTime.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hickoryspur::overload {

/** How entries order requests. */
enum class Policy {
    /** Everything is sent on arrival; connections serve it in that order. */
    Arrival,
    /** Everything is sent on arrival; connections serve the most urgent first. */
    StrictPriority,
    /** Everything is sent on arrival; connections serve the earliest deadline first. */
    EarliestDeadline,
    /** Kinds take turns, the earliest deadline of each first, within an adaptive limit (class Admission). */
    WeightedFair,
    /** RequestAdmission, and connections serve the most urgent first. */
    Cost,
};

const char *nameOf(Policy policy);

struct KindResult
{
    std::string name;
    uint64_t asked = 0;
    /** Answered within the target latency. */
    uint64_t inTarget = 0;
    uint64_t answeredLate = 0;
    /** Refused within a quarter of the target latency, so that the caller can succeed on another try. */
    uint64_t refusedEarly = 0;
    uint64_t refusedLate = 0;
    /** Ended without an answer after it had been sent to upstreams. */
    uint64_t failed = 0;
};

struct OverloadSettings
{
    Policy policy = Policy::Cost;
    /** Multiple of the usual load. */
    double load = 1;
    /** How many times slower half of the replicas are. */
    double slowFactor = 1;
    uint32_t entries = 8;
    uint32_t shards = 20;
    Duration time = 4s;
    uint64_t seed = 1;
};

/** Urgent look-ups, full searches and requests to a single upstream, in this order. */
std::vector<KindResult> runOverload(const OverloadSettings &settings);

} // namespace hickoryspur::overload
