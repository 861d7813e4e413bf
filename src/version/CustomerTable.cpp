#include "hickoryspur/version/CustomerTable.h"

#include "hickoryspur/process/Digest.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace hickoryspur {

namespace {

constexpr size_t kShortDigestBytes = 4;

bool isVisible(unsigned char c)
{
    return c >= 0x21 && c <= 0x7e;
}

/** Whether the name can be the value of a header field: visible ASCII, with spaces only inside. */
bool isFieldValue(const std::string &name)
{
    return !name.empty() && name.size() <= CustomerTable::kMaxBytes && name.front() != ' ' && name.back() != ' '
        && std::all_of(name.begin(), name.end(), [](unsigned char c) { return c == ' ' || isVisible(c); });
}

/** What is wrong with a key; empty if nothing is. */
std::string keyError(const std::string &key)
{
    if (key.empty())
        return "is empty";
    if (key.size() > CustomerTable::kMaxBytes)
        return "is longer than " + std::to_string(CustomerTable::kMaxBytes) + " bytes";
    if (!std::all_of(key.begin(), key.end(), isVisible))
        return "has a character outside 0x21 to 0x7e";
    return "";
}

} // namespace

KeyDigest digestOfKey(std::string_view key)
{
    return KeyDigest(sha256(key));
}

std::string shortDigest(const KeyDigest &digest)
{
    const auto &bytes = digest.value();
    return toHex(std::span(bytes).first<kShortDigestBytes>());
}

CustomerTable::CustomerTable(const std::vector<CustomerEntry> &entries)
{
    m_customers.reserve(entries.size());
    size_t keys = 0;
    for (const CustomerEntry &entry : entries) {
        m_customers.push_back(entry.customer);
        keys += entry.keys.size();
    }
    m_keys.reserve(keys);
    checkNames();
    for (size_t customer = 0; customer < entries.size(); ++customer) {
        checkKeys(customer, entries[customer].keys);
        for (const std::string &key : entries[customer].keys)
            m_keys.push_back({digestOfKey(key), static_cast<uint32_t>(customer)});
    }
    std::sort(m_keys.begin(), m_keys.end());
    checkDuplicateKeys();
}

const Customer *CustomerTable::find(const KeyDigest &digest) const
{
    const auto found = std::lower_bound(m_keys.begin(), m_keys.end(), digest,
                                        [](const Key &key, const KeyDigest &wanted) { return key.digest < wanted; });
    return found == m_keys.end() || found->digest != digest ? nullptr : &m_customers[found->customer];
}

std::vector<KeyDigest> CustomerTable::digestsOf(size_t customer) const
{
    std::vector<KeyDigest> digests;
    for (const Key &key : m_keys)
        if (key.customer == customer)
            digests.push_back(key.digest);
    return digests;
}

void CustomerTable::checkNames()
{
    std::unordered_map<CustomerName, size_t> firstWithName;
    firstWithName.reserve(m_customers.size());
    for (size_t customer = 0; customer < m_customers.size(); ++customer) {
        const CustomerName &name = m_customers[customer].name;
        if (!isFieldValue(name.value()))
            m_errors.push_back("the name of " + describe(customer) + " is empty or cannot stand in a header field");
        const auto [first, isFirst] = firstWithName.emplace(name, customer);
        if (!isFirst)
            m_errors.push_back(describe(first->second) + " and " + describe(customer) + " have the same name");
    }
}

void CustomerTable::checkKeys(size_t customer, const std::vector<std::string> &keys)
{
    for (size_t key = 0; key < keys.size(); ++key)
        if (const std::string error = keyError(keys[key]); !error.empty())
            m_errors.push_back("key " + std::to_string(key + 1) + " of " + describe(customer) + ' ' + error);
}

void CustomerTable::checkDuplicateKeys()
{
    // Two customers may share many keys; they are named once.
    std::set<std::pair<uint32_t, uint32_t>> pairs;
    for (size_t i = 1; i < m_keys.size(); ++i)
        if (m_keys[i].digest == m_keys[i - 1].digest)
            pairs.emplace(m_keys[i - 1].customer, m_keys[i].customer);
    for (const auto &[first, second] : pairs)
        m_errors.push_back(first == second ? describe(first) + " lists a key twice"
                                           : describe(first) + " and " + describe(second) + " have the same key");
}

std::string CustomerTable::describe(size_t customer) const
{
    const std::string &name = m_customers[customer].name.value();
    return "customer " + std::to_string(customer + 1) + (isFieldValue(name) ? " (" + name + ')' : "");
}

} // namespace hickoryspur
