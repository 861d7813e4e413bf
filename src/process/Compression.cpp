#include "hickoryspur/process/Compression.h"

#include "hickoryspur/process/MessageCodec.h"

#include <glog/logging.h>
#include <zlib.h>

namespace hickoryspur {

namespace {

constexpr size_t kStartBytes = 64UL * 1024;

} // namespace

std::string compressText(const std::string &text)
{
    uLongf length = compressBound(text.size());
    std::string bytes(length, '\0');
    const int status = compress(reinterpret_cast<Bytef *>(bytes.data()), &length,
                                reinterpret_cast<const Bytef *>(text.data()), text.size());
    // The buffer is large enough for any text, so only a lack of memory can fail.
    CHECK_EQ(status, Z_OK) << "cannot compress " << text.size() << " bytes";
    bytes.resize(length);
    return bytes;
}

std::optional<std::string> decompressText(const std::string &bytes)
{
    for (size_t limit = kStartBytes; limit <= kMaxMessageBytes; limit *= 4) {
        std::string text(limit, '\0');
        uLongf length = limit;
        const int status = uncompress(reinterpret_cast<Bytef *>(text.data()), &length,
                                      reinterpret_cast<const Bytef *>(bytes.data()), bytes.size());
        if (status == Z_OK) {
            text.resize(length);
            return text;
        }
        if (status != Z_BUF_ERROR)
            return std::nullopt;
    }
    return std::nullopt;
}

} // namespace hickoryspur
