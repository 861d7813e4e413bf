#include "hickoryspur/version/Document.h"

#include "process/YamlReader.h"

#include <algorithm>
#include <set>

namespace hickoryspur {

namespace {

constexpr Duration kMinDeadline = 1ms;
constexpr Duration kMaxDeadline = 10s;
constexpr Duration kMinMoveDuration = 10s;
constexpr Duration kMaxMoveDuration = 7 * 24h;
constexpr int64_t kMaxSnapshotsBehind = 1000;
constexpr int64_t kMaxWeight = 1000;

WantedVersion readVersion(const YAML::Node &node, YamlErrors &errors)
{
    YamlSection section(node, "version", errors);
    WantedVersion result;
    result.name = VersionName(section.text("wanted"));
    result.within = section.duration("within", kMinMoveDuration, kMaxMoveDuration, result.within);
    result.firstShare = section.share("first-share", result.firstShare);
    result.compatible = section.boolean("compatible", false);
    if (result.firstShare <= 0)
        section.error("first-share", "must be more than 0%");
    section.finish();
    return result;
}

Objectives readObjectives(const YAML::Node &node, YamlErrors &errors)
{
    YamlSection section(node, "objectives", errors);
    Objectives result;
    result.inTime = section.share("in-time", result.inTime);
    result.fullCoverage = section.share("full-coverage", result.fullCoverage);
    if (result.inTime >= 1 || result.fullCoverage >= 1)
        errors.add(node, "an objective of 100% leaves no error budget; it must be below 100%");
    section.finish();
    return result;
}

ServiceConfig readService(const YAML::Node &node, YamlErrors &errors)
{
    YamlSection section(node, "services", errors);
    ServiceConfig result;
    result.name = ServiceName(section.text("name"));
    for (const std::string &caller : section.texts("callers"))
        result.callers.emplace_back(caller);
    result.deadline = section.duration("deadline", kMinDeadline, kMaxDeadline, result.deadline);
    result.snapshotsBehind = static_cast<uint64_t>(section.integer("snapshots-behind", 0, kMaxSnapshotsBehind, 2));
    result.minCoverage = section.share("least-coverage", 0);
    if (section.has("version"))
        result.version = readVersion(section.child("version"), errors);
    if (section.has("objectives"))
        result.objectives = readObjectives(section.child("objectives"), errors);
    section.finish();
    return result;
}

CallerConfig readCaller(const YAML::Node &node, YamlErrors &errors)
{
    YamlSection section(node, "callers", errors);
    CallerConfig result;
    result.name = CallerName(section.text("name"));
    result.weight = static_cast<uint32_t>(section.integer("weight", 1, kMaxWeight, 1));
    section.finish();
    return result;
}

void readServices(YamlSection &section, Document &document, YamlErrors &errors)
{
    for (const YAML::Node &node : section.items("services")) {
        const ServiceConfig service = readService(node, errors);
        if (!document.services.emplace(service.name, service).second)
            errors.add(node, "the service " + service.name.value() + " is listed twice");
        for (const CallerName &caller : service.callers)
            if (!document.callers.contains(caller))
                errors.add(node,
                           "the service " + service.name.value() + " names the caller " + caller.value()
                               + ", which is not in the list of callers");
    }
}

Result<Document> readDocument(const std::string &text, YamlErrors &errors)
{
    const YAML::Node root = parseYaml(text, errors);
    if (!errors.empty())
        return failure(ResultCode::DocumentInvalid, errors.text(), true);
    YamlSection section(root, "document", errors);
    Document document;
    for (const std::string &name : section.texts("data-centres"))
        document.dataCentres.emplace_back(name);
    for (const YAML::Node &node : section.items("callers")) {
        const CallerConfig caller = readCaller(node, errors);
        if (!document.callers.emplace(caller.name, caller).second)
            errors.add(node, "the caller " + caller.name.value() + " is listed twice");
    }
    readServices(section, document, errors);
    section.finish();
    if (!errors.empty())
        return failure(ResultCode::DocumentInvalid, errors.text(), true);
    return document;
}

} // namespace

const ServiceConfig *Document::find(const ServiceName &service) const
{
    const auto found = services.find(service);
    return found == services.end() ? nullptr : &found->second;
}

bool Document::allows(const ServiceName &service, const CallerName &caller) const
{
    const ServiceConfig *config = find(service);
    return config && std::find(config->callers.begin(), config->callers.end(), caller) != config->callers.end();
}

Result<Document> parseDocument(const std::string &text, const std::string &source)
{
    YamlErrors errors(source, RepeatedFields::Errors);
    return readDocument(text, errors);
}

Result<Document> parseAcceptedDocument(const std::string &text, const std::string &source)
{
    YamlErrors errors(source, RepeatedFields::Ignored);
    return readDocument(text, errors);
}

} // namespace hickoryspur
