#include "process/ConnectionGuard.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"

namespace hickoryspur {

namespace {

Counter &exceptionCounter()
{
    static Counter &exceptions = Metrics::counter("hickoryspur_connection_exceptions_total");
    return exceptions;
}

Counter &acceptFailureCounter()
{
    static Counter &failures = Metrics::counter("hickoryspur_accept_failures_total");
    return failures;
}

} // namespace

void reportConnectionException(const char *reader, const std::exception &error)
{
    exceptionCounter().add();
    HS_LOG(ERROR, LogEvent::ConnectionException) << "reader=" << reader << " error=\"" << error.what() << '"';
}

int64_t connectionExceptions()
{
    return exceptionCounter().value();
}

void reportAcceptFailure(const char *reader, const std::string &error)
{
    acceptFailureCounter().add();
    HS_LOG(WARNING, LogEvent::AcceptFailed) << "reader=" << reader << " error=\"" << error << '"';
}

int64_t acceptFailures()
{
    return acceptFailureCounter().value();
}

} // namespace hickoryspur
