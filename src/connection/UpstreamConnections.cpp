#include "connection/UpstreamConnections.h"

#include "connection/ConnectionReport.h"

#include <boost/asio/post.hpp>

#include <unordered_map>
#include <vector>

namespace hickoryspur {

struct UpstreamConnections::State
{
    boost::asio::io_context &context;
    BelongsTo belongsTo;
    Connected connected;
    std::unordered_map<UpstreamId, std::shared_ptr<ConnectionPool>> pools;
    std::unordered_map<Handle, std::weak_ptr<ConnectionPool>> running;
    Handle nextHandle = 1;
    std::mt19937_64 random;
    ConnectionReport report;

    std::shared_ptr<ConnectionPool> pool(const UpstreamTarget &target);
    /** Null if the exchange has ended. */
    std::shared_ptr<ConnectionPool> poolOf(Handle handle) const;
};

std::shared_ptr<ConnectionPool> UpstreamConnections::State::pool(const UpstreamTarget &target)
{
    std::shared_ptr<ConnectionPool> &pool = pools[target.id];
    if (!pool || pool->address().text() != target.address.text())
        pool = std::make_shared<ConnectionPool>(context, target, belongsTo, connected, random());
    pool->setLimits(target);
    return pool;
}

std::shared_ptr<ConnectionPool> UpstreamConnections::State::poolOf(Handle handle) const
{
    const auto found = running.find(handle);
    return found == running.end() ? nullptr : found->second.lock();
}

UpstreamConnections::UpstreamConnections(boost::asio::io_context &context, BelongsTo belongsTo, uint64_t seed,
                                         Connected connected)
    : m_state(new State{context, std::move(belongsTo), std::move(connected), {}, {}, 1, std::mt19937_64(seed), {}})
{
}

UpstreamConnections::~UpstreamConnections() = default;

UpstreamConnections::Handle UpstreamConnections::send(const UpstreamTarget &target, ExchangeRequest request, Done done)
{
    const Handle handle = m_state->nextHandle++;
    const std::shared_ptr<ConnectionPool> pool = m_state->pool(target);
    m_state->running[handle] = pool;
    State *state = m_state.get();
    // Posted, so that an immediate failure does not call done from within send().
    boost::asio::post(state->context,
                      [state, pool, handle, request = std::move(request), done = std::move(done)]() mutable {
                          // The exchange holds its pool, which checks the answer even after the upstream has been
                          // removed.
                          pool->send({handle, std::move(request),
                                      [state, pool, handle, done = std::move(done)](ExchangeResult result) {
                                          state->running.erase(handle);
                                          done(std::move(result));
                                      }});
                      });
    return handle;
}

void UpstreamConnections::cancel(Handle handle)
{
    if (const std::shared_ptr<ConnectionPool> pool = m_state->poolOf(handle))
        pool->cancel(handle);
}

bool UpstreamConnections::cancelIfNotSent(Handle handle)
{
    const std::shared_ptr<ConnectionPool> pool = m_state->poolOf(handle);
    return pool && pool->cancelIfNotSent(handle);
}

void UpstreamConnections::withdrawWaiting(const UpstreamId &id)
{
    const auto found = m_state->pools.find(id);
    if (found == m_state->pools.end())
        return;
    const std::shared_ptr<ConnectionPool> pool = found->second;
    pool->endWaiting(AttemptOutcome::Withheld, "the upstream takes no requests now");
}

void UpstreamConnections::warm(const UpstreamTarget &target)
{
    m_state->pool(target)->warm();
}

bool UpstreamConnections::hasRoom(const UpstreamId &id) const
{
    const auto found = m_state->pools.find(id);
    return found == m_state->pools.end() || found->second->hasRoom();
}

void UpstreamConnections::closeIdle()
{
    for (const auto &[id, pool] : m_state->pools)
        pool->closeIdle();
}

void UpstreamConnections::removeUpstream(const UpstreamId &id)
{
    const auto found = m_state->pools.find(id);
    if (found == m_state->pools.end())
        return;
    const std::shared_ptr<ConnectionPool> pool = found->second;
    pool->closeIdle();
    if (pool->size() == 0)
        m_state->pools.erase(found);
}

void UpstreamConnections::tick(TimePoint now)
{
    std::vector<std::shared_ptr<ConnectionPool>> pools;
    for (const auto &[id, pool] : m_state->pools)
        pools.push_back(pool);
    size_t openConnections = 0;
    for (const std::shared_ptr<ConnectionPool> &pool : pools) {
        pool->tick(now);
        openConnections += pool->size();
    }
    m_state->report.tick(now, openConnections, pools.size());
}

} // namespace hickoryspur