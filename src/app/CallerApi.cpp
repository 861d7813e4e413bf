#include "app/CallerApi.h"

#include "app/RequestParameters.h"
#include "hickoryspur/process/Check.h"
#include "hickoryspur/process/Metrics.h"
#include "request/AnswerJson.h"

namespace hickoryspur {

namespace {

constexpr size_t kMaxKeyBytes = 200;
constexpr int64_t kMaxDeadlineMs = 60'000;

CallerResponse refusal(const Failure &failure)
{
    return {httpStatus(failure.code), failureJson(failure, nullptr), "application/json", {}};
}

Result<Environment> parseEnvironment(const CallerRequest &request)
{
    const std::string name = request.header("hickoryspur-environment");
    const std::optional<Environment> environment = environmentFromName(name.empty() ? "production" : name);
    if (!environment)
        return HS_USER_ERROR(ResultCode::MalformedRequest) << "there is no environment " << name;
    return *environment;
}

} // namespace

CallerApi::CallerApi(const Settings &settings, const TokenFile &callers, AdminApi &admin, ControlThread &control)
    : m_settings(settings)
    , m_callers(callers)
    , m_admin(admin)
    , m_control(control)
{
}

CallerResponse CallerApi::handle(const CallerRequest &request, QueryService &service) const
{
    if (request.path == "/v1/entries" && request.method == "GET")
        return entries(request, service);
    if (request.path == "/v1/query" && request.method == "POST")
        return query(request, service);
    if (request.path == "/v1/action" && request.method == "POST")
        return action(request, service);
    if (request.path == "/v1/announce" && request.method == "POST")
        return announce(request);
    if (request.path == "/metrics" && request.method == "GET")
        return {200, Metrics::prometheusText(), "text/plain; version=0.0.4", {}};
    if (m_admin.handlesPath(request.path))
        return m_admin.handle(request);
    return refusal({ResultCode::UnknownPath, "there is no " + request.method + ' ' + request.path, true});
}

Result<CallerName> CallerApi::authenticate(const CallerRequest &request) const
{
    const std::optional<TokenHolder> holder = m_callers.find(request.header("authorization"));
    if (!holder)
        return failure(ResultCode::UnknownCaller, "no caller has this token", true);
    return CallerName(holder->name);
}

CallerResponse CallerApi::entries(const CallerRequest &request, QueryService &service) const
{
    if (!service.view())
        return refusal({ResultCode::EntryWithoutLease, "this entry has just started and has no state yet", true});
    const std::string dataCentre = request.parameter("data-centre");
    const DataCentreName nearest = dataCentre.empty() ? m_settings.self().dataCentre : DataCentreName(dataCentre);
    return {200, entriesJson(*service.view(), nearest, m_settings.node), "application/json", {}};
}

CallerResponse CallerApi::query(const CallerRequest &request, QueryService &service) const
{
    const Result<CallerName> name = authenticate(request);
    if (!name)
        return refusal(name.error());
    const Result<Environment> environment = parseEnvironment(request);
    const Result<int64_t> deadline =
        parseWholeNumber(request.header("hickoryspur-deadline-ms"), "hickoryspur-deadline-ms", 0, kMaxDeadlineMs);
    const Result<double> coverage =
        parseShare(request.header("hickoryspur-least-coverage"), "hickoryspur-least-coverage");
    for (const Failure *failure : {environment ? nullptr : &environment.error(), deadline ? nullptr : &deadline.error(),
                                   coverage ? nullptr : &coverage.error()})
        if (failure)
            return refusal({failure->code, failure->message, true});
    QueryRequest query;
    query.environment = *environment;
    query.service = ServiceName(request.parameter("service"));
    query.caller = *name;
    query.deadline = std::chrono::milliseconds(*deadline);
    query.minCoverage = *coverage;
    query.body = request.body;
    query.isCallerGone = request.isCallerGone;
    const ServiceAnswer answer = service.query(query);
    return {httpStatus(answer.code), answer.json, "application/json", {}};
}

CallerResponse CallerApi::action(const CallerRequest &request, QueryService &service) const
{
    const Result<CallerName> name = authenticate(request);
    if (!name)
        return refusal(name.error());
    const Result<Environment> environment = parseEnvironment(request);
    const Result<int64_t> deadline =
        parseWholeNumber(request.header("hickoryspur-deadline-ms"), "hickoryspur-deadline-ms", 0, kMaxDeadlineMs);
    const Result<int64_t> shard = parseWholeNumber(request.parameter("shard"), "shard", 0, UINT32_MAX);
    const Result<int64_t> keySeconds =
        parseWholeNumber(request.header("hickoryspur-key-time"), "hickoryspur-key-time", 0, INT64_MAX);
    for (const Failure *failure : {environment ? nullptr : &environment.error(), deadline ? nullptr : &deadline.error(),
                                   shard ? nullptr : &shard.error(), keySeconds ? nullptr : &keySeconds.error()})
        if (failure)
            return refusal({failure->code, failure->message, true});
    ActionRequest action;
    action.environment = *environment;
    action.service = ServiceName(request.parameter("service"));
    action.caller = *name;
    action.shard = static_cast<uint32_t>(*shard);
    action.deadline = std::chrono::milliseconds(*deadline);
    action.key = request.header("hickoryspur-key");
    action.keySeconds = *keySeconds;
    action.body = request.body;
    if (action.key.size() > kMaxKeyBytes)
        return refusal({ResultCode::MalformedRequest, "the key must have at most 200 bytes", true});
    if (!action.key.empty() && action.keySeconds == 0)
        return refusal({ResultCode::KeyRequired,
                        "a key requires hickoryspur-key-time, the time of its first use in Unix seconds", true});
    const ServiceAnswer answer = service.executeAction(action);
    return {httpStatus(answer.code), answer.json, "application/json", {}};
}

CallerResponse CallerApi::announce(const CallerRequest &request) const
{
    Result<Announcement> announcement = parseAnnouncement(request.body);
    if (!announcement)
        return refusal(announcement.error());
    m_control.announce(std::move(*announcement));
    return {200, "{}", "application/json", {}};
}

} // namespace hickoryspur
