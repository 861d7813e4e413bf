// Bearer tokens of callers and operators, from a YAML file that only its owner may read. A caller's
// token stands for its name; an operator's token also carries roles.
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
    /** read, trial, promote, data-centre; empty for callers. */
    std::set<std::string> roles;

    bool has(const std::string &role) const { return roles.contains(role); }
};

class TokenFile
{
public:
    /** Fails where the file can be read by others, and names every faulty line. */
    static Result<TokenFile> load(const std::string &path);

    /** The holder of a token given as "Bearer TOKEN"; all tokens are compared, in constant time. */
    std::optional<TokenHolder> find(const std::string &authorization) const;

private:
    std::vector<TokenHolder> m_holders;
};

} // namespace hickoryspur
