// Where an entry's requests wait until RequestAdmission lets them start. It knows what room the upstreams have for a
// request, starts and refuses requests as decided, and ends those that are no longer wanted while they wait.
#pragma once

#include "hickoryspur/request/RequestAdmission.h"
#include "request/EntryTraffic.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickoryspur {

class EntryTraffic::RequestGate
{
public:
    /** Exactly one of the first two is called, unless endIfUnwanted returns true before. */
    struct Waiter
    {
        /** Sends the request's first attempts; must not call the gate. */
        std::function<void()> start;
        /** The request has not run and will not run; its caller may try again after the delay. */
        std::function<void(Duration retryAfter)> refuse;
        /** Answers a request that may not start any more, or that nobody waits for, and returns true; asked at ticks.
         */
        std::function<bool()> endIfUnwanted;
        /** Its shards are looked at while the request waits. */
        const ScatterPlan *plan = nullptr;
    };

    RequestGate(EntryTraffic &traffic, uint64_t seed);

    /**
     * Starts the request, now or later, or refuses it. Returns its number for leave().
     * @param arrived When the request came in, which is now.
     */
    AdmissionNumber enter(TimePoint arrived, const Route &route, const ForwardedRequest &request, Waiter waiter);
    /** The request has ended, started or not. */
    void leave(AdmissionNumber number);
    /** A connection may have become free. */
    void onRoomChanged();
    void tick(TimePoint now);
    void setRoutes(const RouteTable &routes);

private:
    struct Pending
    {
        Waiter waiter;
        std::string requestId;
        std::string route;
        int priority = 0;
    };

    AdmissionDemand makeDemand(const Route &route, const ForwardedRequest &request, TimePoint arrived,
                               const Waiter &waiter) const;
    void execute(const AdmissionDecisions &decisions);
    void refuse(const RefusedRequest &refused);
    /** Decides again in the next turn of the loop, when what has been started is known to the connections. */
    void postUpdate();
    void scheduleWake(TimePoint now);
    bool hasRoom(const AdmissionDemand &demand, size_t spare);
    bool hasRoomAt(TimePoint now, const ServiceName &shard, int priority, size_t spare) const;

    EntryTraffic &m_traffic;
    RequestAdmission m_admission;
    boost::asio::steady_timer m_timer;
    TimePoint m_wakeAt = TimePoint::max();
    bool m_updatePosted = false;
    AdmissionNumber m_lastNumber = 0;
    std::map<AdmissionNumber, Pending> m_pending;
    /** The admission group of each shard: routes that have a shard in common are in one group, named after one of them.
     */
    std::unordered_map<ServiceName, std::string> m_groups;
    /** For each scope the shards that had no room when it was last full; they are looked at first. */
    std::unordered_map<std::string, std::vector<ServiceName>> m_fullShards;
};

} // namespace hickoryspur
