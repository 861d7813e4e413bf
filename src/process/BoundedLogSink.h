// Writes log lines to standard output without ever blocking on it: a line that the reader has no room
// for is left out and counted, and the next line that goes out tells how many were. glog formats the
// lines; its files are switched off.
#pragma once

#include <glog/logging.h>

#include <string>

namespace hickoryspur {

class BoundedLogSink : public google::LogSink
{
public:
    /** A pipe takes this many bytes at once where it takes any; longer lines are cut. */
    static constexpr size_t kMaxLineBytes = 4096;

    explicit BoundedLogSink(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /** Sends all lines of the process to standard output from now on; lives as long as the process. */
    static void install();

    void send(google::LogSeverity severity, const char *fullName, const char *baseName, int line,
              const google::LogMessageTime &time, const char *message, size_t length) override;

private:
    bool write(const std::string &line);

    int m_descriptor;
    size_t m_droppedLines = 0;
};

} // namespace hickoryspur
