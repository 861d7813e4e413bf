#include "connection/HomeDesk.h"

#include "hickoryspur/process/Check.h"
#include "hickoryspur/process/Metrics.h"

namespace hickoryspur {

namespace {

/** How long a home that has just taken an upstream over waits for the earlier home's work to end. */
constexpr Duration kSettlingCheck = 50ms;

} // namespace

HomeDesk::HomeDesk(NodeId self, uint64_t incarnation, ChannelFactory factory, Reply reply)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_factory(std::move(factory))
    , m_reply(std::move(reply))
{
}

void HomeDesk::setView(TimePoint now, ViewPointer view)
{
    m_view = std::move(view);
    m_mine.clear();
    for (const auto &[environment, content] : m_view->environments)
        for (const auto &[name, service] : content.services)
            for (const UpstreamView &upstream : service.upstreams)
                if (upstream.home == m_self)
                    m_mine[upstream.announcement.id] = &upstream;
    for (auto item = m_homes.begin(); item != m_homes.end();) {
        Home &home = item->second;
        const auto mine = m_mine.find(item->first);
        const bool gone = mine == m_mine.end() || mine->second->announcement.isLeaving();
        if (gone)
            carryOut(now, home, home.gate.close());
        else
            openHome(now, *mine->second);
        if (gone && home.gate.running() == 0)
            item = m_homes.erase(item);
        else
            ++item;
    }
}

void HomeDesk::openHome(TimePoint now, const UpstreamView &upstream)
{
    const Announcement &announcement = upstream.announcement;
    auto found = m_homes.find(announcement.id);
    if (found == m_homes.end()) {
        found = m_homes
                    .emplace(announcement.id,
                             Home{announcement, UpstreamGate(announcement.slots, announcement.incarnation),
                                  m_factory(announcement)})
                    .first;
        if (upstream.homeHandoverPending)
            found->second.gate.holdUntil(now + kSettlingCheck);
        return;
    }
    Home &home = found->second;
    if (home.announcement.sameBut(announcement))
        return;
    const bool moved = home.announcement.address != announcement.address || home.announcement.port != announcement.port;
    if (moved || home.announcement.incarnation != announcement.incarnation)
        home.channel = m_factory(announcement);
    const bool saysCold = announcement.state == static_cast<uint8_t>(UpstreamState::Cold)
        && home.announcement.state != announcement.state;
    home.announcement = announcement;
    home.gate.update(announcement.slots, announcement.incarnation, saysCold);
}

HomeDesk::Home *HomeDesk::homeFor(TimePoint now, const UpstreamId &id)
{
    const auto mine = m_mine.find(id);
    if (mine == m_mine.end() || mine->second->announcement.isLeaving())
        return nullptr;
    if (!m_homes.contains(id))
        openHome(now, *mine->second);
    Home &home = m_homes.at(id);
    if (mine->second->homeHandoverPending)
        home.gate.holdUntil(now + kSettlingCheck);
    return &home;
}

void HomeDesk::submit(TimePoint now, const ReplyAddress &from, SubRequest request)
{
    static Counter &counter = Metrics::counter("hickoryspur_home_sub_requests_total");
    counter.add();
    const GateKey key = m_nextKey++;
    Job job;
    job.from = from;
    job.deadline = now + Duration(request.timeLeftMicros);
    job.request = std::move(request);
    Home *home = homeFor(now, job.request.upstream);
    m_names[{from, job.request.id}] = key;
    const TimePoint deadline = job.deadline;
    m_jobs.emplace(key, std::move(job));
    if (!home) {
        // Another entry is home, or nobody: this one never guesses.
        finish(key, SubOutcome::NotSent, {}, Duration::zero());
        return;
    }
    carryOut(now, *home, home->gate.submit(now, {key, deadline}));
}

void HomeDesk::cancel(TimePoint now, const ReplyAddress &from, SubRequestId id)
{
    const auto name = m_names.find({from, id});
    if (name == m_names.end())
        return;
    const GateKey key = name->second;
    const auto home = m_homes.find(m_jobs.at(key).request.upstream);
    if (home == m_homes.end())
        return;
    if (home->second.gate.cancel(key))
        finish(key, SubOutcome::NotSent, {}, Duration::zero());
    else
        home->second.channel->cancel(key);
    carryOut(now, home->second, home->second.gate.tick(now));
}

void HomeDesk::carryOut(TimePoint now, Home &home, const GateActions &actions)
{
    for (const GateKey key : actions.dispatch)
        dispatch(now, home, key);
    for (const GateKey key : actions.refuse)
        finish(key, SubOutcome::NotSent, {}, Duration::zero());
}

void HomeDesk::dispatch(TimePoint now, Home &home, GateKey key)
{
    Job &job = m_jobs.at(key);
    HS_INVARIANT(NoWorkToRemovedDataCentre, !m_view->isOut(home.announcement.dataCentre))
        << home.announcement.id << " is in " << home.announcement.dataCentre;
    job.dispatched = now;
    ChannelRequest request;
    request.key = key;
    request.requestId = std::to_string(m_incarnation) + '-' + std::to_string(key);
    request.shard = job.request.shard;
    request.generation = job.request.generation;
    request.snapshot = job.request.snapshot;
    request.deadline = job.deadline;
    request.body = job.request.body;
    const UpstreamId id = home.announcement.id;
    home.channel->send(std::move(request),
                       [this, id, key](ChannelResult result) { completed(id, key, std::move(result)); });
}

void HomeDesk::completed(const UpstreamId &id, GateKey key, ChannelResult result)
{
    const TimePoint now = monotonicNow();
    const auto job = m_jobs.find(key);
    if (job == m_jobs.end())
        return;
    const Duration latency = now - job->second.dispatched;
    const SubOutcome outcome = result.outcome;
    finish(key, outcome, std::move(result), latency);
    const auto home = m_homes.find(id);
    if (home != m_homes.end())
        carryOut(now, home->second, home->second.gate.completed(now, key, outcome, latency));
}

void HomeDesk::finish(GateKey key, SubOutcome outcome, ChannelResult result, Duration latency)
{
    const auto found = m_jobs.find(key);
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
    m_names.erase({from, job.request.id});
    m_jobs.erase(found);
    m_reply(from, std::move(reply));
}

void HomeDesk::tick(TimePoint now)
{
    for (auto &[id, home] : m_homes) {
        const auto mine = m_mine.find(id);
        if (mine != m_mine.end() && mine->second->homeHandoverPending)
            home.gate.holdUntil(now + kSettlingCheck);
        carryOut(now, home, home.gate.tick(now));
        home.channel->tick(now);
    }
}

} // namespace hickoryspur
