#include "hickoryspur/request/Dialect.h"

#include <boost/algorithm/string/predicate.hpp>

namespace hickoryspur {

std::string UpstreamAnswer::field(const std::string &name) const
{
    for (const auto &[fieldName, value] : fields)
        if (boost::algorithm::iequals(fieldName, name))
            return value;
    return "";
}

} // namespace hickoryspur
