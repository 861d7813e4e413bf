#include "request/AnswerJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hickoryspur {

namespace {

/** How long a caller may use the returned addresses. */
constexpr int64_t kEntriesValidMs = 2000;

nlohmann::json codeFields(ResultCode code, const std::string &message)
{
    return {{"code", static_cast<int>(code)}, {"result", resultCodeName(code)}, {"message", message}};
}

std::vector<const EntryView *> offeredEntries(const View &view, const DataCentreName &nearest)
{
    std::vector<const EntryView *> result;
    for (const EntryView &entry : view.entries)
        if (entry.offered)
            result.push_back(&entry);
    std::stable_partition(result.begin(), result.end(),
                          [&](const EntryView *entry) { return entry->settings.dataCentre == nearest; });
    return result;
}

} // namespace

std::string answerJson(const FanOutAnswer &answer)
{
    nlohmann::json head = codeFields(answer.code, answer.message);
    head["not_run"] = answer.notRun;
    head["snapshot"] = answer.snapshot.value();
    head["map_generation"] = answer.generation.value();
    head["coverage"] = {{"answered", answer.bodies.size()}, {"shards", answer.shardCount}, {"missing", answer.missing}};
    head["extra"] = {{"hedges", answer.hedges}, {"retries", answer.retries}, {"restarted", answer.restarted}};
    std::string text = head.dump();
    text.pop_back();
    text += ",\"shards\":{";
    bool first = true;
    // The bodies were validated as JSON when they were received, so they are not parsed again.
    for (const auto &[shard, body] : answer.bodies) {
        text += (first ? "\"" : ",\"") + std::to_string(shard) + "\":" + body;
        first = false;
    }
    return text + "}}";
}

std::string failureJson(const Failure &failure, const View *view)
{
    nlohmann::json body = codeFields(failure.code, failure.message);
    body["not_run"] = failure.notRun;
    if (view) {
        body["entries"] = nlohmann::json::array();
        for (const EntryView *entry : offeredEntries(*view, DataCentreName()))
            body["entries"].push_back(entry->settings.callerAddress.text());
    }
    return body.dump();
}

std::string entriesJson(const View &view, const DataCentreName &nearest, const NodeId &self)
{
    nlohmann::json body = {{"valid_ms", kEntriesValidMs}, {"entries", nlohmann::json::array()}};
    for (const EntryView *entry : offeredEntries(view, nearest))
        body["entries"].push_back({{"address", entry->settings.callerAddress.text()},
                                   {"data_centre", entry->settings.dataCentre.value()},
                                   {"weight", 1}});
    body["answered_by"] = self.value();
    return body.dump();
}

unsigned httpStatus(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return 200;
    case ResultCode::UnknownCaller:
        return 401;
    case ResultCode::NotAllowed:
        return 403;
    case ResultCode::UnknownService:
    case ResultCode::UnknownPath:
    case ResultCode::NoSuchDocument:
        return 404;
    case ResultCode::PredecessorMismatch:
    case ResultCode::KeyReused:
    case ResultCode::KeyTooOld:
    case ResultCode::NotTried:
        return 409;
    case ResultCode::BodyTooLarge:
        return 413;
    default:
        break;
    }
    const int family = static_cast<int>(code) / 100;
    if (family == 1 || family == 4)
        return 400;
    return family == 3 ? 504 : 503;
}

} // namespace hickoryspur
