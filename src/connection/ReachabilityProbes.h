// Carries out what UpstreamReachability asks for: opens a connection to each upstream that is to be probed,
// closes it at once, and reports the result. Logs when the entry loses its way to the upstreams and finds it again.
#pragma once

#include "hickoryspur/connection/UpstreamReachability.h"
#include "hickoryspur/process/Settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace hickoryspur {

class ReachabilityProbes
{
public:
    using AddressOf = std::function<HostAddress(const UpstreamId &)>;

    ReachabilityProbes(boost::asio::io_context &context, uint64_t seed)
        : m_context(context)
        , m_reachability(seed)
    {
    }

    /** Where everything that is observed of connections and answers is recorded. */
    UpstreamReachability &reachability() { return m_reachability; }
    bool isCutOff() const { return m_reachability.isCutOff(); }
    /** Starts the probes that are due. */
    void tick(TimePoint now, const UpstreamReachability::Alive &alive, const AddressOf &addressOf);

private:
    void start(const HostAddress &address);
    /** Logs a change since the last call. */
    void report();

    boost::asio::io_context &m_context;
    UpstreamReachability m_reachability;
    bool m_reportedCutOff = false;
    /** A probe may end after its owner. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hickoryspur
