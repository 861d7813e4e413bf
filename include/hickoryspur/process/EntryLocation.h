// An entry that callers may be sent to, and the data centre in which it is.
#pragma once

#include "hickoryspur/process/Ids.h"

#include <string>

namespace hickoryspur {

struct EntryLocation
{
    /** Where callers connect, as ip:port. */
    std::string address;
    /** Empty if a host of an earlier release reported the entry. */
    DataCentreName dataCentre;
    auto operator<=>(const EntryLocation &) const = default;
    MSGPACK_DEFINE(address, dataCentre)
};

} // namespace hickoryspur
