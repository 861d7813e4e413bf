#include "hickoryspur/process/Settings.h"

#include "process/Numbers.h"
#include "process/YamlReader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

namespace hickoryspur {

namespace {

constexpr int64_t kMaxTrafficThreads = 256;

bool isIpAddress(const std::string &text)
{
    in6_addr buffer{};
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 || inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

HostAddress readAddress(YamlSection &section, const std::string &field)
{
    const Result<HostAddress> address = parseHostAddress(section.text(field));
    if (!address)
        section.error(field, address.error().message);
    return address.value_or(HostAddress());
}

NodeSettings readNode(const YAML::Node &node, YamlErrors &errors)
{
    YamlSection section(node, "nodes", errors);
    NodeSettings result;
    result.name = NodeId(section.text("name"));
    result.dataCentre = DataCentreName(section.text("data-centre"));
    result.callerAddress = readAddress(section, "caller-address");
    result.peerAddress = readAddress(section, "peer-address");
    result.entry = section.boolean("entry", true);
    result.control = section.boolean("control", false);
    if (!result.entry && !result.control)
        section.error("name", "a node must be an entry, a control host or both");
    section.finish();
    return result;
}

void checkNodes(const Settings &settings, const YAML::Node &root, YamlErrors &errors)
{
    std::set<std::string> seen;
    size_t controlHosts = 0;
    for (const NodeSettings &node : settings.nodes) {
        if (!seen.insert(node.name.value()).second)
            errors.add(root["nodes"], "the node " + node.name.value() + " is listed twice");
        for (const HostAddress &address : {node.callerAddress, node.peerAddress})
            if (!seen.insert(address.text()).second)
                errors.add(root["nodes"], "the address " + address.text() + " is used twice");
        controlHosts += node.control ? 1 : 0;
    }
    if (controlHosts % 2 == 0)
        errors.add(root["nodes"], "the number of control hosts must be odd, and is " + std::to_string(controlHosts));
    if (settings.find(settings.node) == nullptr)
        errors.add(root["node"], "the node " + settings.node.value() + " is not in the list of nodes");
    else if (settings.self().control && settings.dataFolder.empty())
        errors.add(root["node"], "a control host needs the field data-folder");
}

} // namespace

Result<HostAddress> parseHostAddress(const std::string &text)
{
    const size_t colon = text.rfind(':');
    HostAddress result;
    if (colon != std::string::npos) {
        result.address = text.substr(0, colon);
        result.port = parseWhole<uint16_t>(std::string_view(text).substr(colon + 1)).value_or(0);
        if (result.port > 0 && isIpAddress(result.address))
            return result;
    }
    return failure(ResultCode::UsageError, "must be an IP address and a port, as in 10.0.0.1:8100");
}

const NodeSettings *Settings::find(const NodeId &name) const
{
    const auto found =
        std::find_if(nodes.begin(), nodes.end(), [&](const NodeSettings &other) { return other.name == name; });
    return found == nodes.end() ? nullptr : &*found;
}

const NodeSettings &Settings::self() const
{
    return *find(node);
}

std::vector<NodeId> Settings::entryNodes() const
{
    std::vector<NodeId> result;
    for (const NodeSettings &other : nodes)
        if (other.entry)
            result.push_back(other.name);
    return result;
}

std::vector<NodeId> Settings::controlNodes() const
{
    std::vector<NodeId> result;
    for (const NodeSettings &other : nodes)
        if (other.control)
            result.push_back(other.name);
    return result;
}

Result<Settings> parseSettings(const std::string &text, const std::string &source)
{
    YamlErrors errors(source);
    const YAML::Node root = parseYaml(text, errors);
    if (!errors.empty())
        return failure(ResultCode::SettingsInvalid, errors.text());
    YamlSection section(root, "settings", errors);
    Settings settings;
    settings.node = NodeId(section.text("node"));
    settings.dataFolder = section.text("data-folder", "");
    settings.callerTokens = section.text("caller-tokens");
    settings.operatorTokens = section.text("operator-tokens");
    settings.trafficThreads = static_cast<unsigned>(section.integer("traffic-threads", 1, kMaxTrafficThreads, 2));
    for (const YAML::Node &node : section.items("nodes"))
        settings.nodes.push_back(readNode(node, errors));
    section.finish();
    checkNodes(settings, root, errors);
    if (!errors.empty())
        return failure(ResultCode::SettingsInvalid, errors.text());
    return settings;
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        return failure(ResultCode::SettingsInvalid, path + ": " + std::strerror(errno));
    return text.str();
}

Result<Settings> loadSettings(const std::string &path)
{
    return readFile(path).and_then([&](const std::string &text) { return parseSettings(text, path); });
}

} // namespace hickoryspur
