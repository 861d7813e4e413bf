// One caller's request whose shards are divided among several entries. It executes the actions of its
// GroupGather: sends each group to an entry that serves it, or asks its shards itself, and merges the parts.
#pragma once

#include "hickoryspur/connection/ShardGroups.h"
#include "hickoryspur/request/GroupGather.h"
#include "request/ActiveRequest.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/future.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickoryspur {

class EntryTraffic::GroupedRequest : public std::enable_shared_from_this<GroupedRequest>
{
public:
    GroupedRequest(EntryTraffic &traffic, std::shared_ptr<const RouteTable> routes, const Route &route,
                   ForwardedRequest request, std::shared_ptr<const std::vector<ShardGroup>> groups,
                   std::function<bool()> isCallerGone, Usage usage);

    /** Must be called on a fiber; blocks it until the final answer. */
    CallerAnswer serve();

private:
    /** Where a group is being served. */
    struct Dispatch
    {
        TimePoint at;
        /** The entry that has the group; empty if this one asks the shards itself. */
        std::string entry;
        std::optional<Delegations::CallId> call;
        std::weak_ptr<ActiveRequest> own;
        /** Of the entry that has the group; not set if this one has it. */
        std::optional<RequestUsage::RunId> run;
        /** The entries that have had it before. */
        std::set<std::string> tried;
    };

    void start();
    /** Starts the request when it is admitted, or refuses it. Returns its number at the gate. */
    AdmissionNumber enterGate();
    /** Answers a request of which nothing has been sent. */
    void endUnsent(CallerAnswer answer);
    /** Put in quarantine, or its key withdrawn, since it was accepted. */
    bool isStopped() const;
    /** Ends a request that waits to start if it may not start any more, or if nobody waits for its answer. */
    bool endIfUnwanted();
    void execute(const GroupActions &actions);
    void dispatch(size_t group);
    /** The entry to send the group to; empty if this entry is to ask the shards itself. */
    std::string chooseEntry(TimePoint now, size_t group) const;
    void delegate(TimePoint now, size_t group);
    void serveHere(size_t group);
    void onReply(size_t group, DelegatedReply reply);
    void onReport(size_t group, GroupReport report);
    void onLost(size_t group, bool sent);
    void scheduleTimer();
    void onTimer();
    /** Ends the work on groups that have not ended. */
    /** Ends the request without an answer: the caller has gone, or it cannot go on. */
    void abandon();
    void cancelGroups();
    void finish(ScatterOutcome outcome);
    CallerAnswer answer(ScatterOutcome outcome) const;
    void logOutcome(ScatterOutcome outcome) const;
    /** Reports the upstreams that ended while they ran the request, unless one has answered. */
    void reportLosses();

    EntryTraffic &m_traffic;
    /** Keeps m_route valid when another table replaces this one. */
    std::shared_ptr<const RouteTable> m_routes;
    const Route &m_route;
    ForwardedRequest m_request;
    std::shared_ptr<const std::vector<ShardGroup>> m_groups;
    std::function<bool()> m_isCallerGone;
    /** Also that of the groups whose shards this entry asks itself. */
    Usage m_usage;
    boost::asio::steady_timer m_timer;
    TimePoint m_started;
    ScatterPlan m_plan;
    std::optional<GroupGather> m_gather;
    std::vector<Dispatch> m_dispatches;
    std::vector<std::string> m_signatures;
    /** The greatest records of each report. */
    std::vector<std::string> m_records;
    std::vector<UpstreamLoss> m_losses;
    boost::fibers::promise<CallerAnswer> m_promise;
    bool m_finished = false;
};

} // namespace hickoryspur
