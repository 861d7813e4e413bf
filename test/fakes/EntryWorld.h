// Entries with real sockets in the thread of a test, and upstreams that the test answers for: what is between a
// caller's decoded request and its answer, with nothing replaced.
#pragma once

#include "PlatformCodec.h"
#include "UpstreamMessages.h"
#include "connection/AsioScheduler.h"
#include "fakes/ReservedPort.h"
#include "request/EntryTraffic.h"
#include "request/HttpCallerServer.h"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace hickoryspur::entryworld {

constexpr size_t kRecordBytes = 16;

/** All that lives on the thread of one test. */
struct World
{
    std::shared_ptr<boost::asio::io_context> context = std::make_shared<boost::asio::io_context>(1);
    ReservedPort internalPort{*context};
    std::vector<std::unique_ptr<HttpCallerServer>> servers;
    std::vector<Announcement> upstreams;
    size_t runs = 0;

    /** Starts an upstream that holds one record. */
    void addUpstream(const std::string &service, const std::string &dataCentre)
    {
        std::string record = service;
        record.resize(kRecordBytes, '.');
        addUpstream(service, dataCentre, [service, record](const CallerRequest &request) {
            return platform::makeAnswer(request, "sig-" + service, record);
        });
    }

    /** Adds an upstream that the test itself serves on this port; a service may have several. */
    const Announcement &addUpstream(const std::string &service, const std::string &dataCentre, uint16_t port)
    {
        Announcement announcement;
        announcement.id = UpstreamId(service + '-' + std::to_string(upstreams.size() + 1));
        announcement.service = ServiceName(service);
        announcement.version = VersionName("v1");
        announcement.incarnation = 1;
        announcement.sequence = 1;
        announcement.address = "127.0.0.1";
        announcement.port = port;
        announcement.dataCentre = DataCentreName(dataCentre);
        upstreams.push_back(announcement);
        return upstreams.back();
    }

    /** Starts an upstream that answers as the handler says; a service may have several. */
    void addUpstream(const std::string &service, const std::string &dataCentre, CallerHandler handler)
    {
        const ReservedPort port(*context);
        addUpstream(service, dataCentre, port.number());
        // The thread ends only after the fibers of all connections.
        ServerLimits limits;
        limits.idleTimeout = 500ms;
        auto server = HttpCallerServer::listen(*context, port.address(), limits,
                                               [this, handler = std::move(handler)](const CallerRequest &request) {
                                                   ++runs;
                                                   return handler(request);
                                               });
        CPPUNIT_ASSERT(server);
        servers.push_back(std::move(*server));
    }

    std::unique_ptr<EntryTraffic> startEntry(const std::string &ip, const std::string &dataCentre,
                                             AdmissionMode admission = AdmissionMode::Arrival,
                                             RequestCodec codec = platform::makePlatformCodec().traffic) const
    {
        TrafficConfig config;
        config.admission = admission;
        config.dataCentre = DataCentreName(dataCentre);
        config.internalAddress = {ip, internalPort.number()};
        config.seed = hash(ip);
        auto traffic = std::make_unique<EntryTraffic>(*context, config, std::move(codec));
        CPPUNIT_ASSERT(traffic->listen());
        traffic->setServing(true);
        return traffic;
    }

    static uint64_t hash(const std::string &text) { return std::hash<std::string>()(text); }
};

inline Route route(const std::string &prefix, bool idempotent)
{
    Route result;
    result.name = prefix;
    result.host = "lab";
    result.pathPrefix = prefix;
    result.idempotent = idempotent;
    result.timeout = 2s;
    result.targetLatency = 500ms;
    result.maxAttempts = 2;
    return result;
}

/** A query over the services of all upstreams, and two routes to the first one's: notices run once at most. */
inline RouteTable table(const World &world)
{
    RouteTable routes;
    routes.number = 1;
    Route query = route("/query/", true);
    query.topRecords = 3;
    for (const Announcement &upstream : world.upstreams) {
        query.shards.push_back(upstream.service);
        routes.services[upstream.service] = {upstream.service, 20, 0};
    }
    Route notice = route("/notice/", false);
    notice.services = {{world.upstreams.front().service, 1}};
    Route label = route("/label/", true);
    label.services = notice.services;
    routes.routes = {query, notice, label};
    return routes;
}

/** Tells the entry of the upstreams; if it is cut off, at addresses where nobody listens. */
inline void announce(const World &world, EntryTraffic &entry, bool cutOff, uint64_t sequence = 1)
{
    for (Announcement announcement : world.upstreams) {
        announcement.sequence = sequence;
        if (cutOff)
            announcement.address = "127.0.0.99";
        entry.accept(monotonicNow(), announcement);
    }
}

inline ForwardedRequest request(const std::string &path)
{
    ForwardedRequest result;
    result.method = "GET";
    result.target = result.path = path;
    result.host = "lab";
    result.id = "request-1";
    result.timeout = 2s;
    result.fields = {{"Hickoryspur-Request-Id", result.id}};
    return result;
}

inline bool neverGone()
{
    return false;
}

inline void tickFor(const std::vector<EntryTraffic *> &entries, Duration time)
{
    const TimePoint end = monotonicNow() + time;
    while (monotonicNow() < end) {
        for (EntryTraffic *entry : entries)
            entry->tick(monotonicNow());
        boost::this_fiber::sleep_for(10ms);
    }
}

/** Sends requests until the entry knows that it is cut off. */
inline void awaitCutOff(EntryTraffic &entry)
{
    const TimePoint end = monotonicNow() + 5s;
    while (!entry.isCutOff() && monotonicNow() < end) {
        boost::fibers::fiber([&entry] { entry.serve(request("/query/1"), neverGone); }).join();
        tickFor({&entry}, 30ms);
    }
    CPPUNIT_ASSERT(entry.isCutOff());
}

/** Runs a test on a thread of its own, since fibers' scheduling is set for a thread. */
inline void onFibers(const std::function<void(World &)> &test)
{
    std::exception_ptr failure;
    std::thread([&] {
        // Not destroyed: fibers that wait for a connection cannot be unwound.
        auto *world = new World();
        boost::fibers::use_scheduling_algorithm<AsioScheduler>(world->context);
        try {
            test(*world);
        } catch (...) {
            failure = std::current_exception();
        }
        world->servers.clear();
    }).join();
    if (failure)
        std::rethrow_exception(failure);
}

} // namespace hickoryspur::entryworld
