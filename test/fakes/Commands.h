// Builds the commands of operators and entries for tests of control state.
#pragma once

#include "fakes/ControlGroup.h"
#include "hickoryspur/process/Digest.h"

namespace hickoryspur {

inline Command submitTrial(const std::string &text, const std::string &requestId, uint64_t expectedNumber = 0,
                           const std::string &expectedDigest = "")
{
    Command command;
    command.type = static_cast<uint8_t>(CommandType::SubmitDocument);
    command.environment = static_cast<uint8_t>(Environment::Trial);
    command.text = text;
    command.digest = sha256Hex(text);
    command.requestId = requestId;
    command.operatorName = "anu";
    command.expectedNumber = expectedNumber;
    command.expectedDigest = expectedDigest;
    return command;
}

inline Command claimKey(const std::string &key, const std::string &digest, const std::string &entry, uint64_t commandId,
                        int64_t expires = 1LL << 40)
{
    Command command;
    command.type = static_cast<uint8_t>(CommandType::Claim);
    command.subject = "production/notices";
    command.key = key;
    command.digest = digest;
    command.operatorName = entry;
    command.number = 7;
    command.count = commandId;
    command.expiresAtSeconds = expires;
    return command;
}

} // namespace hickoryspur
