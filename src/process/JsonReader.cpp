#include "process/JsonReader.h"

#include <algorithm>
#include <cmath>

namespace hickoryspur {

namespace {

using Json = nlohmann::json;

/** More messages about one text are only counted, so that an answer which lists them stays small. */
constexpr size_t kMaxMessages = 20;
constexpr const char *kMustNotBeEmpty = "must not be empty";

/** Finds the fields that an object has more than once: of those, the parsed value keeps only the last. */
class RepeatedFieldFinder : public nlohmann::json_sax<Json>
{
public:
    std::vector<JsonPath> found;

    bool null() override { return beginValue(); }
    bool boolean(bool) override { return beginValue(); }
    bool number_integer(number_integer_t) override { return beginValue(); }
    bool number_unsigned(number_unsigned_t) override { return beginValue(); }
    bool number_float(number_float_t, const string_t &) override { return beginValue(); }
    bool string(string_t &) override { return beginValue(); }
    bool binary(binary_t &) override { return beginValue(); }
    bool start_object(size_t) override { return beginContainer(false); }
    bool start_array(size_t) override { return beginContainer(true); }
    bool end_object() override { return endContainer(); }
    bool end_array() override { return endContainer(); }
    bool parse_error(size_t, const std::string &, const nlohmann::detail::exception &) override { return false; }

    bool key(string_t &name) override
    {
        Container &object = m_containers.back();
        object.name = name;
        if (!object.names.insert(name).second)
            found.push_back(path());
        return found.size() < kMaxMessages;
    }

private:
    struct Container
    {
        bool isList = false;
        /** Of a list: the number of values so far. */
        size_t size = 0;
        /** Of an object: the name of the last field, and those of all so far. */
        std::string name;
        std::set<std::string> names;
    };

    bool beginValue()
    {
        if (!m_containers.empty() && m_containers.back().isList)
            ++m_containers.back().size;
        return true;
    }

    bool beginContainer(bool isList)
    {
        beginValue();
        m_containers.emplace_back().isList = isList;
        return true;
    }

    bool endContainer()
    {
        m_containers.pop_back();
        return true;
    }

    JsonPath path() const
    {
        JsonPath result;
        for (const Container &container : m_containers)
            if (container.isList)
                result.emplace_back(container.size - 1);
            else
                result.emplace_back(container.name);
        return result;
    }

    std::vector<Container> m_containers;
};

Failure malformed(const std::string &message)
{
    return {ResultCode::MalformedRequest, message, true};
}

std::string position(size_t index)
{
    return '[' + std::to_string(index) + ']';
}

} // namespace

Result<Json> parseJsonObject(const std::string &text)
{
    try {
        Json json = Json::parse(text);
        if (!json.is_object())
            return tl::unexpected(malformed("the body must be a JSON object"));
        return json;
    } catch (const Json::parse_error &error) {
        // The library's message quotes the text, which may have keys.
        return tl::unexpected(
            malformed("the body must be a JSON object; it cannot be read at byte " + std::to_string(error.byte)));
    } catch (const Json::exception &) {
        return tl::unexpected(malformed("the body must be a JSON object; a number in it is too large"));
    }
}

std::vector<JsonPath> findRepeatedFields(const std::string &text)
{
    RepeatedFieldFinder finder;
    static_cast<void>(Json::sax_parse(text, &finder));
    return std::move(finder.found);
}

JsonErrors::JsonErrors(std::vector<JsonPath> repeatedFields)
    : m_repeatedFields(std::move(repeatedFields))
{
}

void JsonErrors::addError(const std::string &path, const std::string &message)
{
    ++m_errorCount;
    addViolation(path, message);
}

void JsonErrors::addViolation(const std::string &path, const std::string &message)
{
    if (m_messages.size() < kMaxMessages)
        m_messages.push_back(path.empty() ? message : path + ": " + message);
    else
        ++m_omitted;
}

std::vector<std::string> JsonErrors::messages() const
{
    std::vector<std::string> result = m_messages;
    for (const JsonPath &path : m_repeatedFields)
        result.push_back(describe(path) + ": must not be there twice");
    if (m_omitted > 0)
        result.push_back(std::to_string(m_omitted) + " more errors");
    return result;
}

void JsonErrors::recordField(std::string_view field)
{
    if (!m_repeatedFields.empty())
        m_fields.emplace(field);
}

std::string JsonErrors::describe(const JsonPath &path) const
{
    std::string result;
    for (const auto &part : path) {
        if (const size_t *index = std::get_if<size_t>(&part)) {
            result += position(*index);
            continue;
        }
        const std::string &name = std::get<std::string>(part);
        result += (result.empty() ? "" : ".") + (m_fields.contains(name) ? name : "?");
    }
    return result;
}

JsonSection::JsonSection(const Json &json, std::string path, JsonErrors &errors)
    : m_json(json.is_object() ? &json : nullptr)
    , m_path(std::move(path))
    , m_errors(&errors)
{
    if (!m_json)
        m_errors->addError(m_path, "must be an object");
}

bool JsonSection::has(const char *field) const
{
    return find(field) != nullptr;
}

const Json *JsonSection::find(const char *field) const
{
    m_errors->recordField(field);
    if (!m_json)
        return nullptr;
    const auto found = m_json->find(field);
    return found == m_json->end() ? nullptr : &*found;
}

void JsonSection::addMismatch(const char *field, const std::string &expected)
{
    // What is no object has no fields; that is an error already.
    if (m_json)
        m_errors->addError(pathOf(field), (has(field) ? "" : "is missing, ") + expected);
}

std::string JsonSection::text(const char *field)
{
    const Json *value = find(field);
    if (value && value->is_string())
        return value->get<std::string>();
    addMismatch(field, "must be a text");
    return "";
}

std::string JsonSection::name(const char *field)
{
    std::string value = text(field);
    if (const Json *json = find(field); value.empty() && json && json->is_string())
        addViolation(field, kMustNotBeEmpty);
    return value;
}

std::string JsonSection::choice(const char *field, std::initializer_list<std::string_view> choices)
{
    std::string value = text(field);
    const Json *json = find(field);
    if (!json || !json->is_string() || std::find(choices.begin(), choices.end(), value) != choices.end())
        return value;
    std::string expected = "must be";
    for (const std::string_view choice : choices)
        expected += (choice == *choices.begin() ? " " : " or ") + std::string(choice);
    addViolation(field, expected);
    return value;
}

bool JsonSection::boolean(const char *field)
{
    const Json *value = find(field);
    if (value && value->is_boolean())
        return value->get<bool>();
    addMismatch(field, "must be true or false");
    return false;
}

uint64_t JsonSection::wholeNumber(const char *field, uint64_t max)
{
    const Json *value = find(field);
    if (value && value->is_number_unsigned() && value->get<uint64_t>() <= max)
        return value->get<uint64_t>();
    addMismatch(field, "must be a whole number from 0 to " + std::to_string(max));
    return 0;
}

double JsonSection::number(const char *field)
{
    const Json *value = find(field);
    if (value && value->is_number() && std::abs(value->get<double>()) <= kMaxJsonNumber)
        return value->get<double>();
    addMismatch(field, "must be a number of at most 1e12");
    return 0;
}

double JsonSection::positiveOrZero(const char *field)
{
    const double value = number(field);
    if (value < 0)
        addViolation(field, "must not be below zero");
    return value;
}

double JsonSection::fraction(const char *field)
{
    const double value = number(field);
    if (value < 0 || value > 1)
        addViolation(field, "must be a number from 0 to 1");
    return value;
}

const Json &JsonSection::list(const char *field, Mismatch mismatch)
{
    static const Json empty = Json::array();
    const Json *value = find(field);
    if (value && value->is_array())
        return *value;
    const char *expected = "must be a list";
    if (value && mismatch == Mismatch::Violation) {
        addViolation(field, expected);
        return *value;
    }
    addMismatch(field, expected);
    return empty;
}

void JsonSection::forEachObject(const char *field, Mismatch mismatch, const std::function<void(JsonSection &)> &visit)
{
    size_t index = 0;
    for (const Json &item : list(field, mismatch)) {
        JsonSection section(item, pathOf(field, index), *m_errors);
        visit(section);
        ++index;
    }
}

std::vector<std::string> JsonSection::texts(const char *field, Mismatch mismatch)
{
    std::vector<std::string> result;
    for (const Json &item : list(field, mismatch)) {
        if (!item.is_string())
            m_errors->addError(pathOf(field, result.size()), "must be a text");
        result.push_back(item.is_string() ? item.get<std::string>() : "");
    }
    return result;
}

std::vector<std::string> JsonSection::names(const char *field, Mismatch mismatch)
{
    std::vector<std::string> result = texts(field, mismatch);
    for (size_t i = 0; i < result.size(); ++i)
        if (result[i].empty())
            m_errors->addViolation(pathOf(field, i), kMustNotBeEmpty);
    return result;
}

JsonSection JsonSection::section(const char *field)
{
    static const Json null;
    const Json *value = find(field);
    return {value ? *value : null, pathOf(field), *m_errors};
}

void JsonSection::check(const char *field, bool (*isValid)(const Json &), const char *expected)
{
    if (const Json *value = find(field); value && !isValid(*value))
        addViolation(field, expected);
}

void JsonSection::addViolation(const char *field, const std::string &message)
{
    m_errors->addViolation(pathOf(field), message);
}

void JsonSection::addViolation(const std::string &message)
{
    m_errors->addViolation(m_path, message);
}

std::string JsonSection::pathOf(const char *field) const
{
    return m_path.empty() ? field : m_path + '.' + field;
}

std::string JsonSection::pathOf(const char *field, size_t index) const
{
    return pathOf(field) + position(index);
}

} // namespace hickoryspur
