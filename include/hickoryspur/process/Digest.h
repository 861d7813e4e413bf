// Digests, checksums and the comparison of secrets. SHA-256 identifies documents, requests and keys; xxHash
// detects corrupt records on disk and assigns upstreams to their homes.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace hickoryspur {

std::array<unsigned char, 32> sha256(std::string_view text);
/** The bytes in lower-case hexadecimal. */
std::string toHex(std::span<const unsigned char> bytes);
/** SHA-256 in lower-case hexadecimal. */
std::string sha256Hex(std::string_view text);
/** 64-bit xxHash (XXH3). Not collision-resistant: don't use it on input that an attacker can choose. */
uint64_t hash64(std::string_view text, uint64_t seed = 0);
/** Compares two secrets in a time that depends only on their lengths. */
bool equalInConstantTime(std::string_view left, std::string_view right);

} // namespace hickoryspur
