#include "hickoryspur/process/View.h"

#include "hickoryspur/connection/UpstreamDirectory.h"
#include "hickoryspur/version/MoveCoordinator.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/** Key of a service's shard maps in the control state. */
std::string shardMapKey(uint8_t environment, const ServiceName &service)
{
    return std::string(environmentName(static_cast<Environment>(environment))) + '/' + service.value();
}

} // namespace

const EnvironmentView *View::find(Environment environment) const
{
    const auto found = environments.find(environment);
    return found == environments.end() ? nullptr : &found->second;
}

std::vector<NodeId> ViewBuilder::candidateHomes(const EntrySet &entries, const std::set<std::string> &out,
                                                const DataCentreName *dataCentre) const
{
    std::vector<NodeId> result;
    for (const auto &[name, incarnation] : entries) {
        const NodeSettings *node = m_settings.find(NodeId(name));
        if (!node || out.contains(node->dataCentre.value()))
            continue;
        if (!dataCentre || node->dataCentre == *dataCentre)
            result.push_back(node->name);
    }
    return result;
}

NodeId ViewBuilder::homeFor(const Announcement &upstream, const EntrySet &entries,
                            const std::set<std::string> &out) const
{
    return homeOf(upstream.id, candidateHomes(entries, out, &upstream.dataCentre),
                  candidateHomes(entries, out, nullptr));
}

void ViewBuilder::addUpstream(View &view, const ControlState &state, const Announcement &announcement,
                              bool handoverPending)
{
    if (view.isOut(announcement.dataCentre))
        return;
    EnvironmentView &environment = view.environments[static_cast<Environment>(announcement.environment)];
    ServiceView &service = environment.services[announcement.service];
    UpstreamView upstream;
    upstream.announcement = announcement;
    upstream.home = homeFor(announcement, state.entries(), state.dataCentresOut());
    if (handoverPending)
        upstream.homeHandoverPending =
            upstream.home != homeFor(announcement, state.previousEntries(), state.previousDataCentresOut());
    uint64_t &newest = m_newestSnapshots[shardMapKey(announcement.environment, announcement.service)];
    for (const uint64_t snapshot : announcement.snapshots)
        newest = std::max(newest, snapshot);
    service.upstreams.push_back(std::move(upstream));
}

void ViewBuilder::addDocument(View &view, const ControlState &state, Environment environment)
{
    const DocumentVersion *version = state.current(environment);
    if (!version)
        return;
    EnvironmentView &target = view.environments[environment];
    target.number = version->number;
    target.digest = version->digest;
    target.document = m_documentCache.get(*version);
}

void ViewBuilder::addEntries(View &view, const ControlState &state) const
{
    for (const NodeSettings &node : m_settings.nodes) {
        if (!node.entry)
            continue;
        const bool offered = state.entries().contains(node.name.value()) && !view.isOut(node.dataCentre);
        view.entries.push_back({node, offered});
    }
}

void ViewBuilder::addVersionShares(View &view, const ControlState &state) const
{
    for (const auto &[service, packed] : state.moves()) {
        const std::optional<MoveState> move = unpackMoveState(packed);
        if (!move)
            continue;
        VersionShare share;
        share.from = VersionName(move->from);
        share.to = VersionName(move->to);
        share.share = move->share();
        share.badVersions = move->badVersions;
        view.environments[Environment::Production].shares[ServiceName(service)] = std::move(share);
    }
}

void ViewBuilder::addShardMaps(View &view, const ControlState &state) const
{
    // A service whose upstreams are all lost keeps its shard maps, so that its coverage is reported as 0 of its shards.
    for (auto &[environment, content] : view.environments) {
        for (const auto &[name, config] : content.document.services) {
            const std::string key = shardMapKey(static_cast<uint8_t>(environment), name);
            const auto maps = state.shardMaps().find(key);
            if (maps == state.shardMaps().end())
                continue;
            ServiceView &service = content.services[name];
            service.maps = maps->second;
            const auto newest = m_newestSnapshots.find(key);
            if (newest != m_newestSnapshots.end())
                service.newestSnapshot = SnapshotId(newest->second);
        }
    }
}

ViewPointer ViewBuilder::build(const ControlState &state, const UpstreamDirectory &directory, LogIndex inForce,
                               bool handoverPending)
{
    auto view = std::make_shared<View>();
    view->applied = state.appliedIndex();
    view->homeEpoch = state.homeEpoch();
    view->inForce = inForce;
    view->dataCentresOut = state.dataCentresOut();
    addDocument(*view, state, Environment::Trial);
    addDocument(*view, state, Environment::Production);
    addEntries(*view, state);
    for (const Announcement &announcement : directory.records())
        addUpstream(*view, state, announcement, handoverPending);
    addShardMaps(*view, state);
    addVersionShares(*view, state);
    return view;
}

} // namespace hickoryspur
