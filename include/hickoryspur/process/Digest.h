// Digests and checksums, by library: SHA-256 names documents and requests, xxHash guards records on
// disk and places upstreams on their homes, and secrets are compared in constant time.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hickoryspur {

/** SHA-256 in lower-case hexadecimal. */
std::string sha256Hex(std::string_view text);
/** xxHash, 64 bits; not for anything an attacker may choose. */
uint64_t hash64(std::string_view text, uint64_t seed = 0);
/** Compares two secrets in a time that depends on their lengths alone. */
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace hickoryspur
