// Reads a JSON text field by field and collects every error with the path of its field, for example
// "routes[3].timeout-ms: must be a number". It is the counterpart of YamlReader for what operators and upstreams send.
// An error means that a value cannot be used. A violation means that it can, but is not what the field has to be:
// whoever accepts a text has to refuse it, and whoever reads an accepted text may use it. No message contains anything
// of the text itself, which may have keys.
//
//     const Result<nlohmann::json> json = parseJsonObject(text);
//     JsonErrors errors(findRepeatedFields(text));
//     JsonSection section(*json, "", errors);
//     order.service = ServiceName(section.name("service"));
#pragma once

#include "hickoryspur/process/ResultCode.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hickoryspur {

/** Any larger number would be a mistake; in milliseconds this is 31 years. It fits 64 bits also as microseconds. */
constexpr double kMaxJsonNumber = 1e12;

/** Parses a text whose root is an object. Fails with MalformedRequest; the message states the byte, from 1. */
Result<nlohmann::json> parseJsonObject(const std::string &text);

/** Names of fields and positions in lists, from the root of a text. */
using JsonPath = std::vector<std::variant<std::string, size_t>>;

/** The fields that one object has more than once, as far as there are not too many; empty if the text is not JSON. */
std::vector<JsonPath> findRepeatedFields(const std::string &text);

/** Collects the errors and violations of one text. */
class JsonErrors
{
public:
    JsonErrors() = default;
    /** Each of these fields is a violation. */
    explicit JsonErrors(std::vector<JsonPath> repeatedFields);

    void addError(const std::string &path, const std::string &message);
    void addViolation(const std::string &path, const std::string &message);
    bool hasErrors() const { return m_errorCount > 0; }
    /** One message for each error and violation; of many, the first ones and the number of the others. */
    std::vector<std::string> messages() const;

    /** Only the names of recorded fields are shown in the paths of repeated ones; others may be anything. */
    void recordField(std::string_view field);

private:
    std::string describe(const JsonPath &path) const;

    std::vector<JsonPath> m_repeatedFields;
    std::set<std::string, std::less<>> m_fields;
    std::vector<std::string> m_messages;
    size_t m_errorCount = 0;
    /** Number of messages that are not in m_messages, since there are too many. */
    size_t m_omitted = 0;
};

/** What a value of another type than the expected one is. */
enum class Mismatch { Error, Violation };

/**
 * Reads the fields of one object. An absent field, or one of another type, is an error unless the function states
 * otherwise; the returned value is then only a placeholder.
 */
class JsonSection
{
public:
    /** The object must outlive the section. */
    JsonSection(const nlohmann::json &json, std::string path, JsonErrors &errors);

    bool has(const char *field) const;
    std::string text(const char *field);
    /** A text; an empty one is a violation. */
    std::string name(const char *field);
    /** A text; any other than these is a violation. */
    std::string choice(const char *field, std::initializer_list<std::string_view> choices);
    bool boolean(const char *field);
    /** A whole number that the type can hold; 1.0 and "1" are errors. */
    template <typename Value> Value whole(const char *field)
    {
        return static_cast<Value>(wholeNumber(field, static_cast<uint64_t>(std::numeric_limits<Value>::max())));
    }
    /** A number whose size is at most kMaxJsonNumber. */
    double number(const char *field);
    /** The same; a number below zero is a violation. */
    double positiveOrZero(const char *field);
    /** The same; a number outside 0 to 1 is a violation. */
    double fraction(const char *field);
    /** Visits the objects in a list. If a value that is no list is only a violation, visits its members in their order.
     */
    void forEachObject(const char *field, Mismatch mismatch, const std::function<void(JsonSection &)> &visit);
    /** The texts in a list; otherwise like forEachObject(). */
    std::vector<std::string> texts(const char *field, Mismatch mismatch = Mismatch::Error);
    /** Like texts(); an empty one is a violation. */
    std::vector<std::string> names(const char *field, Mismatch mismatch = Mismatch::Error);
    JsonSection section(const char *field);

    /** A field that is not used: a value for which this is false is a violation, and it may be absent. */
    void check(const char *field, bool (*isValid)(const nlohmann::json &), const char *expected);
    /** Adds a violation about a field. */
    void addViolation(const char *field, const std::string &message);
    /** Adds a violation about the whole object. */
    void addViolation(const std::string &message);

private:
    /** Null if the field is absent. */
    const nlohmann::json *find(const char *field) const;
    /** Adds the error that a field is absent or has another type. */
    void addMismatch(const char *field, const std::string &expected);
    const nlohmann::json &list(const char *field, Mismatch mismatch);
    uint64_t wholeNumber(const char *field, uint64_t max);
    std::string pathOf(const char *field) const;
    std::string pathOf(const char *field, size_t position) const;

    /** Null if the value is not an object. */
    const nlohmann::json *m_json;
    std::string m_path;
    JsonErrors *m_errors;
};

} // namespace hickoryspur
