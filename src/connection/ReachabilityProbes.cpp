#include "connection/ReachabilityProbes.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

struct Probe
{
    explicit Probe(asio::io_context &context)
        : socket(context)
        , timer(context)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(bool)> done;

    void end(bool connected)
    {
        if (!done)
            return;
        const auto hook = std::exchange(done, nullptr);
        timer.cancel();
        boost::system::error_code ignored;
        socket.close(ignored);
        hook(connected);
    }
};

} // namespace

void ReachabilityProbes::tick(TimePoint now, const UpstreamReachability::Alive &alive, const AddressOf &addressOf)
{
    for (const UpstreamId &upstream : m_reachability.tick(now, alive))
        start(addressOf(upstream));
    report();
}

void ReachabilityProbes::start(const HostAddress &address)
{
    auto probe = std::make_shared<Probe>(m_context);
    probe->done = [this, alive = std::weak_ptr<bool>(m_alive)](bool connected) {
        if (alive.expired())
            return;
        m_reachability.recordProbe(monotonicNow(), connected);
        report();
    };
    probe->socket.async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(address.address), address.port),
                                [probe](const boost::system::error_code &error) { probe->end(!error); });
    probe->timer.expires_after(UpstreamReachability::kProbeTimeout);
    probe->timer.async_wait([probe](const boost::system::error_code &error) {
        if (!error)
            probe->end(false);
    });
}

void ReachabilityProbes::report()
{
    static Counter &cutOff = Metrics::counter("hickoryspur_cut_off_from_upstreams");
    if (m_reportedCutOff == isCutOff())
        return;
    m_reportedCutOff = isCutOff();
    cutOff.set(isCutOff() ? 1 : 0);
    HS_LOG(WARNING, isCutOff() ? LogEvent::UpstreamsUnreachable : LogEvent::UpstreamsReachable)
        << "cut-off=" << isCutOff();
}

} // namespace hickoryspur
