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

} // namespace hickoryspur
