// Splits one entry's requests to a service between two versions of its replicas while a move runs, and
// collects the observations by which the leading control host evaluates the new version. The shares
// come from the log. An entry that no longer hears a confirmed leader could miss that the new version
// was found bad, so after a while it sends its requests to the old version only.
//
// It does no I/O. One instance serves one entry.
#pragma once

#include "hickoryspur/process/Time.h"
#include "hickoryspur/request/ReplicaTracker.h"
#include "hickoryspur/request/VersionPicker.h"
#include "hickoryspur/version/Observation.h"
#include "hickoryspur/version/TrafficMove.h"

#include <map>
#include <optional>
#include <random>
#include <string>

namespace hickoryspur {

/** The replicas of a service that a request may be sent to. */
enum class VersionGroup : uint8_t {
    /** No move of the service was ordered. */
    Any,
    /** All versions but the one that the move leads to. */
    Old,
    New,
};

/** One finished sub-request to a replica of a service. */
struct VersionSample
{
    ServiceName service;
    VersionName version;
    std::string route;
    UpstreamId upstream;
    AttemptOutcome outcome = AttemptOutcome::Answered;
    Duration latency = Duration::zero();
    /** The replica has started recently, so its latency says nothing about its version. */
    bool cold = false;
};

class VersionSplit
{
public:
    /** How long the shares hold without an update of a confirmed leader. */
    static constexpr Duration kShareValidity = 2s;

    explicit VersionSplit(uint64_t seed)
        : m_random(seed)
    {
    }

    /** Sets the states of all moves, packed as in the log. */
    void setMoves(const std::map<std::string, std::string> &packed);
    /** A control host that leads, confirmed by a majority, has sent an update. */
    void recordLeaderContact(TimePoint now) { m_lastLeaderContact = now; }
    /** Draws the replicas for one request to the service. */
    VersionGroup pick(TimePoint now, const ServiceName &service);
    /** The replicas for a further attempt of the same request, whose first attempt went to the given group. */
    VersionGroup pickForExtra(const ServiceName &service, VersionGroup first) const;
    bool isInGroup(const ServiceName &service, const VersionName &version, VersionGroup group) const;
    /** Whether the version was found bad, so that it gets no more requests. */
    bool isTakenBack(const ServiceName &service, const VersionName &version) const;
    /** The group that may be used if the service has no replica in the given one; nullopt if none may. */
    std::optional<VersionGroup> fallback(const ServiceName &service, VersionGroup group) const;

    void record(const VersionSample &sample);
    /** Returns and clears the observations made since the last call. */
    ObservationBatch drainObservations();

private:
    struct Move
    {
        MoveState state;
        VersionPicker picker;
    };

    const Move *findMove(const ServiceName &service) const;

    std::map<ServiceName, Move> m_moves;
    TimePoint m_lastLeaderContact;
    ObservationBatch m_observations;
    std::mt19937_64 m_random;
};

} // namespace hickoryspur
