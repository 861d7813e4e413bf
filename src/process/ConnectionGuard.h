// The boundary at each connection: what is thrown while a connection handles the bytes that it has read ends that
// connection, and not the process with the requests of everybody else. Parsers and decoders report bad input as errors,
// so an exception here is a fault of this program: it is logged and counted, and tests expect the count to be zero.
#pragma once

#include <chrono>
#include <cstdint>
#include <exception>
#include <string>

namespace hickoryspur {

/** Logs and counts an exception; `reader` says which kind of connection it ends. */
void reportConnectionException(const char *reader, const std::exception &error);
/** How many have been reported since the process started. */
int64_t connectionExceptions();

/** A listener waits for this long after a connection that it could not accept, since most causes last for a while. */
inline constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
/** Logs and counts a connection that could not be accepted. */
void reportAcceptFailure(const char *reader, const std::string &error);
/** How many have been reported since the process started. */
int64_t acceptFailures();

/** Runs a step of a connection. Returns false if the step threw, and the connection has to be closed. */
template <typename Step> bool runGuarded(const char *reader, Step step)
{
    try {
        step();
        return true;
    } catch (const std::exception &error) {
        reportConnectionException(reader, error);
        return false;
    }
}

} // namespace hickoryspur
