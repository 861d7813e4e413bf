// Observations of traffic that entries send to the control hosts in batches: sub-requests by service,
// version, route, upstream and shard, to evaluate versions, and answers by service and caller, for the
// burn report.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/version/LatencyHistogram.h"

#include <map>
#include <string>
#include <vector>

namespace hickoryspur {

struct SubRequestTally
{
    uint64_t requests = 0;
    uint64_t failures = 0;
    /** Refused for load by the upstream or by its queue; not counted as evidence against a version. */
    uint64_t refused = 0;
    /** Latencies of the requests, except those of upstreams that are still cold. */
    LatencyHistogram latency;
    MSGPACK_DEFINE(requests, failures, refused, latency)

    void merge(const SubRequestTally &other);
};

/** Sub-requests of one version on one route, by upstream and by shard. */
struct RouteObservation
{
    std::map<std::string, SubRequestTally> byUpstream;
    std::map<uint32_t, SubRequestTally> byShard;
    MSGPACK_DEFINE(byUpstream, byShard)

    void merge(const RouteObservation &other);
    /** Sum over the upstreams. */
    SubRequestTally total() const;
};

/** Keyed by route name, which is the caller's name. */
using VersionObservation = std::map<std::string, RouteObservation>;

struct AnswerTally
{
    uint64_t answers = 0;
    uint64_t late = 0;
    uint64_t partial = 0;
    uint64_t refused = 0;
    LatencyHistogram latency;
    MSGPACK_DEFINE(answers, late, partial, refused, latency)

    void merge(const AnswerTally &other);
};

struct ServiceObservation
{
    std::map<std::string, VersionObservation> versions;
    std::map<std::string, AnswerTally> answers;
    MSGPACK_DEFINE(versions, answers)

    void merge(const ServiceObservation &other);
};

/** Observations of the production environment, by service. */
struct ObservationBatch
{
    std::map<std::string, ServiceObservation> services;
    MSGPACK_DEFINE(services)

    void merge(const ObservationBatch &other);
    bool empty() const { return services.empty(); }
};

} // namespace hickoryspur
