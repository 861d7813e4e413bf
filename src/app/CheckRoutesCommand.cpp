#include "app/CheckRoutesCommand.h"

#include "hickoryspur/process/Settings.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace hickoryspur {

namespace {

size_t count(const std::vector<Finding> &findings, FindingSeverity severity)
{
    return static_cast<size_t>(std::count_if(
        findings.begin(), findings.end(), [severity](const Finding &finding) { return finding.severity == severity; }));
}

Finding errorOf(const std::string &message)
{
    Finding finding;
    finding.severity = FindingSeverity::Error;
    finding.message = message;
    return finding;
}

void append(std::vector<Finding> &findings, std::vector<Finding> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(findings));
}

} // namespace

Result<std::vector<Finding>> checkRoutes(const std::string &file, const std::string &against,
                                         const ReadRoutes &readRoutes)
{
    const Result<std::string> text = readFile(file);
    if (!text)
        return tl::unexpected(text.error());
    const Result<DecodedRoutes> routes = readRoutes(*text);
    if (!routes)
        return std::vector<Finding>{errorOf(routes.error().message)};
    std::vector<Finding> findings;
    for (const std::string &violation : routes->violations)
        findings.push_back(errorOf(violation));
    append(findings, reviewRouteTable(routes->table));
    if (against.empty())
        return findings;
    const Result<std::string> previousText = readFile(against);
    if (!previousText)
        return tl::unexpected(previousText.error());
    const Result<DecodedRoutes> previous = readRoutes(*previousText);
    if (!previous)
        return failure(previous.error().code, against + ": " + previous.error().message);
    append(findings, compareRouteTables(previous->table, routes->table));
    return findings;
}

std::string printFindings(const std::vector<Finding> &findings, bool asJson)
{
    if (asJson) {
        nlohmann::json list = nlohmann::json::array();
        for (const Finding &finding : findings)
            list.push_back({{"severity", severityName(finding.severity)},
                            {"place", describePlace(finding.place)},
                            {"message", finding.message}});
        return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    std::string lines;
    for (const Finding &finding : findings) {
        if (!lines.empty())
            lines += '\n';
        lines += describeFinding(finding);
    }
    return lines.empty() ? "no findings" : lines;
}

std::string countFindings(const std::vector<Finding> &findings)
{
    return std::to_string(count(findings, FindingSeverity::Error)) + " errors, "
        + std::to_string(count(findings, FindingSeverity::Warning)) + " warnings, "
        + std::to_string(count(findings, FindingSeverity::Difference)) + " differences";
}

ResultCode resultOfFindings(const std::vector<Finding> &findings)
{
    if (count(findings, FindingSeverity::Error) > 0)
        return ResultCode::DocumentInvalid;
    return count(findings, FindingSeverity::Warning) > 0 ? ResultCode::DocumentQuestionable : ResultCode::Ok;
}

} // namespace hickoryspur
