#include "hickoryspur/request/Delegation.h"

#include <algorithm>

namespace hickoryspur {

int64_t begunMicrosAgo(TimePoint now, const RequestUsage &usage)
{
    if (!usage.begunAt())
        return GroupReport::kNotBegun;
    return std::max<int64_t>(1, (now - *usage.begunAt()).count());
}

void noteReportedUsage(TimePoint now, RequestUsage::RunId run, const GroupReport &report, RequestUsage &usage)
{
    const bool isUnknown = report.begunMicrosAgo == GroupReport::kBeginUnknown;
    if (report.begunMicrosAgo > 0)
        usage.endRun(run, now - Duration(report.begunMicrosAgo));
    else if (isUnknown && (!report.signatures.empty() || (report.ended && report.mayHaveRun)))
        usage.endRun(run);
    else if (report.ended)
        usage.endNotRun(run);
}

} // namespace hickoryspur
