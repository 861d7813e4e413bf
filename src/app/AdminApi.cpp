#include "app/AdminApi.h"

#include "app/RequestParameters.h"
#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/MessageCodec.h"
#include "request/AnswerJson.h"

#include <boost/fiber/future.hpp>
#include <nlohmann/json.hpp>

namespace hickoryspur {

namespace {

/** The documented bound for a change to be in force on every entry, plus a margin for the answer. */
constexpr Duration kInForceTimeout = 14s;
constexpr Duration kAcceptTimeout = 5s;

CallerResponse jsonResponse(unsigned status, const nlohmann::json &body)
{
    return {status, body.dump(), "application/json", {}};
}

CallerResponse refusal(ResultCode code, const std::string &message)
{
    return {httpStatus(code), failureJson({code, message, true}, nullptr), "application/json", {}};
}

nlohmann::json documentJson(const DocumentVersion &version, bool withText)
{
    nlohmann::json result = {{"number", version.number},         {"digest", version.digest},
                             {"operator", version.operatorName}, {"time", version.wallSeconds},
                             {"tried", version.tried},           {"log_index", version.index}};
    if (withText)
        result["text"] = version.text;
    return result;
}

std::string_view servingRightName(ServingRight right)
{
    switch (right) {
    case ServingRight::Lease:
        return "lease";
    case ServingRight::PeerConfirmed:
        return "without control quorum";
    default:
        return "none";
    }
}

nlohmann::json logJson(const ReplicatedLog &log)
{
    nlohmann::json voters = nlohmann::json::array();
    for (const MemberId &voter : log.membership().voters)
        voters.push_back(voter.node.value());
    nlohmann::json learners = nlohmann::json::array();
    for (const MemberId &learner : log.membership().learners)
        learners.push_back(learner.node.value());
    return {{"term", log.term().value()},
            {"last", log.lastIndex().value()},
            {"commit", log.commitIndex().value()},
            {"first", log.firstIndex().value()},
            {"leads", log.isLeader()},
            {"voters", voters},
            {"learners", learners}};
}

nlohmann::json statusJson(const ControlNode &node, TimePoint now, const Settings &settings)
{
    nlohmann::json result;
    result["node"] = settings.node.value();
    result["data_centre"] = settings.self().dataCentre.value();
    result["leader"] = node.leader() ? node.leader()->value() : "";
    result["right"] = servingRightName(node.right(now));
    result["applied"] = node.state().appliedIndex().value();
    result["in_force"] = node.inForce().value();
    result["upstreams"] = node.directory().size();
    result["claims"] = node.state().claimCount();
    result["data_centres_out"] = node.state().dataCentresOut();
    result["entries"] = nlohmann::json::array();
    for (const auto &[entry, incarnation] : node.state().entries())
        result["entries"].push_back(entry);
    for (const Environment environment : {Environment::Trial, Environment::Production})
        if (const DocumentVersion *version = node.state().current(environment))
            result["documents"][std::string(environmentName(environment))] = documentJson(*version, false);
    for (const auto &[service, maps] : node.state().shardMaps())
        result["shard_maps"][service] = {{"generation", maps.back().generation.value()},
                                         {"shards", maps.back().shards}};
    if (node.log())
        result["log"] = logJson(*node.log());
    return result;
}

nlohmann::json moveJson(const std::string &service, const MoveState &state, const MoveCoordinator &coordinator)
{
    return {{"service", service},
            {"state", moveStatusName(state.kind())},
            {"from", state.from},
            {"to", state.to},
            {"share", state.share()},
            {"stage", state.stage},
            {"late", state.late},
            {"too_little_traffic", state.tooLittleTraffic},
            {"seconds_left", std::max<int64_t>(0, state.dueSeconds - wallClockSeconds())},
            {"document", state.documentNumber},
            {"reason", state.reason},
            {"bad", state.badVersions},
            {"suspicion", coordinator.suspicion(service)},
            {"stage_requests", coordinator.stageRequests(service)}};
}

nlohmann::json burnJson(const BurnReportLine &line)
{
    nlohmann::json result = {{"service", line.service}, {"caller", line.caller},   {"objective", line.objective},
                             {"target", line.target},   {"alert", line.alert},     {"budget_used", line.budgetUsed},
                             {"late", line.late},       {"partial", line.partial}, {"refused", line.refused},
                             {"p50_ms", line.p50Ms},    {"p99_ms", line.p99Ms}};
    for (size_t i = 0; i < kBurnWindows.size(); ++i) {
        result["burn"][kBurnWindows[i].name] = line.rates[i];
        result["answers"][kBurnWindows[i].name] = line.answers[i];
    }
    return result;
}

} // namespace

struct AdminApi::Endpoint
{
    const char *method;
    const char *path;
    const char *role;
    CallerResponse (AdminApi::*handler)(const CallerRequest &, const TokenHolder &);
};

const std::vector<AdminApi::Endpoint> &AdminApi::endpoints()
{
    static const std::vector<Endpoint> all = {
        {"GET", "/v1/admin/status", "read", &AdminApi::status},
        {"GET", "/v1/admin/document", "read", &AdminApi::document},
        {"GET", "/v1/admin/history", "read", &AdminApi::history},
        {"GET", "/v1/admin/audit", "read", &AdminApi::audit},
        {"GET", "/v1/admin/moves", "read", &AdminApi::moves},
        {"GET", "/v1/report", "read", &AdminApi::report},
        {"POST", "/v1/admin/revive", "promote", &AdminApi::revive},
        {"POST", "/v1/admin/document", "trial", &AdminApi::submit},
        {"POST", "/v1/admin/promote", "promote", &AdminApi::promote},
        {"POST", "/v1/admin/data-centre", "data-centre", &AdminApi::dataCentre},
    };
    return all;
}

AdminApi::AdminApi(const Settings &settings, const TokenFile &operators, ControlThread &control)
    : m_settings(settings)
    , m_operators(operators)
    , m_control(control)
{
}

bool AdminApi::handlesPath(const std::string &path) const
{
    return path.rfind("/v1/admin/", 0) == 0 || path == "/v1/report";
}

CallerResponse AdminApi::handle(const CallerRequest &request)
{
    const std::optional<TokenHolder> holder = m_operators.find(request.header("authorization"));
    if (!holder)
        return refusal(ResultCode::UnknownCaller, "no operator has this token");
    for (const Endpoint &endpoint : endpoints()) {
        if (endpoint.method != request.method || endpoint.path != request.path)
            continue;
        if (!holder->has(endpoint.role))
            return refusal(ResultCode::NotAllowed, holder->name + " lacks the role " + endpoint.role);
        return (this->*endpoint.handler)(request, *holder);
    }
    return refusal(ResultCode::UnknownPath, "there is no " + request.method + ' ' + request.path);
}

nlohmann::json AdminApi::read(const std::function<nlohmann::json(const ControlNode &, TimePoint)> &reader)
{
    const auto promise = std::make_shared<boost::fibers::promise<nlohmann::json>>();
    boost::fibers::future<nlohmann::json> future = promise->get_future();
    m_control.inspect(
        [promise, reader](const ControlNode &node, TimePoint now) { promise->set_value(reader(node, now)); });
    return future.get();
}

CallerResponse AdminApi::status(const CallerRequest &, const TokenHolder &)
{
    return jsonResponse(
        200, read([this](const ControlNode &node, TimePoint now) { return statusJson(node, now, m_settings); }));
}

CallerResponse AdminApi::document(const CallerRequest &request, const TokenHolder &)
{
    const std::optional<Environment> environment = environmentFromName(request.parameter("environment"));
    if (!environment)
        return refusal(ResultCode::MalformedRequest, "environment must be trial or production");
    const nlohmann::json body = read([environment](const ControlNode &node, TimePoint) {
        const DocumentVersion *version = node.state().current(*environment);
        return version ? documentJson(*version, true) : nlohmann::json();
    });
    if (body.is_null())
        return refusal(ResultCode::NoSuchDocument, "this environment has no document yet");
    return jsonResponse(200, body);
}

CallerResponse AdminApi::history(const CallerRequest &request, const TokenHolder &)
{
    const std::optional<Environment> environment = environmentFromName(request.parameter("environment"));
    if (!environment)
        return refusal(ResultCode::MalformedRequest, "environment must be trial or production");
    const bool withText = request.parameter("text") == "true";
    return jsonResponse(200, read([environment, withText](const ControlNode &node, TimePoint) {
                            nlohmann::json list = nlohmann::json::array();
                            for (const DocumentVersion &version : node.state().history(*environment))
                                list.push_back(documentJson(version, withText));
                            return list;
                        }));
}

CallerResponse AdminApi::audit(const CallerRequest &, const TokenHolder &)
{
    return jsonResponse(200, read([](const ControlNode &node, TimePoint) {
                            nlohmann::json list = nlohmann::json::array();
                            for (const AuditRecord &record : node.state().audit())
                                list.push_back({{"log_index", record.index},
                                                {"time", record.wallSeconds},
                                                {"operator", record.operatorName},
                                                {"action", record.action},
                                                {"code", record.code}});
                            return list;
                        }));
}

CallerResponse AdminApi::moves(const CallerRequest &request, const TokenHolder &)
{
    const std::string only = request.parameter("service");
    return jsonResponse(200, read([only](const ControlNode &node, TimePoint) {
                            nlohmann::json list = nlohmann::json::array();
                            const DocumentVersion *production = node.state().current(Environment::Production);
                            for (const auto &[service, packed] : node.state().moves()) {
                                const std::optional<MoveState> state = unpackMoveState(packed);
                                if (!state || (!only.empty() && only != service))
                                    continue;
                                list.push_back(moveJson(service, *state, node.moves()));
                                // Until the leader has evaluated the newest document, the state belongs to the previous
                                // one.
                                list.back()["pending"] = production && state->documentNumber != production->number;
                            }
                            return list;
                        }));
}

CallerResponse AdminApi::revive(const CallerRequest &request, const TokenHolder &holder)
{
    const std::string service = request.parameter("service");
    const std::string version = request.parameter("version");
    const nlohmann::json packed = read([service](const ControlNode &node, TimePoint) {
        const auto found = node.state().moves().find(service);
        return found == node.state().moves().end()
            ? nlohmann::json()
            : nlohmann::json::binary({found->second.begin(), found->second.end()});
    });
    if (packed.is_null())
        return refusal(ResultCode::UnknownService, "no move of the service " + service + " is known");
    const std::vector<uint8_t> &bytes = packed.get_binary();
    const std::string storedState(bytes.begin(), bytes.end());
    std::optional<MoveState> state = unpackMoveState(storedState);
    if (!state || state->badVersions.erase(version) == 0)
        return refusal(ResultCode::MalformedRequest, version + " has not been found bad");
    // With document number 0 the production document counts as new at the leader's next tick, which
    // starts the move again.
    state->documentNumber = 0;
    state->to = state->from;
    state->status = static_cast<uint8_t>(MoveStatus::Settled);
    state->sharePpm = 1'000'000;
    Command command;
    command.type = static_cast<uint8_t>(CommandType::ReviveVersion);
    command.subject = service;
    command.text = pack(*state);
    const std::string digest = sha256Hex(storedState);
    CallerRequest withDigest = request;
    withDigest.parameters["expected-digest"] = digest;
    return execute(withDigest, holder, std::move(command));
}

CallerResponse AdminApi::report(const CallerRequest &request, const TokenHolder &)
{
    if (!m_settings.self().control)
        return refusal(ResultCode::NoLeader, "only control hosts keep the report; send the request to one of them");
    auto lines = std::make_shared<std::vector<BurnReportLine>>();
    read([lines](const ControlNode &node, TimePoint) {
        DocumentCache documents;
        if (const DocumentVersion *version = node.state().current(Environment::Production))
            *lines = node.burn().report(wallClockSeconds(), documents.get(*version));
        return nlohmann::json();
    });
    const std::string format = request.parameter("format");
    if (format == "html" || format.empty())
        return {200, burnReportHtml(*lines), "text/html; charset=utf-8", {}};
    if (format == "text")
        return {200, burnReportText(*lines), "text/plain; charset=utf-8", {}};
    nlohmann::json list = nlohmann::json::array();
    for (const BurnReportLine &line : *lines)
        list.push_back(burnJson(line));
    return jsonResponse(200, list);
}

CallerResponse AdminApi::submit(const CallerRequest &request, const TokenHolder &holder)
{
    if (request.parameter("environment") != "trial")
        return refusal(ResultCode::NotAllowed,
                       "documents are submitted to trial; production accepts only a promoted document");
    const Result<Document> checked = parseDocument(request.body, "document");
    if (!checked)
        return refusal(checked.error().code, checked.error().message);
    Command command;
    command.type = static_cast<uint8_t>(CommandType::SubmitDocument);
    command.environment = static_cast<uint8_t>(Environment::Trial);
    command.text = request.body;
    command.digest = sha256Hex(request.body);
    return execute(request, holder, std::move(command));
}

CallerResponse AdminApi::promote(const CallerRequest &request, const TokenHolder &holder)
{
    Command command;
    command.type = static_cast<uint8_t>(CommandType::PromoteDocument);
    command.environment = static_cast<uint8_t>(Environment::Production);
    command.digest = request.parameter("digest");
    return execute(request, holder, std::move(command));
}

CallerResponse AdminApi::dataCentre(const CallerRequest &request, const TokenHolder &holder)
{
    const std::string name = request.parameter("name");
    size_t remainingNodes = 0;
    bool known = false;
    size_t remainingVoters = 0;
    size_t voters = 0;
    for (const NodeSettings &node : m_settings.nodes) {
        const bool inDataCentre = node.dataCentre.value() == name;
        known = known || inDataCentre;
        remainingNodes += inDataCentre ? 0 : 1;
        voters += node.control ? 1 : 0;
        remainingVoters += node.control && !inDataCentre ? 1 : 0;
    }
    if (!known)
        return refusal(ResultCode::MalformedRequest, "no node is in a data centre " + name);
    const bool out = request.parameter("out") == "true";
    if (out && remainingNodes == 0)
        return refusal(ResultCode::LastDataCentre, "every node is in data centre " + name + "; no entry would be left");
    Command command;
    command.type = static_cast<uint8_t>(out ? CommandType::DataCentreOut : CommandType::DataCentreBack);
    command.subject = name;
    CallerResponse response = execute(request, holder, std::move(command));
    nlohmann::json body = nlohmann::json::parse(response.body);
    if (out && remainingVoters < voters / 2 + 2)
        body["warning"] = "with " + name
            + " out, the loss of one more control host would leave no quorum, and no change could be"
              " accepted until one is back";
    response.body = body.dump();
    return response;
}

CallerResponse AdminApi::execute(const CallerRequest &request, const TokenHolder &holder, Command command)
{
    command.requestId = request.parameter("request-id");
    if (command.requestId.empty())
        return refusal(ResultCode::MalformedRequest,
                       "the parameter request-id is required, so that a resend is recognised");
    command.operatorName = holder.name;
    const Result<int64_t> expected =
        parseWholeNumber(request.parameter("expected-number"), "expected-number", 0, INT64_MAX);
    if (!expected)
        return refusal(expected.error().code, expected.error().message);
    command.expectedNumber = static_cast<uint64_t>(*expected);
    command.expectedDigest = request.parameter("expected-digest");
    const bool wait = request.parameter("wait") == "in-force";
    const auto promise = std::make_shared<boost::fibers::promise<ApplyOutcome>>();
    boost::fibers::future<ApplyOutcome> future = promise->get_future();
    m_control.submit(std::move(command), wait ? CommandWait::InForce : CommandWait::Committed,
                     wait ? kInForceTimeout : kAcceptTimeout,
                     [promise](ApplyOutcome outcome) { promise->set_value(std::move(outcome)); });
    const ApplyOutcome outcome = future.get();
    const ResultCode code = outcome.resultCode();
    return jsonResponse(httpStatus(code),
                        {{"code", outcome.code},
                         {"result", resultCodeName(code)},
                         {"message", outcome.message},
                         {"number", outcome.number},
                         {"digest", outcome.digest},
                         {"in_force", wait && outcome.ok()}});
}

} // namespace hickoryspur
