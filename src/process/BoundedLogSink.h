// A glog sink that writes log lines to standard output and never blocks. A line that does not fit into the
// pipe is dropped and counted, and the next line that is written reports the number of dropped lines in
// its left-out field. glog's own files for INFO, WARNING and ERROR are switched off, and only fatal messages
// go to standard error as well.
#pragma once

#include <glog/logging.h>

#include <string>

namespace hickoryspur {

class BoundedLogSink : public google::LogSink
{
public:
    /** Longer lines are truncated. A pipe that polls as writable accepts this many bytes without blocking. */
    static constexpr size_t kMaxLineBytes = 4096;

    explicit BoundedLogSink(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    /** Installs a sink for standard output that receives all log lines until the process ends. */
    static void install();

    void send(google::LogSeverity severity, const char *fullName, const char *baseName, int line,
              const google::LogMessageTime &time, const char *message, size_t length) override;

private:
    /** Returns false if the line could not be written without blocking. */
    bool write(const std::string &line);

    int m_descriptor;
    size_t m_droppedLines = 0;
};

} // namespace hickoryspur
