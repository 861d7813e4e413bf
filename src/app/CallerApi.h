// The HTTP API for callers and upstreams: /v1/entries, /v1/query, /v1/action, /v1/announce and
// /metrics. It authenticates callers, validates parameters and passes operators' requests to AdminApi.
#pragma once

#include "app/AdminApi.h"
#include "hickoryspur/process/TokenFile.h"
#include "process/ControlThread.h"
#include "request/HttpCallerServer.h"
#include "request/QueryService.h"

namespace hickoryspur {

class CallerApi
{
public:
    CallerApi(const Settings &settings, const TokenFile &callers, AdminApi &admin, ControlThread &control);

    /** Must be called on a fiber of the traffic thread that owns the service. */
    CallerResponse handle(const CallerRequest &request, QueryService &service) const;

private:
    CallerResponse entries(const CallerRequest &request, QueryService &service) const;
    CallerResponse query(const CallerRequest &request, QueryService &service) const;
    CallerResponse action(const CallerRequest &request, QueryService &service) const;
    CallerResponse announce(const CallerRequest &request) const;
    /** The caller that holds the request's bearer token. */
    Result<CallerName> authenticate(const CallerRequest &request) const;

    const Settings &m_settings;
    const TokenFile &m_callers;
    AdminApi &m_admin;
    ControlThread &m_control;
};

} // namespace hickoryspur
