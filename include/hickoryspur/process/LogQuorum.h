// Lets an entry host that has just started learn all acknowledged state without waiting for a leader.
// Acknowledged commands are in the logs of a majority of the voters, so any majority includes a log
// that holds them. The newest log of a majority may also hold commands that are not acknowledged: the
// entry host then applies them early, or applies one that is never confirmed. A host whose disk was
// replaced reports as a new member, which is not among the voters and does not count. Reports count for
// a limited time: a command may be acknowledged by one voter after its report and by another before its.
#pragma once

#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/ReplicatedLog.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

/** The state after applying one member's whole log, including entries that are not committed. */
struct LogReport
{
    MemberId member;
    std::vector<MemberId> voters;
    Term lastTerm;
    LogIndex lastIndex;
    AcceptedRoutes routes;
    std::vector<std::string> dataCentresOut;
    std::map<std::string, std::string> moves;
    MSGPACK_DEFINE(member, voters, lastTerm, lastIndex, routes, dataCentresOut, moves)
};

class LogQuorum
{
public:
    /** Several intervals at which an entry asks for reports; a state older than this would be in force too late. */
    static constexpr Duration kReportValidity = 1500ms;

    void recordReport(TimePoint now, LogReport report);
    /** The newest report if a majority of its voters has reported, else null; valid until the next recordReport(). */
    const LogReport *newest() const;

private:
    struct Received
    {
        LogReport report;
        TimePoint at;
    };
    /** The reports that are still valid. */
    std::map<MemberId, Received> m_reports;
};

} // namespace hickoryspur
