#include "hickoryspur/request/RequestCodec.h"

#include <boost/beast/core/string.hpp>

namespace hickoryspur {

std::string UpstreamAnswer::field(const std::string &name) const
{
    for (const auto &[fieldName, value] : fields)
        if (boost::beast::iequals(fieldName, name))
            return value;
    return "";
}

} // namespace hickoryspur
