#include "app/OperatorCommands.h"

#include "app/EntryProcess.h"
#include "app/ReplayCommand.h"
#include "hickoryspur/process/LogStorage.h"
#include "hickoryspur/process/TokenFile.h"
#include "hickoryspur/version/Document.h"
#include "request/HttpCallerClient.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <random>
#include <thread>

namespace hickoryspur {

namespace {

namespace options = boost::program_options;

constexpr std::chrono::milliseconds kExchangeTimeout{20000};

struct OperatorCommand
{
    const char *name;
    const char *summary;
    void (*addOptions)(options::options_description &);
    std::function<Result<std::string>(const options::variables_map &)> run;
};

std::string text(const options::variables_map &values, const char *name)
{
    return values.count(name) > 0 ? values[name].as<std::string>() : "";
}

std::string urlEncoded(const std::string &plain)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : plain) {
        if (std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '.' || c == '_') {
            result.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        result += {'%', digits[byte >> 4U], digits[byte & 15U]};
    }
    return result;
}

std::string generateRequestId()
{
    std::random_device source;
    return "cli-" + std::to_string(source()) + '-' + std::to_string(source());
}

void addRemoteOptions(options::options_description &description)
{
    description.add_options()("to", options::value<std::string>()->required(), "address of any entry, IP:PORT")(
        "token-file", options::value<std::string>()->required(),
        "file that holds the operator's token on one line")("json", "print the answer as JSON");
}

/** Sends one request to the entry; an answer with a nonzero code is returned as a failure with that code. */
Result<nlohmann::json> exchange(const options::variables_map &values, const std::string &method,
                                const std::string &path, const std::string &body)
{
    const Result<HostAddress> address = parseHostAddress(text(values, "to"));
    if (!address)
        return failure(address.error().code, "--to " + address.error().message);
    const Result<std::string> token = readFile(text(values, "token-file"));
    if (!token)
        return tl::unexpected(token.error());
    CallerRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers["Authorization"] = "Bearer " + token->substr(0, token->find_first_of("\r\n"));
    const Result<CallerResponse> response = httpExchange(*address, request, kExchangeTimeout);
    if (!response)
        return tl::unexpected(response.error());
    const nlohmann::json answer = nlohmann::json::parse(response->body, nullptr, false);
    if (answer.is_discarded())
        return failure(ResultCode::ConnectionFailed, "the entry's answer is not JSON");
    const int code = answer.is_object() ? answer.value("code", 0) : 0;
    if (code != 0)
        return failure(static_cast<ResultCode>(code), answer.value("message", ""));
    return answer;
}

std::string outcomeText(const options::variables_map &values, const nlohmann::json &answer)
{
    if (values.count("json") > 0)
        return answer.dump();
    std::string line = answer.value("message", "") + ", number " + std::to_string(answer.value("number", 0ULL));
    if (const std::string digest = answer.value("digest", ""); !digest.empty())
        line += ", digest " + digest;
    if (answer.value("in_force", false))
        line += ", in force everywhere";
    if (answer.contains("warning"))
        line += "\nwarning: " + answer["warning"].get<std::string>();
    return line;
}

void addChangeOptions(options::options_description &description)
{
    addRemoteOptions(description);
    description.add_options()("request-id", options::value<std::string>(),
                              "id of this request; reuse it to resend after a lost answer")(
        "wait", "wait until the change is in force on every entry");
}

std::string changeParameters(const options::variables_map &values)
{
    const std::string given = text(values, "request-id");
    return "request-id=" + urlEncoded(given.empty() ? generateRequestId() : given)
        + (values.count("wait") > 0 ? "&wait=in-force" : "");
}

/** Query parameters for the predecessor: --after NUMBER:DIGEST, or --after none for the first document. */
Result<std::string> predecessorParameters(const options::variables_map &values)
{
    const std::string after = text(values, "after");
    if (after == "none")
        return std::string("expected-number=0&expected-digest=");
    const size_t colon = after.find(':');
    if (colon == std::string::npos)
        return failure(ResultCode::UsageError,
                       "--after must be NUMBER:DIGEST of the document this one replaces, or none");
    return "expected-number=" + after.substr(0, colon) + "&expected-digest=" + after.substr(colon + 1);
}

void addCheckOptions(options::options_description &description)
{
    description.add_options()("file", options::value<std::string>()->required(), "settings file or document")(
        "kind", options::value<std::string>()->default_value("settings"), "settings, document or tokens");
}

Result<std::string> runCheck(const options::variables_map &values)
{
    const std::string path = text(values, "file");
    const std::string kind = text(values, "kind");
    if (kind == "settings")
        return loadSettings(path).map([&](const Settings &) { return path + ": the settings are in order"; });
    if (kind == "tokens")
        return TokenFile::load(path).map([&](const TokenFile &) { return path + ": the token file is in order"; });
    if (kind != "document")
        return failure(ResultCode::UsageError, "--kind must be settings, document or tokens");
    return readFile(path)
        .and_then([&](const std::string &content) { return parseDocument(content, path); })
        .map([&](const Document &) { return path + ": the document is in order"; });
}

void addFormatOptions(options::options_description &description)
{
    description.add_options()("settings", options::value<std::string>()->required(), "settings file of a control host");
}

Result<std::string> runFormat(const options::variables_map &values)
{
    return loadSettings(text(values, "settings")).and_then([](const Settings &settings) -> Result<std::string> {
        if (!settings.self().control)
            return failure(ResultCode::SettingsInvalid, settings.node.value() + " is not a control host");
        return FileLogStorage::format(settings.dataFolder, settings.node, settings.controlNodes()).map([&] {
            return settings.dataFolder + ": ready";
        });
    });
}

void addSubmitOptions(options::options_description &description)
{
    addChangeOptions(description);
    description.add_options()("file", options::value<std::string>()->required(), "the document, in YAML")(
        "after", options::value<std::string>()->required(), "NUMBER:DIGEST of the trial document it replaces, or none");
}

Result<std::string> runSubmit(const options::variables_map &values)
{
    const Result<std::string> document = readFile(text(values, "file"));
    const Result<std::string> after = predecessorParameters(values);
    if (!document || !after)
        return tl::unexpected(document ? after.error() : document.error());
    return exchange(values, "POST", "/v1/admin/document?environment=trial&" + *after + '&' + changeParameters(values),
                    *document)
        .map([&](const nlohmann::json &answer) { return outcomeText(values, answer); });
}

void addPromoteOptions(options::options_description &description)
{
    addChangeOptions(description);
    description.add_options()("digest", options::value<std::string>()->required(), "digest of the tried document")(
        "after", options::value<std::string>()->required(),
        "NUMBER:DIGEST of the production document it replaces, or none");
}

Result<std::string> runPromote(const options::variables_map &values)
{
    const Result<std::string> after = predecessorParameters(values);
    if (!after)
        return tl::unexpected(after.error());
    return exchange(values, "POST",
                    "/v1/admin/promote?digest=" + urlEncoded(text(values, "digest")) + '&' + *after + '&'
                        + changeParameters(values),
                    "")
        .map([&](const nlohmann::json &answer) { return outcomeText(values, answer); });
}

Result<std::string> runStatus(const options::variables_map &values)
{
    return exchange(values, "GET", "/v1/admin/status", "").map([&](const nlohmann::json &answer) {
        return answer.dump(values.count("json") > 0 ? -1 : 2);
    });
}

void addHistoryOptions(options::options_description &description)
{
    addRemoteOptions(description);
    description.add_options()("environment", options::value<std::string>()->default_value("production"),
                              "trial or production")("text", "include the documents' texts");
}

Result<std::string> runHistory(const options::variables_map &values)
{
    return exchange(values, "GET",
                    "/v1/admin/history?environment=" + urlEncoded(text(values, "environment"))
                        + (values.count("text") > 0 ? "&text=true" : ""),
                    "")
        .map([&](const nlohmann::json &answer) {
            if (values.count("json") > 0)
                return answer.dump();
            std::string lines;
            for (const nlohmann::json &version : answer) {
                lines += version.at("number").dump() + ':' + version.at("digest").get<std::string>() + ' '
                    + version.at("operator").get<std::string>() + '\n';
                if (version.contains("text"))
                    lines += version.at("text").get<std::string>() + '\n';
            }
            return lines;
        });
}

Result<std::string> runAudit(const options::variables_map &values)
{
    return exchange(values, "GET", "/v1/admin/audit", "").map([&](const nlohmann::json &answer) {
        return answer.dump(values.count("json") > 0 ? -1 : 2);
    });
}

void addDataCentreOptions(options::options_description &description)
{
    addChangeOptions(description);
    description.add_options()("direction", options::value<std::string>()->required(),
                              "out or back")("name", options::value<std::string>()->required(), "the data centre");
}

Result<std::string> runDataCentre(const options::variables_map &values)
{
    const std::string direction = text(values, "direction");
    if (direction != "out" && direction != "back")
        return failure(ResultCode::UsageError,
                       "the direction must be out or back: `data-centre out NAME` or `data-centre back NAME`");
    return exchange(values, "POST",
                    "/v1/admin/data-centre?name=" + urlEncoded(text(values, "name"))
                        + "&out=" + (direction == "out" ? "true" : "false") + '&' + changeParameters(values),
                    "")
        .map([&](const nlohmann::json &answer) { return outcomeText(values, answer); });
}

void addMovesOptions(options::options_description &description)
{
    addRemoteOptions(description);
    description.add_options()("service", options::value<std::string>()->default_value(""), "only this service")(
        "watch", "wait until the service's move is done, taken back, late or has too little traffic")(
        "patience", options::value<int64_t>()->default_value(3600), "maximum number of seconds to watch");
}

std::string moveLine(const nlohmann::json &move)
{
    const double percent = 100 * move.value("share", 0.0);
    std::string line = move.value("service", "") + ": " + move.value("state", "") + ' ' + move.value("from", "")
        + " -> " + move.value("to", "") + ", share " + std::to_string(percent).substr(0, 5) + "%, "
        + std::to_string(move.value("seconds_left", 0LL)) + " s left";
    if (move.value("late", false))
        line += ", late";
    if (move.value("too_little_traffic", false))
        line += ", too little traffic to evaluate the version";
    if (const std::string reason = move.value("reason", ""); !reason.empty())
        line += ": " + reason;
    return line;
}

/** The result of a move that has ended or is late; nullopt while it is in progress. */
std::optional<Result<std::string>> moveResult(const nlohmann::json &move)
{
    const std::string state = move.value("state", "");
    const std::string line = moveLine(move);
    if (move.value("pending", false))
        return std::nullopt;
    if (state == "done" || state == "settled")
        return Result<std::string>(line);
    if (state == "taken back")
        return Result<std::string>(failure(ResultCode::MoveTakenBack, line));
    if (move.value("seconds_left", 0LL) > 0)
        return std::nullopt;
    const bool tooLittleTraffic = move.value("too_little_traffic", false);
    return Result<std::string>(
        failure(tooLittleTraffic ? ResultCode::MoveTooLittleTraffic : ResultCode::MoveLate, line));
}

Result<std::string> runMoves(const options::variables_map &values)
{
    const std::string service = text(values, "service");
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(values["patience"].as<int64_t>());
    while (true) {
        const Result<nlohmann::json> moves =
            exchange(values, "GET", "/v1/admin/moves?service=" + urlEncoded(service), "");
        if (!moves)
            return tl::unexpected(moves.error());
        if (values.count("watch") == 0) {
            if (values.count("json") > 0)
                return moves->dump();
            std::string lines;
            for (const nlohmann::json &move : *moves)
                lines += moveLine(move) + '\n';
            return lines;
        }
        if (service.empty() || moves->empty())
            return failure(ResultCode::UnknownService, "--watch requires --service with a service that has a version");
        if (const auto end = moveResult(moves->front()))
            return *end;
        std::cout << moveLine(moves->front()) << std::endl;
        if (std::chrono::steady_clock::now() > deadline)
            return failure(ResultCode::MoveLate, "still " + moveLine(moves->front()));
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
}

void addReviveOptions(options::options_description &description)
{
    addChangeOptions(description);
    description.add_options()("service", options::value<std::string>()->required(), "the service")(
        "version", options::value<std::string>()->required(), "the version that was found bad");
}

Result<std::string> runRevive(const options::variables_map &values)
{
    return exchange(values, "POST",
                    "/v1/admin/revive?service=" + urlEncoded(text(values, "service"))
                        + "&version=" + urlEncoded(text(values, "version")) + '&' + changeParameters(values),
                    "")
        .map([&](const nlohmann::json &answer) { return outcomeText(values, answer); });
}

Result<std::string> runReport(const options::variables_map &values)
{
    const Result<nlohmann::json> lines = exchange(values, "GET", "/v1/report?format=json", "");
    if (!lines)
        return tl::unexpected(lines.error());
    if (values.count("json") > 0)
        return lines->dump();
    std::string result = "service / caller / objective: burn over 5min 1h 6h 3d; late partial refused\n";
    for (const nlohmann::json &line : *lines) {
        result +=
            line.value("service", "") + " / " + line.value("caller", "") + " / " + line.value("objective", "") + ':';
        for (const char *window : {"5min", "1h", "6h", "3d"})
            result += ' ' + std::to_string(line.at("burn").value(window, 0.0)).substr(0, 6);
        result += "; " + line.at("late").dump() + ' ' + line.at("partial").dump() + ' ' + line.at("refused").dump();
        if (const std::string alert = line.value("alert", ""); !alert.empty())
            result += "  ALERT: " + alert;
        result += '\n';
    }
    return result;
}

void addReplayOptions(options::options_description &description)
{
    description.add_options()("file", options::value<std::string>()->required(), "recorded trace")(
        "expect", options::value<std::string>()->required(), "YAML file with the expected outcome");
}

Result<std::string> runReplay(const options::variables_map &values)
{
    const Result<std::string> trace = readFile(text(values, "file"));
    const Result<std::string> expected = readFile(text(values, "expect"));
    if (!trace || !expected)
        return tl::unexpected(trace ? expected.error() : trace.error());
    return replayMove(*trace, *expected, text(values, "expect")).map([&](const std::string &summary) {
        return text(values, "file") + ": " + summary;
    });
}

void addCheckRoutesOptions(options::options_description &description)
{
    description.add_options()("file", options::value<std::string>()->required(), "configuration of routes")(
        "against", options::value<std::string>(),
        "configuration that it is to replace; differences are listed")("json", "print the findings as JSON");
}

Result<std::string> runCheckRoutes(const options::variables_map &values, const ReadRoutes &readRoutes)
{
    return checkRoutes(text(values, "file"), text(values, "against"), readRoutes)
        .and_then([&](const std::vector<Finding> &findings) -> Result<std::string> {
            const std::string printed = printFindings(findings, values.count("json") > 0);
            const ResultCode code = resultOfFindings(findings);
            if (code == ResultCode::Ok)
                return printed;
            // Scripts read the findings from the standard output, whatever the result.
            std::cout << printed << '\n';
            return failure(code, text(values, "file") + ": " + countFindings(findings));
        });
}

std::vector<OperatorCommand> commands(const ReadRoutes &readRoutes)
{
    return {
        {"check", "check a settings file, document or token file", addCheckOptions, runCheck},
        {"check-routes", "check a configuration of routes before it is sent", addCheckRoutesOptions,
         [readRoutes](const options::variables_map &values) { return runCheckRoutes(values, readRoutes); }},
        {"format", "initialise the data folder of one of the first control hosts", addFormatOptions, runFormat},
        {"submit", "submit a document to trial", addSubmitOptions, runSubmit},
        {"promote", "promote a document from trial to production", addPromoteOptions, runPromote},
        {"status", "show the state of an entry", addRemoteOptions, runStatus},
        {"history", "list an environment's documents", addHistoryOptions, runHistory},
        {"audit", "list the operators' actions", addRemoteOptions, runAudit},
        {"moves", "show how traffic moves to new versions, or wait until a move ends", addMovesOptions, runMoves},
        {"revive", "allow a new move to a version that was found bad", addReviveOptions, runRevive},
        {"report", "show how fast the services use up their error budgets", addRemoteOptions, runReport},
        {"replay", "replay a recorded move and compare it with an expected outcome", addReplayOptions, runReplay},
        {"data-centre", "take a data centre out or back in", addDataCentreOptions, runDataCentre},
    };
}

options::positional_options_description positionsFor(const std::string &name)
{
    options::positional_options_description positions;
    if (name == "data-centre")
        positions.add("direction", 1).add("name", 1);
    else
        positions.add("file", 1);
    return positions;
}

int printFailure(const Failure &failure)
{
    std::cerr << "hickoryspur: " << failure.message << " (" << static_cast<int>(failure.code) << ' '
              << resultCodeName(failure.code) << ")\n";
    return exitCode(failure.code);
}

int run(const OperatorCommand &command, const std::vector<std::string> &arguments)
{
    options::options_description description(std::string("hickoryspur ") + command.name + ": " + command.summary);
    description.add_options()("help", "show this help");
    command.addOptions(description);
    options::variables_map values;
    try {
        options::store(
            options::command_line_parser(arguments).options(description).positional(positionsFor(command.name)).run(),
            values);
        if (values.count("help") > 0) {
            std::cout << description << '\n';
            return 0;
        }
        options::notify(values);
    } catch (const options::error &error) {
        return printFailure({ResultCode::UsageError, error.what(), true});
    }
    const Result<std::string> result = command.run(values);
    if (!result)
        return printFailure(result.error());
    std::cout << *result << '\n';
    return 0;
}

} // namespace

std::string operatorCommandList()
{
    std::string list;
    for (const OperatorCommand &command : commands({}))
        list += std::string("  ") + command.name + std::string(14 - std::string(command.name).size(), ' ')
            + command.summary + '\n';
    return list;
}

int runOperatorCommand(const std::string &name, const std::vector<std::string> &arguments, const ReadRoutes &readRoutes)
{
    for (const OperatorCommand &command : commands(readRoutes))
        if (name == command.name)
            return run(command, arguments);
    return printFailure({ResultCode::UsageError, "there is no command " + name + "; see hickoryspur --help", true});
}

} // namespace hickoryspur
