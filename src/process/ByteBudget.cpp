#include "hickoryspur/process/ByteBudget.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"

#include <algorithm>
#include <utility>

namespace hickoryspur {

void ByteBudget::setLimit(size_t limitBytes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_limit = limitBytes;
}

size_t ByteBudget::limit() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_limit;
}

size_t ByteBudget::heldBytes() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_held;
}

bool ByteBudget::resize(Holder &holder, size_t bytes)
{
    std::vector<GiveUp> hooks;
    bool kept = true;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (holder.givenUp)
            return false;
        if (!std::exchange(holder.counted, true))
            m_holders.insert(&holder);
        m_held += bytes - holder.bytes;
        holder.bytes = bytes;
        if (m_held > m_limit)
            hooks = reclaim();
        kept = !holder.givenUp;
    }
    for (const GiveUp &giveUp : hooks)
        giveUp();
    return kept;
}

std::vector<ByteBudget::GiveUp> ByteBudget::reclaim()
{
    static Counter &givenUp = Metrics::counter("hickoryspur_messages_given_up_total");
    std::vector<GiveUp> hooks;
    while (m_held > m_limit) {
        Holder *holder = largest();
        if (!holder)
            break;
        givenUp.add();
        HS_LOG_REQUEST(LogEvent::MessageGivenUp)
            << "reader=" << holder->reader << " bytes=" << holder->bytes << " held=" << m_held << " limit=" << m_limit;
        holder->givenUp = true;
        m_held -= std::exchange(holder->bytes, 0);
        hooks.push_back(holder->giveUp);
    }
    return hooks;
}

ByteBudget::Holder *ByteBudget::largest() const
{
    Holder *result = nullptr;
    for (Holder *holder : m_holders)
        if (!holder->pinned && !holder->givenUp && (!result || holder->bytes > result->bytes))
            result = holder;
    return result;
}

void ByteBudget::remove(Holder &holder)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_held -= holder.bytes;
    m_holders.erase(&holder);
}

ByteBudget::Share::Share(ByteBudget &budget, const char *reader, GiveUp giveUp)
    : m_budget(&budget)
    , m_holder(std::make_unique<Holder>())
{
    m_holder->reader = reader;
    m_holder->giveUp = std::move(giveUp);
}

ByteBudget::Share &ByteBudget::Share::operator=(Share &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_budget = std::exchange(other.m_budget, nullptr);
    m_holder = std::move(other.m_holder);
    return *this;
}

ByteBudget::Share::~Share()
{
    release();
}

void ByteBudget::Share::release()
{
    if (m_holder && m_holder->counted)
        m_budget->remove(*m_holder);
    m_holder.reset();
}

bool ByteBudget::Share::resize(size_t bytes)
{
    if (!m_holder || (bytes <= kUncountedBytes && !m_holder->counted))
        return true;
    return m_budget->resize(*m_holder, bytes);
}

void ByteBudget::Share::pin()
{
    if (!m_holder)
        return;
    const std::lock_guard<std::mutex> lock(m_budget->m_mutex);
    m_holder->pinned = true;
}

ByteBudget &connectionBytes()
{
    static ByteBudget budget(ByteBudget::kDefaultLimitBytes);
    return budget;
}

} // namespace hickoryspur
