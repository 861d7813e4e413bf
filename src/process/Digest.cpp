#include "hickoryspur/process/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace hickoryspur {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * static_cast<size_t>(size));
    for (unsigned int i = 0; i < size; ++i) {
        hex.push_back(digits[digest[i] >> 4]);
        hex.push_back(digits[digest[i] & 15]);
    }
    return hex;
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
