// The settings of one process, read from YAML at its start: who it is, where it listens, which
// other hosts there are and where its data folder is. docs/operators/settings.md lists each field.
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

/** Reads an IP number and a port, as in 10.0.0.1:8100 or ::1:8100. */
Result<HostAddress> parseHostAddress(const std::string &text);

struct NodeSettings
{
    NodeId name;
    DataCentreName dataCentre;
    /** Where callers, upstreams and operators connect, by HTTP. */
    HostAddress callerAddress;
    /** Where the other nodes connect, by nng. */
    HostAddress peerAddress;
    bool entry = true;
    bool control = false;
};

struct Settings
{
    NodeId node;
    std::string dataFolder;
    std::string callerTokens;
    std::string operatorTokens;
    unsigned trafficThreads = 2;
    std::vector<NodeSettings> nodes;

    const NodeSettings &self() const;
    const NodeSettings *find(const NodeId &name) const;
    std::vector<NodeId> entryNodes() const;
    std::vector<NodeId> controlNodes() const;
};

/** Checks the text of a settings file; source is the name that errors begin with. */
Result<Settings> parseSettings(const std::string &text, const std::string &source);
Result<Settings> loadSettings(const std::string &path);

/** Reads a whole file; the failure says why it could not. */
Result<std::string> readFile(const std::string &path);

} // namespace hickoryspur
