// Lets an entry that has just started know everything that was ever acknowledged without waiting for
// a leader: what is acknowledged is in the log of a majority of the voters, so of any majority one
// holds it. The newest of a majority's logs may hold more than was acknowledged, which is in force
// early then, or for a change that nobody confirmed. Each report is of one member's disk; a disk that
// was lost reports as another member and does not count.
#pragma once

#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/ReplicatedLog.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

/** The state that one member's log leads to, committed or not. */
struct LogReport
{
    MemberId member;
    std::vector<MemberId> voters;
    Term lastTerm;
    LogIndex lastIndex;
    AcceptedRoutes routes;
    std::vector<std::string> dataCentresOut;
    MSGPACK_DEFINE(member, voters, lastTerm, lastIndex, routes, dataCentresOut)
};

class LogQuorum
{
public:
    void recordReport(LogReport report) { m_reports[report.member] = std::move(report); }
    /** The newest report, where a majority of its voters has reported; it lives until the next note(). */
    const LogReport *newest() const;

private:
    std::map<MemberId, LogReport> m_reports;
};

} // namespace hickoryspur
