// View is an immutable snapshot of the control state: documents, services with their upstreams and homes,
// and the entries. The control thread publishes it and the traffic threads read it. A change is published
// as a whole new View. ViewPointer shares ownership, so that a View lives as long as a thread reads it.
#pragma once

#include "hickoryspur/process/Settings.h"
#include "hickoryspur/request/QueryPlan.h"
#include "hickoryspur/version/DocumentCache.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hickoryspur {

/** How a service's queries are split between its versions while traffic moves. */
struct VersionShare
{
    VersionName from;
    VersionName to;
    /** Share of queries for `to`, from 0 to 1. */
    double share = 0;
    /** Versions that the evaluation found bad; they get no queries. */
    std::set<std::string> badVersions;
};

struct EnvironmentView
{
    /** Number and digest of the document. */
    uint64_t number = 0;
    std::string digest;
    Document document;
    std::map<ServiceName, ServiceView> services;
    /** One for each service with a stored traffic move. */
    std::map<ServiceName, VersionShare> shares;
};

struct EntryView
{
    NodeSettings settings;
    /** Its address is given to callers: it holds a lease, is not leaving and its data centre is not out. */
    bool offered = false;
};

struct View
{
    std::map<Environment, EnvironmentView> environments;
    std::vector<EntryView> entries;
    std::set<std::string> dataCentresOut;
    /** Index of the last log entry that the control state includes. */
    LogIndex applied;
    /** Log index of the last change to the entries or data centres on which homes are placed. */
    LogIndex homeEpoch;
    /** Log index up to which changes are in force. */
    LogIndex inForce;

    const EnvironmentView *find(Environment environment) const;
    bool isOut(const DataCentreName &dataCentre) const { return dataCentresOut.contains(dataCentre.value()); }
};

using ViewPointer = std::shared_ptr<const View>;

class UpstreamDirectory;

/**
 * Builds a View from the control state and the known upstreams. With handoverPending, the previous home of an upstream
 * may still run work on it; build() then marks the upstreams whose home changed.
 */
class ViewBuilder
{
public:
    /** @param settings Must outlive the builder. */
    explicit ViewBuilder(const Settings &settings)
        : m_settings(settings)
    {
    }

    ViewPointer build(const ControlState &state, const UpstreamDirectory &directory, LogIndex inForce,
                      bool handoverPending);

private:
    using EntrySet = std::map<std::string, uint64_t>;

    std::vector<NodeId> candidateHomes(const EntrySet &entries, const std::set<std::string> &out,
                                       const DataCentreName *dataCentre) const;
    NodeId homeFor(const Announcement &upstream, const EntrySet &entries, const std::set<std::string> &out) const;
    void addUpstream(View &view, const ControlState &state, const Announcement &announcement, bool handoverPending);
    void addDocument(View &view, const ControlState &state, Environment environment);
    void addVersionShares(View &view, const ControlState &state) const;
    void addShardMaps(View &view, const ControlState &state) const;
    void addEntries(View &view, const ControlState &state) const;

    const Settings &m_settings;
    DocumentCache m_documentCache;
    /** The newest snapshot ever announced for a service, by the key of its shard maps. */
    std::map<std::string, uint64_t> m_newestSnapshots;
};

} // namespace hickoryspur
