#include "hickoryspur/process/LogEvent.h"

#include "hickoryspur/process/Metrics.h"
#include "hickoryspur/process/Time.h"

namespace hickoryspur {

bool mayLogRequest()
{
    static Counter &droppedLines = Metrics::counter("hickoryspur_log_lines_left_out_total");
    thread_local int64_t second = 0;
    thread_local int lines = 0;
    const int64_t now = std::chrono::duration_cast<std::chrono::seconds>(monotonicNow().time_since_epoch()).count();
    if (now != second) {
        second = now;
        lines = 0;
    }
    if (++lines <= kMaxRequestLinesPerSecond)
        return true;
    droppedLines.add();
    return false;
}

} // namespace hickoryspur
