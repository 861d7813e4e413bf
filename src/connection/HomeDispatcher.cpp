#include "connection/HomeDispatcher.h"

#include "hickoryspur/process/Check.h"
#include "hickoryspur/process/Metrics.h"

namespace hickoryspur {

namespace {

/**
 * While work of the previous home may still run, opening the queue and each new sub-request block the
 * new home's dispatches for this long.
 */
constexpr Duration kHandoverRecheck = 50ms;

} // namespace

HomeDispatcher::HomeDispatcher(NodeId self, uint64_t incarnation, ChannelFactory factory, Reply reply)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_factory(std::move(factory))
    , m_reply(std::move(reply))
{
}

void HomeDispatcher::setView(TimePoint now, ViewPointer view)
{
    m_view = std::move(view);
    m_homeUpstreams.clear();
    for (const auto &[environment, content] : m_view->environments)
        for (const auto &[name, service] : content.services)
            for (const UpstreamView &upstream : service.upstreams)
                if (upstream.home == m_self)
                    m_homeUpstreams[upstream.announcement.id] = &upstream;
    for (auto item = m_homes.begin(); item != m_homes.end();) {
        Home &home = item->second;
        const auto assigned = m_homeUpstreams.find(item->first);
        const bool released = assigned == m_homeUpstreams.end() || assigned->second->announcement.isLeaving();
        if (released)
            execute(now, home, home.queue.close());
        else
            openHome(now, *assigned->second);
        if (released && home.queue.running() == 0)
            item = m_homes.erase(item);
        else
            ++item;
    }
}

void HomeDispatcher::openHome(TimePoint now, const UpstreamView &upstream)
{
    const Announcement &announcement = upstream.announcement;
    auto found = m_homes.find(announcement.id);
    if (found == m_homes.end()) {
        found = m_homes
                    .emplace(announcement.id,
                             Home{announcement, UpstreamQueue(announcement.slots, announcement.incarnation),
                                  m_factory(announcement)})
                    .first;
        if (upstream.homeHandoverPending)
            found->second.queue.blockUntil(now + kHandoverRecheck);
        return;
    }
    Home &home = found->second;
    if (home.announcement.equalsExceptSequence(announcement))
        return;
    const bool moved = home.announcement.address != announcement.address || home.announcement.port != announcement.port;
    if (moved || home.announcement.incarnation != announcement.incarnation)
        home.channel = m_factory(announcement);
    const bool announcedCold = announcement.state == static_cast<uint8_t>(UpstreamState::Cold)
        && home.announcement.state != announcement.state;
    home.announcement = announcement;
    home.queue.update(announcement.slots, announcement.incarnation, announcedCold);
}

HomeDispatcher::Home *HomeDispatcher::homeFor(TimePoint now, const UpstreamId &id)
{
    const auto assigned = m_homeUpstreams.find(id);
    if (assigned == m_homeUpstreams.end() || assigned->second->announcement.isLeaving())
        return nullptr;
    if (!m_homes.contains(id))
        openHome(now, *assigned->second);
    Home &home = m_homes.at(id);
    if (assigned->second->homeHandoverPending)
        home.queue.blockUntil(now + kHandoverRecheck);
    return &home;
}

void HomeDispatcher::submit(TimePoint now, const ReplyAddress &from, SubRequest request)
{
    static Counter &counter = Metrics::counter("hickoryspur_home_sub_requests_total");
    counter.add();
    const DispatchId dispatchId = m_nextDispatchId++;
    Job job;
    job.from = from;
    job.deadline = now + Duration(request.timeLeftMicros);
    job.request = std::move(request);
    Home *home = homeFor(now, job.request.upstream);
    m_dispatchIds[{from, job.request.id}] = dispatchId;
    const TimePoint deadline = job.deadline;
    m_jobs.emplace(dispatchId, std::move(job));
    if (!home) {
        // This entry is not the upstream's home, so dispatching from here could exceed the upstream's slots.
        finish(dispatchId, SubOutcome::NotSent, {}, Duration::zero());
        return;
    }
    execute(now, *home, home->queue.submit(now, {dispatchId, deadline}));
}

void HomeDispatcher::cancel(TimePoint now, const ReplyAddress &from, SubRequestId id)
{
    const auto found = m_dispatchIds.find({from, id});
    if (found == m_dispatchIds.end())
        return;
    const DispatchId dispatchId = found->second;
    const auto home = m_homes.find(m_jobs.at(dispatchId).request.upstream);
    if (home == m_homes.end())
        return;
    if (home->second.queue.cancel(dispatchId))
        finish(dispatchId, SubOutcome::NotSent, {}, Duration::zero());
    else
        home->second.channel->cancel(dispatchId);
    execute(now, home->second, home->second.queue.tick(now));
}

void HomeDispatcher::execute(TimePoint now, Home &home, const DispatchActions &actions)
{
    for (const DispatchId dispatchId : actions.dispatch)
        dispatch(now, home, dispatchId);
    for (const DispatchId dispatchId : actions.refuse)
        finish(dispatchId, SubOutcome::NotSent, {}, Duration::zero());
}

void HomeDispatcher::dispatch(TimePoint now, Home &home, DispatchId dispatchId)
{
    Job &job = m_jobs.at(dispatchId);
    HS_INVARIANT(NoWorkToRemovedDataCentre, !m_view->isOut(home.announcement.dataCentre))
        << home.announcement.id << " is in " << home.announcement.dataCentre;
    job.dispatched = now;
    ChannelRequest request;
    request.id = dispatchId;
    request.requestId = std::to_string(m_incarnation) + '-' + std::to_string(dispatchId);
    request.shard = job.request.shard;
    request.generation = job.request.generation;
    request.snapshot = job.request.snapshot;
    request.deadline = job.deadline;
    request.body = job.request.body;
    const UpstreamId id = home.announcement.id;
    home.channel->send(std::move(request),
                       [this, id, dispatchId](ChannelResult result) { completed(id, dispatchId, std::move(result)); });
}

void HomeDispatcher::completed(const UpstreamId &id, DispatchId dispatchId, ChannelResult result)
{
    const TimePoint now = monotonicNow();
    const auto job = m_jobs.find(dispatchId);
    if (job == m_jobs.end())
        return;
    const Duration latency = now - job->second.dispatched;
    const SubOutcome outcome = result.outcome;
    finish(dispatchId, outcome, std::move(result), latency);
    const auto home = m_homes.find(id);
    if (home != m_homes.end())
        execute(now, home->second, home->second.queue.completed(now, dispatchId, outcome, latency));
}

void HomeDispatcher::finish(DispatchId dispatchId, SubOutcome outcome, ChannelResult result, Duration latency)
{
    const auto found = m_jobs.find(dispatchId);
    const Job &job = found->second;
    SubReply reply;
    reply.id = job.request.id;
    reply.outcome = static_cast<uint8_t>(outcome);
    reply.shard = result.shard;
    reply.generation = result.generation;
    reply.snapshot = result.snapshot;
    reply.body = std::move(result.body);
    reply.latencyMicros = latency.count();
    const ReplyAddress from = job.from;
    m_dispatchIds.erase({from, job.request.id});
    m_jobs.erase(found);
    m_reply(from, std::move(reply));
}

void HomeDispatcher::tick(TimePoint now)
{
    for (auto &[id, home] : m_homes) {
        const auto assigned = m_homeUpstreams.find(id);
        if (assigned != m_homeUpstreams.end() && assigned->second->homeHandoverPending)
            home.queue.blockUntil(now + kHandoverRecheck);
        execute(now, home, home.queue.tick(now));
        home.channel->tick(now);
    }
}

} // namespace hickoryspur
