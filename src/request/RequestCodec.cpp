#include "hickoryspur/request/RequestCodec.h"

#include "hickoryspur/process/Digest.h"

#include <boost/beast/core/string.hpp>

namespace hickoryspur {

RequestFingerprint fingerprintOf(const ForwardedRequest &request)
{
    // A cryptographic digest, since nobody may be able to choose a request with the fingerprint of another one.
    std::string text;
    for (const std::string &part : {request.method, request.host, request.target, request.body})
        text += std::to_string(part.size()) + ':' + part;
    return RequestFingerprint(sha256Hex(text));
}

std::string UpstreamAnswer::field(const std::string &name) const
{
    for (const auto &[fieldName, value] : fields)
        if (boost::beast::iequals(fieldName, name))
            return value;
    return "";
}

} // namespace hickoryspur
