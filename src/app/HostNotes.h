// What a control host keeps on its disk beside the log, and reads again after a restart. Losing it does no
// harm for long: upstreams announce themselves again, and entries report their evidence again.
#pragma once

#include "hickoryspur/connection/Announcement.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/request/RequestQuarantine.h"

#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

struct HostNotes
{
    std::vector<Announcement> upstreams;
    std::vector<SuspectReport> suspects;
    MSGPACK_DEFINE(upstreams, suspects)
};

/** Reads also the notes of earlier releases, which are a list of announcements; nullopt if they cannot be read. */
inline std::optional<HostNotes> unpackNotes(const std::string &bytes)
{
    if (std::optional<HostNotes> notes = unpack<HostNotes>(bytes))
        return notes;
    std::optional<std::vector<Announcement>> upstreams = unpack<std::vector<Announcement>>(bytes);
    if (!upstreams)
        return std::nullopt;
    return HostNotes{std::move(*upstreams), {}};
}

} // namespace hickoryspur
