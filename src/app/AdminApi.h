// The administration API under /v1/admin/ and the report under /v1/report. Every request carries an
// operator's bearer token, whose roles decide which requests are allowed. Every change is submitted as
// a command to the replicated log.
#pragma once

#include "hickoryspur/process/TokenFile.h"
#include "process/ControlThread.h"
#include "request/HttpCallerServer.h"

#include <nlohmann/json_fwd.hpp>

namespace hickoryspur {

class AdminApi
{
public:
    AdminApi(const Settings &settings, const TokenFile &operators, ControlThread &control);

    bool handlesPath(const std::string &path) const;
    /** Must be called on a fiber: it waits for the control thread. */
    CallerResponse handle(const CallerRequest &request);

private:
    struct Endpoint;
    static const std::vector<Endpoint> &endpoints();

    CallerResponse status(const CallerRequest &request, const TokenHolder &holder);
    CallerResponse document(const CallerRequest &request, const TokenHolder &holder);
    CallerResponse history(const CallerRequest &request, const TokenHolder &holder);
    CallerResponse submit(const CallerRequest &request, const TokenHolder &holder);
    CallerResponse promote(const CallerRequest &request, const TokenHolder &holder);
    CallerResponse dataCentre(const CallerRequest &request, const TokenHolder &holder);
    CallerResponse moves(const CallerRequest &request, const TokenHolder &holder);
    CallerResponse revive(const CallerRequest &request, const TokenHolder &holder);
    CallerResponse report(const CallerRequest &request, const TokenHolder &holder);
    CallerResponse audit(const CallerRequest &request, const TokenHolder &holder);
    /** Submits the command and waits until it is committed or, with wait=in-force, in force. */
    CallerResponse execute(const CallerRequest &request, const TokenHolder &holder, Command command);
    /** Runs the reader on the control thread and waits for its result. */
    nlohmann::json read(const std::function<nlohmann::json(const ControlNode &, TimePoint)> &reader);

    const Settings &m_settings;
    const TokenFile &m_operators;
    ControlThread &m_control;
};

} // namespace hickoryspur
