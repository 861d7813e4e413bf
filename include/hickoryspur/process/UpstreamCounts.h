// How many upstreams each data centre has, over all control hosts. An upstream announces itself to one
// control host, mostly one in its own data centre, so each control host hears of a different part of them.
// Control hosts tell each other their parts; decisions that all of them have to make alike, such as which
// entries callers are sent to, use the sum.
//
// It does no I/O and reads no clock.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/Time.h"

#include <msgpack.hpp>

#include <cstdint>
#include <map>

namespace hickoryspur {

/** From a control host to each other one: the upstreams that announce themselves to the sender and take requests. */
struct UpstreamCountReport
{
    std::map<DataCentreName, uint32_t> upstreams;
    /** The sender's wall clock in milliseconds since 1970; 0 from a host of an earlier release. */
    int64_t clockMillis = 0;
    MSGPACK_DEFINE(upstreams, clockMillis)
};

class UpstreamCounts
{
public:
    /** The upstreams of a host that has ended announce themselves to others before its report is dropped. */
    static constexpr Duration kReportValidity = 5s;

    /** Replaces what the host reported before. */
    void recordReport(TimePoint now, const NodeId &host, UpstreamCountReport report);
    /** Upstreams in each data centre, as this control host and the others have heard; drops reports that are old. */
    std::map<DataCentreName, size_t> total(TimePoint now, const UpstreamCountReport &own);

private:
    struct Received
    {
        UpstreamCountReport report;
        TimePoint at;
    };

    std::map<NodeId, Received> m_received;
};

} // namespace hickoryspur
