#include "hickoryspur/process/UpstreamCounts.h"

namespace hickoryspur {

void UpstreamCounts::recordReport(TimePoint now, const NodeId &host, UpstreamCountReport report)
{
    m_received[host] = {std::move(report), now};
}

std::map<DataCentreName, size_t> UpstreamCounts::total(TimePoint now, const UpstreamCountReport &own)
{
    std::erase_if(m_received, [now](const auto &item) { return now - item.second.at > kReportValidity; });
    std::map<DataCentreName, size_t> total;
    for (const auto &[dataCentre, count] : own.upstreams)
        total[dataCentre] += count;
    for (const auto &[host, received] : m_received)
        for (const auto &[dataCentre, count] : received.report.upstreams)
            total[dataCentre] += count;
    return total;
}

} // namespace hickoryspur
