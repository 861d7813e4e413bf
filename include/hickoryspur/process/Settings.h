// Settings of one process in a deployment that lists all its hosts: the name and addresses of every
// node, which of them this process is, its token files and its data folder. They are read from YAML
// at start-up. docs/operators/settings.md describes each field.
#pragma once

#include "hickoryspur/process/Ids.h"
#include "hickoryspur/process/ResultCode.h"

#include <string>
#include <vector>

namespace hickoryspur {

struct HostAddress
{
    std::string address;
    uint16_t port = 0;

    std::string text() const { return address + ':' + std::to_string(port); }
};

/** Parses an IP address and a port, as in 10.0.0.1:8100 or ::1:8100. */
Result<HostAddress> parseHostAddress(const std::string &text);

struct NodeSettings
{
    NodeId name;
    DataCentreName dataCentre;
    /** Where callers, upstreams and operators connect (HTTP). */
    HostAddress callerAddress;
    /** Where the other nodes connect (nng). */
    HostAddress peerAddress;
    bool entry = true;
    bool control = false;
};

struct Settings
{
    /** The name of this process in `nodes`. */
    NodeId node;
    std::string dataFolder;
    /** Paths of the token files. */
    std::string callerTokens;
    std::string operatorTokens;
    unsigned trafficThreads = 2;
    std::vector<NodeSettings> nodes;

    /** The settings of this process's own node. */
    const NodeSettings &self() const;
    /** Returns null if no node has this name. */
    const NodeSettings *find(const NodeId &name) const;
    std::vector<NodeId> entryNodes() const;
    std::vector<NodeId> controlNodes() const;
};

/** Parses and checks the text of a settings file; each error starts with `source`. */
Result<Settings> parseSettings(const std::string &text, const std::string &source);
Result<Settings> loadSettings(const std::string &path);

/** Reads a whole file; the failure names the path and the system's reason. */
Result<std::string> readFile(const std::string &path);

} // namespace hickoryspur
