#include "connection/UpstreamConnections.h"

#include "connection/ConnectionReport.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hickoryspur {

struct UpstreamConnections::State
{
    boost::asio::io_context &context;
    BelongsTo belongsTo;
    Connected connected;
    std::unordered_map<UpstreamId, std::shared_ptr<ConnectionPool>> pools;
    /** Pools of upstreams that have another address now, until their last exchanges have ended. */
    std::vector<std::shared_ptr<ConnectionPool>> replaced;
    std::unordered_map<Handle, std::weak_ptr<ConnectionPool>> running;
    Handle nextHandle = 1;
    std::mt19937_64 random;
    ConnectionReport report;

    std::shared_ptr<ConnectionPool> pool(const UpstreamTarget &target);
    /** Null if the exchange has ended. */
    std::shared_ptr<ConnectionPool> poolOf(Handle handle) const;
    /** All pools, replaced ones too; a copy, since exchanges that end may change the list. */
    std::vector<std::shared_ptr<ConnectionPool>> allPools() const;
    /** Forgets the retired pools that nothing uses, also no exchange that has been posted to one. */
    void dropEnded();
};

std::shared_ptr<ConnectionPool> UpstreamConnections::State::pool(const UpstreamTarget &target)
{
    std::shared_ptr<ConnectionPool> &pool = pools[target.id];
    if (pool && pool->address().text() != target.address.text()) {
        pool->closeIdle();
        pool->setRetired(true);
        replaced.push_back(std::exchange(pool, nullptr));
    }
    if (!pool)
        pool = std::make_shared<ConnectionPool>(context, target, belongsTo, connected, random());
    pool->setRetired(false);
    pool->setLimits(target);
    return pool;
}

std::vector<std::shared_ptr<ConnectionPool>> UpstreamConnections::State::allPools() const
{
    std::vector<std::shared_ptr<ConnectionPool>> all = replaced;
    for (const auto &[id, pool] : pools)
        all.push_back(pool);
    return all;
}

void UpstreamConnections::State::dropEnded()
{
    const auto isDropped = [](const std::shared_ptr<ConnectionPool> &pool) {
        return pool->hasEnded() && pool.use_count() == 1;
    };
    std::erase_if(replaced, isDropped);
    std::erase_if(pools, [isDropped](const auto &item) { return isDropped(item.second); });
}

std::shared_ptr<ConnectionPool> UpstreamConnections::State::poolOf(Handle handle) const
{
    const auto found = running.find(handle);
    return found == running.end() ? nullptr : found->second.lock();
}

UpstreamConnections::UpstreamConnections(boost::asio::io_context &context, BelongsTo belongsTo, uint64_t seed,
                                         Connected connected)
    : m_state(new State{context, std::move(belongsTo), std::move(connected), {}, {}, {}, 1, std::mt19937_64(seed), {}})
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
    pool->expect();
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

void UpstreamConnections::withdrawUnusable()
{
    std::vector<std::shared_ptr<ConnectionPool>> waiting;
    for (const auto &[id, pool] : m_state->pools)
        if (pool->hasWaiting())
            waiting.push_back(pool);
    std::copy_if(m_state->replaced.begin(), m_state->replaced.end(), std::back_inserter(waiting),
                 [](const auto &pool) { return pool->hasWaiting(); });
    for (const std::shared_ptr<ConnectionPool> &pool : waiting)
        pool->withdrawUnusable();
}

void UpstreamConnections::warm(const UpstreamTarget &target)
{
    m_state->pool(target)->warm();
}

bool UpstreamConnections::hasRoom(const UpstreamId &id, size_t bodyBytes) const
{
    const auto found = m_state->pools.find(id);
    return found == m_state->pools.end() || (found->second->hasRoom() && found->second->hasRoomFor(bodyBytes));
}

bool UpstreamConnections::hasRoomBesidesPosted(const UpstreamId &id) const
{
    const auto found = m_state->pools.find(id);
    return found == m_state->pools.end() || found->second->hasRoomBesidesExpected();
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
    found->second->closeIdle();
    found->second->setRetired(true);
}

void UpstreamConnections::tick(TimePoint now)
{
    size_t openConnections = 0;
    for (const std::shared_ptr<ConnectionPool> &pool : m_state->allPools()) {
        pool->tick(now);
        openConnections += pool->size();
    }
    m_state->dropEnded();
    m_state->report.tick(now, openConnections, m_state->pools.size());
}

} // namespace hickoryspur