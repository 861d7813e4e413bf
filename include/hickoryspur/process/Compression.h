// Compression of large texts that one host sends to many others, such as the routes of a configuration.
#pragma once

#include <optional>
#include <string>

namespace hickoryspur {

/** Compresses a text with zlib. */
std::string compressText(const std::string &text);
/** Reverses compressText(); nullopt if the bytes are damaged or the text would exceed kMaxMessageBytes. */
std::optional<std::string> decompressText(const std::string &bytes);

} // namespace hickoryspur
