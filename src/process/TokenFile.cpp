#include "hickoryspur/process/TokenFile.h"

#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/Settings.h"
#include "process/YamlReader.h"

#include <sys/stat.h>

namespace hickoryspur {

namespace {

constexpr mode_t kGroupAndOthersMask = 077;
constexpr size_t kMinTokenLength = 16;

TokenHolder readHolder(const YAML::Node &node, YamlErrors &errors)
{
    YamlSection section(node, "tokens", errors);
    TokenHolder holder;
    holder.name = section.text("name");
    holder.token = section.text("token");
    for (const std::string &role : section.texts("roles")) {
        static const std::set<std::string> validRoles = {"read", "trial", "promote", "data-centre"};
        if (!validRoles.contains(role))
            section.error("roles", "the role " + role + " is not one of read, trial, promote and data-centre");
        holder.roles.insert(role);
    }
    if (holder.token.size() < kMinTokenLength)
        section.error("token", "must have at least 16 characters");
    section.finish();
    return holder;
}

} // namespace

Result<TokenFile> TokenFile::load(const std::string &path)
{
    struct stat status
    {
    };
    if (::stat(path.c_str(), &status) == 0 && (status.st_mode & kGroupAndOthersMask) != 0)
        return failure(ResultCode::TokenFileUnsafe,
                       path + ": its mode gives access to group or others; set it to 0600");
    const Result<std::string> text = readFile(path);
    if (!text)
        return tl::unexpected(text.error());
    YamlErrors errors(path);
    const YAML::Node root = parseYaml(*text, errors);
    TokenFile result;
    if (errors.empty()) {
        YamlSection section(root, "token file", errors);
        for (const YAML::Node &node : section.items("tokens"))
            result.m_holders.push_back(readHolder(node, errors));
        section.finish();
    }
    if (!errors.empty())
        return failure(ResultCode::SettingsInvalid, errors.text());
    return result;
}

std::optional<TokenHolder> TokenFile::find(const std::string &authorization) const
{
    static const std::string prefix = "Bearer ";
    if (authorization.rfind(prefix, 0) != 0)
        return std::nullopt;
    const std::string token = authorization.substr(prefix.size());
    const TokenHolder *found = nullptr;
    for (const TokenHolder &holder : m_holders)
        if (equalInConstantTime(holder.token, token))
            found = &holder;
    return found ? std::optional(*found) : std::nullopt;
}

} // namespace hickoryspur
