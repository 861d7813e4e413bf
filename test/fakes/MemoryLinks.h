// Simulated in-memory links between nodes. Messages are randomly delayed, lost, duplicated and reordered,
// reproducibly for a seed. Each direction between two nodes can be cut; the nodes are not notified.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <random>
#include <set>
#include <vector>

namespace hickoryspur {

struct LinkFaults
{
    Duration minDelay = 200us;
    Duration maxDelay = 5ms;
    double lossProbability = 0;
    double duplicateProbability = 0;
};

template <typename Message> class MemoryLinks
{
public:
    struct Delivery
    {
        NodeId from;
        NodeId to;
        Message message;
    };

    MemoryLinks(LinkFaults faults, uint64_t seed)
        : m_faults(faults)
        , m_random(seed)
    {
    }

    void send(TimePoint now, const NodeId &from, const NodeId &to, const Message &message)
    {
        ++m_sent;
        if (m_cut.contains({from, to}) || randomFraction() < m_faults.lossProbability)
            return;
        const int copies = randomFraction() < m_faults.duplicateProbability ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            std::uniform_int_distribution<int64_t> delay(m_faults.minDelay.count(), m_faults.maxDelay.count());
            m_queue.emplace(now + Duration(delay(m_random)), Delivery{from, to, message});
        }
    }

    /** Removes and returns the messages that have arrived by now, in order of arrival. */
    std::vector<Delivery> due(TimePoint now)
    {
        std::vector<Delivery> result;
        while (!m_queue.empty() && m_queue.begin()->first <= now) {
            Delivery delivery = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            if (!m_cut.contains({delivery.from, delivery.to}))
                result.push_back(std::move(delivery));
        }
        return result;
    }

    void cutOneWay(const NodeId &from, const NodeId &to) { m_cut.insert({from, to}); }
    void isolate(const NodeId &node, const std::vector<NodeId> &all)
    {
        for (const NodeId &other : all) {
            cutOneWay(node, other);
            cutOneWay(other, node);
        }
        m_cut.erase({node, node});
    }
    void heal() { m_cut.clear(); }
    uint64_t sent() const { return m_sent; }

private:
    double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    LinkFaults m_faults;
    std::mt19937_64 m_random;
    std::multimap<TimePoint, Delivery> m_queue;
    std::set<std::pair<NodeId, NodeId>> m_cut;
    uint64_t m_sent = 0;
};

} // namespace hickoryspur
