// Reads a YAML document field by field and collects every error with its line, so that an operator
// sees all of them at once. YamlSection records which fields were read; finish() reports all others as
// unknown.
//
//     YamlErrors errors("settings.yaml");
//     YamlSection section(root, "settings", errors);
//     settings.node = NodeId(section.text("node"));
//     section.finish();
#pragma once

#include "hickoryspur/process/Time.h"

#include <yaml-cpp/yaml.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickoryspur {

/** What it is that a map has a field twice. If it is ignored, the first one counts. */
enum class RepeatedFields { Ignored, Errors };

/** Collects the errors of one document; `source` names the document in them. */
class YamlErrors
{
public:
    explicit YamlErrors(std::string source, RepeatedFields repeatedFields = RepeatedFields::Ignored)
        : m_source(std::move(source))
        , m_repeatedFields(repeatedFields)
    {
    }

    void add(const YAML::Node &node, const std::string &message);
    bool empty() const { return m_messages.empty(); }
    RepeatedFields repeatedFields() const { return m_repeatedFields; }
    /** One error a line, each as "source:line: message". */
    std::string text() const;

private:
    std::string m_source;
    RepeatedFields m_repeatedFields;
    std::vector<std::string> m_messages;
};

/** Parses a whole document. On a syntax error, adds an error that names the line and returns a null node. */
YAML::Node parseYaml(const std::string &text, YamlErrors &errors);

/**
 * Reads the fields of one map. The reading functions return the fallback for an absent field; without a fallback, an
 * absent field is an error. An invalid value is an error too. After an error the returned value is only a placeholder.
 */
class YamlSection
{
public:
    YamlSection(const YAML::Node &node, std::string name, YamlErrors &errors);

    bool has(const std::string &field) const;
    std::string text(const std::string &field);
    std::string text(const std::string &field, const std::string &fallback);
    int64_t integer(const std::string &field, int64_t min, int64_t max, std::optional<int64_t> fallback = {});
    bool boolean(const std::string &field, bool fallback);
    /** A duration such as 340ms, 5s, 30m or 2h. */
    Duration duration(const std::string &field, Duration min, Duration max, std::optional<Duration> fallback = {});
    /** A share such as 2% or 99.9%, as a fraction. */
    double share(const std::string &field, double fallback);
    /** A number such as 0.2 or 54, from min to max. */
    double number(const std::string &field, double min, double max, double fallback);
    /** A number such as 0.2, from 0 to 1. */
    double fraction(const std::string &field, double fallback);
    std::vector<std::string> texts(const std::string &field);
    /** The items of a list; empty if the field is absent. */
    std::vector<YAML::Node> items(const std::string &field);
    /** The node of a field, for a nested section; undefined if the field is absent. */
    YAML::Node child(const std::string &field);
    /** Adds an error about a field, with its line. */
    void error(const std::string &field, const std::string &message);
    /** Adds an error for each field that was not read, and for each that is there twice, unless that is ignored. */
    void finish();

private:
    YAML::Node readField(const std::string &field);
    std::string addMissingField(const std::string &field);

    YAML::Node m_node;
    std::string m_name;
    YamlErrors &m_errors;
    std::set<std::string> m_readFields;
};

} // namespace hickoryspur
