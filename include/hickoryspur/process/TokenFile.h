// Bearer tokens of callers and operators, read from a YAML file that only its owner may access. A token
// identifies its holder by name; an operator's token also grants roles.
#pragma once

#include "hickoryspur/process/ResultCode.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hickoryspur {

struct TokenHolder
{
    std::string name;
    std::string token;
    /** Any of read, trial, promote and data-centre; empty for callers. */
    std::set<std::string> roles;

    bool has(const std::string &role) const { return roles.contains(role); }
};

class TokenFile
{
public:
    /** Fails if group or others have any access to the file, and reports all errors in its content at once. */
    static Result<TokenFile> load(const std::string &path);

    /**
     * Finds the holder by the value of an Authorization field, "Bearer TOKEN". Compares all tokens, each in constant
     * time, so that the time taken does not reveal how much of a token matched.
     */
    std::optional<TokenHolder> find(const std::string &authorization) const;

private:
    std::vector<TokenHolder> m_holders;
};

} // namespace hickoryspur
