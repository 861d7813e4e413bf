// The immutable picture of control state that the control thread publishes and the traffic threads
// read: documents, services with their upstreams and homes, and the entries. A new one replaces it
// as a whole; this is the one place of shared ownership in the program.
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
    /** Versions that were found bad and get no work. */
    std::set<std::string> badVersions;
};

struct EnvironmentView
{
    uint64_t number = 0;
    std::string digest;
    Document document;
    std::map<ServiceName, ServiceView> services;
    std::map<ServiceName, VersionShare> shares;
};

struct EntryView
{
    NodeSettings settings;
    /** Named to callers: it holds a lease, is not leaving and its data centre is in. */
    bool offered = false;
};

struct View
{
    std::map<Environment, EnvironmentView> environments;
    std::vector<EntryView> entries;
    std::set<std::string> dataCentresOut;
    LogIndex applied;
    LogIndex homeEpoch;
    LogIndex inForce;

    const EnvironmentView *find(Environment environment) const;
    bool isOut(const DataCentreName &dataCentre) const { return dataCentresOut.contains(dataCentre.value()); }
};

using ViewPointer = std::shared_ptr<const View>;

class UpstreamDirectory;

/** Builds the view of one moment; handoverPending says whether the current home epoch may still overlap the last. */
class ViewBuilder
{
public:
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
    std::map<std::string, uint64_t> m_newestSnapshots;
};

} // namespace hickoryspur
