#include "hickoryspur/request/RequestCodec.h"

#include "hickoryspur/process/Digest.h"
#include "process/HttpStatus.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <string_view>

namespace hickoryspur {

namespace {

bool isTokenByte(char byte)
{
    constexpr std::string_view kOthers = "!#$%&'*+-.^_`|~";
    const bool isLetter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
    const bool isDigit = byte >= '0' && byte <= '9';
    return isLetter || isDigit || kOthers.find(byte) != std::string_view::npos;
}

bool isControlByte(char byte)
{
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    const auto code = static_cast<unsigned char>(byte);
    return code < kFirstPrintable || code == kDelete;
}

bool isFieldName(const std::string &name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenByte);
}

bool isFieldValue(const std::string &value)
{
    return std::none_of(value.begin(), value.end(), [](char byte) { return byte != '\t' && isControlByte(byte); });
}

} // namespace

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

bool isWellFormed(const CallerAnswer &answer)
{
    return isFinalStatus(answer.status) && (answer.body.empty() || allowsBody(answer.status))
        && std::all_of(answer.fields.begin(), answer.fields.end(),
                       [](const auto &field) { return isFieldName(field.first) && isFieldValue(field.second); });
}

} // namespace hickoryspur
