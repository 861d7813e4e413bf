// Decides which of one entry's requests start now, which wait, and which are refused before anything of them is sent.
//
// A request starts when enough of its shards have room, so that it does not hold connections for a half that is of no
// use without the other. Among those that wait, more urgent ones come first, then those that can still meet their
// target time, then customers in turn by weight, then the earliest target time. A request that will probably be late
// is refused while its caller has time for another try: at once, or after a quarter of its target latency.
//
// Expected times are learned from the requests that end, and expire. While nothing runs, one request starts whatever is
// expected, since nothing else would correct an estimate or show that there is room again.
//
// It does no I/O and reads no clock. docs/design/admission.md compares this order with others.
#pragma once

#include "hickoryspur/process/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace hickoryspur {

/** Names a request at one entry. */
using AdmissionNumber = uint64_t;

/** What one request needs, and by when. */
struct AdmissionDemand
{
    AdmissionNumber number = 0;
    /** Requests of the same scope need room at the same shards and have the same priority. */
    std::string scope;
    /** Requests of the same group share upstreams; they wait for each other. */
    std::string group;
    std::string customer;
    /** Share of the starts that the customer gets while others of the same priority wait; configurations name none. */
    uint32_t weight = 1;
    /** 0 is the most urgent. */
    int priority = 0;
    TimePoint arrived;
    /** Until then an answer has its full value to the caller. */
    TimePoint targetTime;
    TimePoint deadline;
    /** Expected time of the request without waiting as long as none has ended recently; zero if unknown. */
    Duration usualTime = Duration::zero();
    size_t shards = 1;
};

enum class AdmissionRefusal {
    /** It would probably be answered too late. */
    Late,
    /** Too many requests wait, and its refusal costs callers least. */
    QueueFull,
};

struct RefusedRequest
{
    AdmissionNumber number = 0;
    AdmissionRefusal reason = AdmissionRefusal::Late;
    /** When another try is likely to find room; at most a third of the time that the caller has left. */
    Duration retryAfter = Duration::zero();
};

/** Requests in neither list wait. */
struct AdmissionDecisions
{
    /** At most one of a group, since the start of one changes what room there is for the next. */
    std::vector<AdmissionNumber> admit;
    std::vector<RefusedRequest> refuse;
};

class RequestAdmission
{
public:
    /** An entry runs a handful of requests at a time; of more that wait, the last ones cannot be in time. */
    static constexpr size_t kMaxWaiting = 64;
    /** How often tick() is due. */
    static constexpr Duration kTickInterval = 50ms;

    /**
     * Whether enough shards of a submitted request have room for it now, and each of these for so many more requests,
     * as far as it has replicas for that.
     */
    using HasRoom = std::function<bool(const AdmissionDemand &, size_t spare)>;

    RequestAdmission(HasRoom hasRoom, uint64_t seed)
        : m_hasRoom(std::move(hasRoom))
        , m_random(seed)
    {
    }

    /** Takes a new request, and decides on it and on those that wait. */
    AdmissionDecisions submit(TimePoint now, AdmissionDemand demand);
    /** An admitted request has ended. Call update() for what that gives room to. */
    void ended(TimePoint now, AdmissionNumber number);
    /** A waiting request is no longer wanted. */
    void withdraw(AdmissionNumber number);
    /** Room may have become free, or nextWake() has come. */
    AdmissionDecisions update(TimePoint now);
    /** Like update(); measures by how much the calls are late, which requests wait in addition. */
    AdmissionDecisions tick(TimePoint now);
    /** When a waiting request may have to be refused; max() if none waits. */
    TimePoint nextWake(TimePoint now) const;

    size_t waiting() const;
    size_t running() const { return m_running.size(); }
    /** Expected time of a request from its start to its end. */
    Duration expectedTime(TimePoint now, const AdmissionDemand &demand) const;

private:
    static constexpr double kMaxLimit = 64;

    /** An average of times that loses its weight while no new ones come. */
    class LearnedTime
    {
    public:
        void add(TimePoint now, Duration time);
        /** Moves from the average to the usual time as the last sample ages. */
        Duration value(TimePoint now, Duration usual) const;
        bool isStale(TimePoint now) const;

    private:
        Duration m_average = Duration::zero();
        TimePoint m_lastSample;
        bool m_any = false;
    };
    struct Waiting
    {
        AdmissionDemand demand;
        /** Whether its expected wait has been checked, which is done once, on arrival. */
        bool isChecked = false;
    };
    struct Group
    {
        std::vector<Waiting> waiting;
        size_t running = 0;
        LearnedTime time;
        /** Starts that each customer has received, divided by its weight. */
        std::map<std::string, double> served;
        /** When a request of this priority last had to wait. */
        std::map<int, TimePoint> lastWait;
        /** What the customer of the latest start had received; a customer that was idle continues from here. */
        double servedBase = 0;
    };
    struct Running
    {
        std::string scope;
        std::string group;
        TimePoint since;
        TimePoint targetTime;
    };
    /** What is known of the requests of one scope. */
    struct Scope
    {
        LearnedTime time;
        size_t running = 0;
        /** How many of them run at a time so that they meet their target times. */
        double limit = kMaxLimit;
        /** Average share of the requests that ended after their target time. */
        double lateShare = 0;
        /** The limit is not decreased again before this time. */
        TimePoint nextDecrease;
    };

    /**
     * The order in which requests of one group start: priority, whether it misses its target time, the customer's
     * starts by weight, target time, number.
     */
    using Place = std::tuple<int, bool, double, TimePoint, AdmissionNumber>;

    Place placeOf(TimePoint now, const Group &group, const AdmissionDemand &demand) const;
    /** The first request in order that is not of these scopes and as urgent as required; end() if there is none. */
    std::vector<Waiting>::iterator first(TimePoint now, Group &group, const std::vector<std::string> &fullScopes,
                                         std::optional<int> priority);
    void decide(TimePoint now, Group &group, AdmissionDecisions &decisions);
    /** Starts the first request for which there is room; returns false if there is none. */
    bool admitOne(TimePoint now, Group &group, AdmissionDecisions &decisions);
    /** Room that the request has to leave for more urgent ones. */
    size_t spareFor(TimePoint now, const Group &group, const AdmissionDemand &demand) const;
    void start(TimePoint now, Group &group, std::vector<Waiting>::iterator request, AdmissionDecisions &decisions);
    void refuseLate(TimePoint now, Group &group, AdmissionDecisions &decisions);
    /** Whether it would be too late if it started now. */
    bool isTooLate(TimePoint now, const Waiting &request) const;
    /** Whether it will be too late after those before it. */
    bool willBeTooLate(TimePoint now, const Group &group, const Waiting &request) const;
    void refuseExcess(TimePoint now, AdmissionDecisions &decisions);
    /** The time by which the request has to be answered to be of use. */
    TimePoint limitOf(TimePoint now, const Waiting &request) const;
    /** Expected time until a request starts that has so many before it. */
    Duration expectedWait(TimePoint now, const Group &group, const AdmissionDemand &demand, size_t before) const;
    size_t countBefore(TimePoint now, const Group &group, const Waiting &request) const;
    Duration retryAfter(TimePoint now, const Group &group, const Waiting &request);
    RefusedRequest refusal(TimePoint now, const Group &group, const Waiting &request, AdmissionRefusal reason);
    /** Forgets routes and customers that send nothing, whose names change with the configuration. */
    void forgetIdle(TimePoint now);

    HasRoom m_hasRoom;
    std::mt19937_64 m_random;
    std::map<std::string, Group> m_groups;
    std::map<std::string, Scope> m_scopes;
    std::map<AdmissionNumber, Running> m_running;
    TimePoint m_lastTick;
    /** By how much the latest ticks were late. */
    Duration m_lag = Duration::zero();
};

} // namespace hickoryspur
