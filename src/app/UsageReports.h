// Reports usage to a service outside the deployment, from the control host that holds the duty "usage". It
// connects the decisions of DutyHolder and UsageReporter to the replicated log and to HTTP. It runs on the
// loop of the control host and blocks nothing there: log commands are answered by callbacks, and each call
// has a fiber of its own.
#pragma once

#include "app/HostCodec.h"
#include "hickoryspur/process/HostSettings.h"
#include "hickoryspur/process/PeerMessage.h"
#include "hickoryspur/process/UsageReporter.h"
#include "hickoryspur/version/DutyHolder.h"
#include "process/GroupThread.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

class UsageReports
{
public:
    struct Hooks
    {
        /** As GroupThread::submit() and read(); their callbacks may run on any thread. */
        std::function<void(Command, GroupThread::DoneCallback)> submit;
        std::function<void(GroupThread::ReadCallback)> read;
        /** The counts of a window that is to be decided now. */
        std::function<CustomerCounts(uint64_t window)> counts = [](uint64_t) { return CustomerCounts(); };
        /** True time in milliseconds since 1970; by default this host's wall clock. */
        std::function<int64_t(TimePoint)> trueMillis = [](TimePoint) { return wallClockMillis(); };
    };

    /**
     * The settings must have a usageAddress. The object must outlive all callbacks and all handlers of the context.
     * @param seed Seed of the jitter between calls.
     */
    UsageReports(boost::asio::io_context &context, const HostSettings &settings, const HostCodec &codec, Hooks hooks,
                 uint64_t seed);

    /** Payload of the pings between control hosts: the number of command types that this build applies. */
    static std::string makePingPayload();
    void recordPing(TimePoint now, const PeerMessage &ping);
    /** Called several times within the validity of a confirmation. */
    void tick(TimePoint now, const std::vector<NodeId> &controlHosts);

private:
    /** What is read from the log at once. */
    struct LogView
    {
        bool confirmed = false;
        Duty duty;
        uint64_t lastDecided = 0;
        std::optional<uint64_t> oldest;
        /** The packed counts of the oldest window. */
        std::string counts;
        size_t waiting = 0;
    };

    static LogView makeView(bool confirmed, const ControlState &state);
    /** Reads the log; continues with act() once it is read. */
    void refresh();
    void act(TimePoint confirmedAt, const LogView &view);
    void acquireIfNeeded(TimePoint now, const LogView &view);
    void decide(uint64_t window, uint64_t token);
    void recordSent(uint64_t window);
    void send(TimePoint now, uint64_t window, uint64_t token, const std::string &counts);
    UsageOutcome exchange(const UsageCall &call);
    void onAnswer(const UsageCall &call, const UsageOutcome &outcome);
    /** Submits a command and continues on the context with its outcome. */
    void submit(Command command, std::function<void(const ApplyOutcome &)> done);

    boost::asio::io_context &m_context;
    HostAddress m_address;
    std::string m_name;
    const HostCodec &m_codec;
    Hooks m_hooks;
    DutyHolder m_holder;
    UsageReporter m_reporter;
    std::vector<NodeId> m_controlHosts;
    bool m_readPending = false;
    bool m_earlierBuildLogged = false;
    /** The window that this host has called for last. */
    std::optional<uint64_t> m_lastCalled;
};

} // namespace hickoryspur
