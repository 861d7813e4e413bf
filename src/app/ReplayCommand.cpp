#include "app/ReplayCommand.h"

#include "hickoryspur/process/Check.h"
#include "hickoryspur/version/TrafficMove.h"
#include "process/YamlReader.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace hickoryspur {

namespace {

struct Expectation
{
    std::string state;
    double shareAtMost = 1;
    int64_t bySecond = 0;
};

struct ReplayResult
{
    MoveState finalState;
    double maxShare = 0;
    int64_t endSecond = 0;
};

nlohmann::json tallyToJson(const SubRequestTally &tally)
{
    nlohmann::json latency = nlohmann::json::array();
    for (const auto &[bucket, count] : tally.latency.buckets())
        latency.push_back({bucket, count});
    return {tally.requests, tally.failures, tally.refused, latency};
}

SubRequestTally tallyFromJson(const nlohmann::json &json)
{
    SubRequestTally tally;
    tally.requests = json.at(0).get<uint64_t>();
    tally.failures = json.at(1).get<uint64_t>();
    tally.refused = json.at(2).get<uint64_t>();
    for (const nlohmann::json &item : json.at(3))
        tally.latency.addToBucket(item.at(0).get<int32_t>(), item.at(1).get<uint64_t>());
    return tally;
}

Expectation readExpectation(const YAML::Node &root, YamlErrors &errors)
{
    YamlSection section(root, "expectation", errors);
    Expectation result;
    result.state = section.text("state");
    result.shareAtMost = section.share("share-at-most", 1);
    result.bySecond = section.integer("by-second", 0, 1'000'000, 1'000'000);
    section.finish();
    return result;
}

TrafficMove initialMove(const nlohmann::json &head)
{
    MoveState state;
    state.from = head.at("from").get<std::string>();
    state.to = head.at("to").get<std::string>();
    state.status = static_cast<uint8_t>(MoveStatus::Moving);
    state.sharePpm = static_cast<uint32_t>(head.at("first_share").get<double>() * 1e6);
    state.dueSeconds = head.at("due").get<int64_t>();
    return {state, head.at("first_share").get<double>(), MoveTiming(), EvaluatorSettings(), TimePoint()};
}

ReplayResult replay(std::istream &traceLines)
{
    std::string line;
    std::getline(traceLines, line);
    TrafficMove move = initialMove(nlohmann::json::parse(line));
    ReplayResult result;
    while (std::getline(traceLines, line)) {
        const nlohmann::json window = nlohmann::json::parse(line);
        const int64_t second = window.at("at").get<int64_t>();
        const TimePoint now{std::chrono::seconds(second)};
        move.observe(now, observationFromJson(window.at("old")), observationFromJson(window.at("new")));
        const std::optional<MoveState> next = move.tick(now, second);
        if (!next)
            continue;
        if (next->status != move.state().status)
            result.endSecond = second;
        move.setState(*next, now);
        result.maxShare = std::max(result.maxShare, next->share());
    }
    result.finalState = move.state();
    return result;
}

} // namespace

nlohmann::json observationToJson(const VersionObservation &observation)
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto &[route, content] : observation) {
        nlohmann::json &target = result[route];
        for (const auto &[upstream, tally] : content.byUpstream)
            target["upstreams"][upstream] = tallyToJson(tally);
        for (const auto &[shard, tally] : content.byShard)
            target["shards"][std::to_string(shard)] = tallyToJson(tally);
    }
    return result;
}

VersionObservation observationFromJson(const nlohmann::json &json)
{
    VersionObservation result;
    for (const auto &[route, content] : json.items()) {
        for (const auto &[upstream, tally] : content.at("upstreams").items())
            result[route].byUpstream[upstream] = tallyFromJson(tally);
        if (!content.contains("shards"))
            continue;
        for (const auto &[shard, tally] : content.at("shards").items())
            result[route].byShard[static_cast<uint32_t>(std::stoul(shard))] = tallyFromJson(tally);
    }
    return result;
}

Result<std::string> replayMove(const std::string &trace, const std::string &expectation, const std::string &source)
{
    YamlErrors errors(source);
    const YAML::Node root = parseYaml(expectation, errors);
    Expectation expected;
    if (errors.empty())
        expected = readExpectation(root, errors);
    if (!errors.empty())
        return failure(ResultCode::SettingsInvalid, errors.text());
    ReplayResult replayed;
    try {
        std::istringstream traceLines(trace);
        replayed = replay(traceLines);
    } catch (const std::exception &error) {
        return HS_USER_ERROR(ResultCode::MalformedRequest) << "the trace cannot be read: " << error.what();
    }
    std::ostringstream summary;
    summary << "state " << moveStatusName(replayed.finalState.kind()) << " since second " << replayed.endSecond
            << ", largest share " << replayed.maxShare << (replayed.finalState.reason.empty() ? "" : ": ")
            << replayed.finalState.reason;
    const bool sameState = moveStatusName(replayed.finalState.kind()) == expected.state;
    if (!sameState || replayed.maxShare > expected.shareAtMost || replayed.endSecond > expected.bySecond)
        return HS_USER_ERROR(ResultCode::ReplayMismatch)
            << summary.str() << "; expected state " << expected.state << " by second " << expected.bySecond
            << " with a share of " << expected.shareAtMost << " at most";
    return summary.str();
}

} // namespace hickoryspur
