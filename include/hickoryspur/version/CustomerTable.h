// The customers of one accepted configuration and the digests of their API keys. A key is looked up by its digest; the
// keys themselves are not kept.
#pragma once

#include "hickoryspur/process/Ids.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryspur {

/** SHA-256 of an API key. */
using KeyDigest = StrongId<struct KeyDigestTag, std::array<unsigned char, 32>>;

KeyDigest digestOfKey(std::string_view key);
/** The first eight hexadecimal digits, for logs. */
std::string shortDigest(const KeyDigest &digest);

struct Customer
{
    CustomerName name;
    /** Takes precedence over the priority of the route; 0 is the highest. */
    std::optional<int> priority;
};

/** A customer as it is configured. */
struct CustomerEntry
{
    Customer customer;
    std::vector<std::string> keys;
};

class CustomerTable
{
public:
    /** Longer names and keys are errors. */
    static constexpr size_t kMaxBytes = 256;

    CustomerTable() = default;
    /** Keeps the digests of the keys, and what is wrong with the entries, which errors() lists. */
    explicit CustomerTable(const std::vector<CustomerEntry> &entries);

    /** Without customers, requests are not authenticated. */
    bool empty() const { return m_customers.empty(); }
    /** The customer that has the key with this digest; null if none has. */
    const Customer *find(const KeyDigest &digest) const;
    /** In the order of the configuration. */
    const std::vector<Customer> &customers() const { return m_customers; }
    /** Sorted digests of the keys of the customer at this position; takes time in proportion to all keys. */
    std::vector<KeyDigest> digestsOf(size_t customer) const;
    /** One message for each error; it names the customers and contains no key. */
    const std::vector<std::string> &errors() const { return m_errors; }

private:
    struct Key
    {
        KeyDigest digest;
        /** Position in m_customers. */
        uint32_t customer = 0;
        auto operator<=>(const Key &) const = default;
    };

    void checkNames();
    void checkKeys(size_t customer, const std::vector<std::string> &keys);
    void checkDuplicateKeys();
    /** The customer in error messages: its position, from 1, and its name if that is valid. */
    std::string describe(size_t customer) const;

    std::vector<Customer> m_customers;
    /** Sorted by digest. */
    std::vector<Key> m_keys;
    std::vector<std::string> m_errors;
};

} // namespace hickoryspur
