#include "request/RemoteRequest.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/** How often a request checks its deadline, and whether its caller is still connected. */
constexpr Duration kCheckInterval = 50ms;

} // namespace

EntryTraffic::RemoteRequest::RemoteRequest(EntryTraffic &traffic, std::shared_ptr<const RouteTable> routes,
                                           const Route &route, ForwardedRequest request,
                                           std::vector<std::string> entries, std::function<bool()> isCallerGone,
                                           Usage usage)
    : m_traffic(traffic)
    , m_routes(std::move(routes))
    , m_route(route)
    , m_request(std::move(request))
    , m_entries(std::move(entries))
    , m_isCallerGone(std::move(isCallerGone))
    , m_usage(std::move(usage))
    , m_timer(traffic.m_context)
{
    std::reverse(m_entries.begin(), m_entries.end());
    const TimePoint now = monotonicNow();
    const Duration timeout = std::min(m_request.timeout.value_or(route.timeout), route.timeout);
    m_deadline = traffic.deadlineFor(now, timeout);
    m_request.timeout = timeout;
}

CallerAnswer EntryTraffic::RemoteRequest::serve()
{
    boost::fibers::future<CallerAnswer> answer = m_promise.get_future();
    sendToNext();
    startTimer();
    return answer.get();
}

void EntryTraffic::RemoteRequest::sendToNext()
{
    static Counter &delegated = Metrics::counter("hickoryspur_requests_delegated_total");
    const TimePoint now = monotonicNow();
    while (!m_entries.empty() && !m_traffic.m_delegations.isUsable(now, m_entries.back()))
        m_entries.pop_back();
    if (m_entries.empty() || m_asked == kMaxAsked || now >= m_deadline
        || lacksAuthentication(*m_routes, *m_traffic.m_routes, m_request))
        return finish(m_traffic.refuseNotRun(m_request, m_route, Duration::zero()));
    m_entry = std::move(m_entries.back());
    m_entries.pop_back();
    ++m_asked;
    delegated.add();
    DelegatedRequest order;
    order.request = m_request;
    order.timeoutMicros = (m_deadline - now - DelegatedRequest::kHopTime).count();
    order.deadlineMicros = order.timeoutMicros;
    Delegations::Hooks hooks;
    hooks.reply = [self = shared_from_this()](DelegatedReply reply) { self->onReply(std::move(reply)); };
    hooks.lost = [self = shared_from_this()](bool sent) { self->onLost(sent); };
    m_run = m_usage->begin(now);
    m_call = m_traffic.m_delegations.send(now, m_entry, order, std::move(hooks));
}

void EntryTraffic::RemoteRequest::onReply(DelegatedReply reply)
{
    m_call.reset();
    if (m_finished)
        return;
    if (reply.refused) {
        m_usage->endNotRun(m_run);
    } else {
        // An entry of an earlier release does not tell whether the request has run.
        reply.group.ended = reply.group.mayHaveRun = true;
        noteReportedUsage(monotonicNow(), m_run, reply.group, *m_usage);
    }
    // An entry of an earlier release passes on what its upstream sent, also if it is no answer of HTTP.
    if (!reply.answer.empty() && isWellFormed(reply.answer.front()) && m_traffic.m_codec.mayRelay(reply.answer.front()))
        return finish(std::move(reply.answer.front()));
    if (reply.refused)
        return sendToNext();
    finish(m_traffic.makeRefusal(RefusalKind::UpstreamFailed));
}

void EntryTraffic::RemoteRequest::onLost(bool sent)
{
    m_call.reset();
    HS_LOG_REQUEST(LogEvent::GroupLost) << "request=" << m_request.id << " group=all entry=" << m_entry
                                        << " sent=" << sent;
    if (m_finished)
        return;
    if (sent)
        return finish(m_traffic.makeRefusal(RefusalKind::UpstreamFailed));
    m_usage->endNotRun(m_run);
    sendToNext();
}

void EntryTraffic::RemoteRequest::startTimer()
{
    if (m_finished)
        return;
    m_timer.expires_after(kCheckInterval);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->onTimer();
    });
}

void EntryTraffic::RemoteRequest::onTimer()
{
    if (m_finished)
        return;
    // An answer, whichever it is, is worth more to the caller than a connection that ends without one.
    const TimePoint end = std::min(m_deadline, m_traffic.m_stopTime);
    if (monotonicNow() >= end || m_isCallerGone())
        finish(m_traffic.makeRefusal(RefusalKind::TimedOut));
    startTimer();
}

void EntryTraffic::RemoteRequest::finish(CallerAnswer answer)
{
    m_finished = true;
    m_usage->endRequest();
    if (m_call)
        m_traffic.m_delegations.cancel(*m_call);
    m_call.reset();
    m_timer.cancel();
    m_promise.set_value(std::move(answer));
}

} // namespace hickoryspur
