#include "process/YamlReader.h"

#include <charconv>
#include <cmath>
#include <sstream>

namespace hickoryspur {

namespace {

std::optional<double> parseNumber(const std::string &text, std::string &unit)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || !std::isfinite(number) || number < 0)
        return std::nullopt;
    unit = text.substr(static_cast<size_t>(end - text.data()));
    return number;
}

std::optional<Duration> parseDuration(const std::string &text)
{
    std::string unit;
    const std::optional<double> number = parseNumber(text, unit);
    if (!number)
        return std::nullopt;
    double micros = 0;
    if (unit == "us")
        micros = 1;
    else if (unit == "ms")
        micros = 1e3;
    else if (unit == "s")
        micros = 1e6;
    else if (unit == "m")
        micros = 60e6;
    else if (unit == "h")
        micros = 3600e6;
    else if (unit == "d")
        micros = 86400e6;
    else
        return std::nullopt;
    const double total = *number * micros;
    if (total >= static_cast<double>(Duration::max().count()))
        return std::nullopt;
    return Duration(static_cast<int64_t>(total));
}

std::string durationText(Duration duration)
{
    return std::to_string(duration.count() / 1000) + "ms";
}

} // namespace

void YamlErrors::add(const YAML::Node &node, const std::string &message)
{
    const int line = node.IsDefined() ? node.Mark().line + 1 : 1;
    m_messages.push_back(m_source + ':' + std::to_string(line) + ": " + message);
}

std::string YamlErrors::text() const
{
    std::string result;
    for (const std::string &message : m_messages)
        result += (result.empty() ? "" : "\n") + message;
    return result;
}

YAML::Node parseYaml(const std::string &text, YamlErrors &errors)
{
    try {
        YAML::Node root = YAML::Load(text);
        if (!root.IsMap())
            errors.add(root, "the document must be a map of fields");
        return root;
    } catch (const YAML::ParserException &error) {
        YAML::Node none;
        errors.add(none, "line " + std::to_string(error.mark.line + 1) + ": " + error.msg);
        return none;
    }
}

YamlSection::YamlSection(const YAML::Node &node, std::string name, YamlErrors &errors)
    : m_node(node)
    , m_name(std::move(name))
    , m_errors(errors)
{
    if (!m_node.IsMap()) {
        m_errors.add(m_node, m_name + " must be a map of fields");
        m_node = YAML::Node(YAML::NodeType::Map);
    }
}

bool YamlSection::has(const std::string &field) const
{
    return static_cast<bool>(m_node[field]);
}

YAML::Node YamlSection::readField(const std::string &field)
{
    m_readFields.insert(field);
    return m_node[field];
}

std::string YamlSection::addMissingField(const std::string &field)
{
    m_errors.add(m_node, m_name + " lacks the field " + field);
    return "";
}

void YamlSection::error(const std::string &field, const std::string &message)
{
    const YAML::Node node = m_node[field];
    m_errors.add(node ? node : m_node, m_name + '.' + field + ": " + message);
}

std::string YamlSection::text(const std::string &field)
{
    const YAML::Node node = readField(field);
    if (!node)
        return addMissingField(field);
    if (!node.IsScalar() || node.Scalar().empty()) {
        error(field, "must be a non-empty text");
        return "";
    }
    return node.Scalar();
}

std::string YamlSection::text(const std::string &field, const std::string &fallback)
{
    return has(field) ? text(field) : (m_readFields.insert(field), fallback);
}

int64_t YamlSection::integer(const std::string &field, int64_t min, int64_t max, std::optional<int64_t> fallback)
{
    const YAML::Node node = readField(field);
    if (!node) {
        if (!fallback)
            addMissingField(field);
        return fallback.value_or(min);
    }
    int64_t value = 0;
    if (!node.IsScalar() || !YAML::convert<int64_t>::decode(node, value) || value < min || value > max) {
        error(field, "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }
    return value;
}

bool YamlSection::boolean(const std::string &field, bool fallback)
{
    const YAML::Node node = readField(field);
    bool value = fallback;
    if (node && (!node.IsScalar() || !YAML::convert<bool>::decode(node, value)))
        error(field, "must be true or false");
    return value;
}

Duration YamlSection::duration(const std::string &field, Duration min, Duration max, std::optional<Duration> fallback)
{
    const YAML::Node node = readField(field);
    if (!node) {
        if (!fallback)
            addMissingField(field);
        return fallback.value_or(min);
    }
    const std::optional<Duration> value = node.IsScalar() ? parseDuration(node.Scalar()) : std::nullopt;
    if (!value || *value < min || *value > max) {
        error(field,
              "must be a duration such as 340ms, 5s, 30m or 2h, from " + durationText(min) + " to "
                  + durationText(max));
        return min;
    }
    return *value;
}

double YamlSection::share(const std::string &field, double fallback)
{
    const YAML::Node node = readField(field);
    if (!node)
        return fallback;
    std::string unit;
    const std::optional<double> value = node.IsScalar() ? parseNumber(node.Scalar(), unit) : std::nullopt;
    if (!value || unit != "%" || *value > 100) {
        error(field, "must be a share such as 2% or 99.9%");
        return fallback;
    }
    return *value / 100;
}

double YamlSection::number(const std::string &field, double min, double max, double fallback)
{
    const YAML::Node node = readField(field);
    double value = fallback;
    // Written so that "nan" is refused as well.
    const bool isRead = !node || (node.IsScalar() && YAML::convert<double>::decode(node, value));
    if (isRead && value >= min && value <= max)
        return value;
    std::ostringstream text;
    text << "must be a number from " << min << " to " << max;
    error(field, text.str());
    return fallback;
}

double YamlSection::fraction(const std::string &field, double fallback)
{
    return number(field, 0, 1, fallback);
}

std::vector<std::string> YamlSection::texts(const std::string &field)
{
    std::vector<std::string> result;
    for (const YAML::Node &node : items(field)) {
        if (node.IsScalar() && !node.Scalar().empty())
            result.push_back(node.Scalar());
        else
            m_errors.add(node, m_name + '.' + field + ": each item must be a text");
    }
    return result;
}

std::vector<YAML::Node> YamlSection::items(const std::string &field)
{
    std::vector<YAML::Node> result;
    const YAML::Node node = readField(field);
    if (!node)
        return result;
    if (!node.IsSequence()) {
        error(field, "must be a list");
        return result;
    }
    for (const YAML::Node &item : node)
        result.push_back(item);
    return result;
}

YAML::Node YamlSection::child(const std::string &field)
{
    return readField(field);
}

void YamlSection::finish()
{
    std::set<std::string> fields;
    for (const auto &item : m_node) {
        const std::string field = item.first.IsScalar() ? item.first.Scalar() : "?";
        if (!fields.insert(field).second && m_errors.repeatedFields() == RepeatedFields::Errors)
            m_errors.add(item.first, m_name + '.' + field + ": must not be there twice");
        if (!m_readFields.contains(field))
            m_errors.add(item.first, m_name + " has no field " + field);
    }
}

} // namespace hickoryspur
