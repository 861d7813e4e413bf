#include "hickoryspur/version/Observation.h"

namespace hickoryspur {

namespace {

template <typename Map> void mergeMaps(Map &into, const Map &from)
{
    for (const auto &[key, value] : from)
        into[key].merge(value);
}

} // namespace

void SubRequestTally::merge(const SubRequestTally &other)
{
    requests += other.requests;
    failures += other.failures;
    refused += other.refused;
    latency.merge(other.latency);
}

void RouteObservation::merge(const RouteObservation &other)
{
    mergeMaps(byUpstream, other.byUpstream);
    mergeMaps(byShard, other.byShard);
}

SubRequestTally RouteObservation::total() const
{
    SubRequestTally result;
    for (const auto &[upstream, tally] : byUpstream)
        result.merge(tally);
    return result;
}

void AnswerTally::merge(const AnswerTally &other)
{
    answers += other.answers;
    late += other.late;
    partial += other.partial;
    refused += other.refused;
    latency.merge(other.latency);
}

void ServiceObservation::merge(const ServiceObservation &other)
{
    for (const auto &[version, observation] : other.versions)
        mergeMaps(versions[version], observation);
    mergeMaps(answers, other.answers);
}

void ObservationBatch::merge(const ObservationBatch &other)
{
    mergeMaps(services, other.services);
}

} // namespace hickoryspur
