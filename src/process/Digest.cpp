#include "hickoryspur/process/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <xxhash.h>

namespace hickoryspur {

std::array<unsigned char, 32> sha256(std::string_view text)
{
    // Looking the algorithm up takes longer than a short text, so it is done once.
    static const EVP_MD *const kAlgorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    std::array<unsigned char, 32> digest{};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr, kAlgorithm, nullptr);
    return digest;
}

std::string toHex(std::span<const unsigned char> bytes)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * bytes.size());
    for (const unsigned char byte : bytes) {
        hex.push_back(digits[byte >> 4]);
        hex.push_back(digits[byte & 15]);
    }
    return hex;
}

std::string sha256Hex(std::string_view text)
{
    return toHex(sha256(text));
}

uint64_t hash64(std::string_view text, uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace hickoryspur
