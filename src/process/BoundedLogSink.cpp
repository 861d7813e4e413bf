#include "process/BoundedLogSink.h"

#include "hickoryspur/process/Metrics.h"
#include "hickoryspur/process/Time.h"

#include <poll.h>
#include <unistd.h>

namespace hickoryspur {

void BoundedLogSink::install()
{
    static BoundedLogSink sink(STDOUT_FILENO);
    for (const int severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR})
        google::SetLogDestination(severity, "");
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    google::AddLogSink(&sink);
}

bool BoundedLogSink::write(const std::string &line)
{
    pollfd request{m_descriptor, POLLOUT, 0};
    if (::poll(&request, 1, 0) != 1 || (request.revents & POLLOUT) == 0)
        return false;
    return ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void BoundedLogSink::send(google::LogSeverity severity, const char *, const char *baseName, int line,
                          const google::LogMessageTime &time, const char *message, size_t length)
{
    static Counter &droppedLines = Metrics::counter("hickoryspur_log_lines_left_out_total");
    // The monotonic time keeps the lines of one process in order when the wall clock jumps.
    std::string text = google::LogSeverityNames[severity];
    text += " steady-us=" + std::to_string(monotonicNow().time_since_epoch().count());
    text += " wall=" + std::to_string(time.timestamp()) + ' ';
    text += std::string(baseName) + ':' + std::to_string(line) + ' ';
    if (m_droppedLines > 0)
        text += "left-out=" + std::to_string(m_droppedLines) + ' ';
    text.append(message, length);
    text.resize(std::min(text.size(), kMaxLineBytes - 1));
    text += '\n';
    if (write(text)) {
        m_droppedLines = 0;
        return;
    }
    ++m_droppedLines;
    droppedLines.add();
}

} // namespace hickoryspur
