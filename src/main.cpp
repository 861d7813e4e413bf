// The hickoryspur binary. Its first argument is the subcommand.
#include "PlatformCodec.h"
#include "app/EntryProcess.h"
#include "app/HostProcess.h"
#include "app/OperatorCommands.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>

#include <iostream>

namespace {

namespace options = boost::program_options;

/** Parses the --settings option of `serve` and `host`; returns an exit code if the process must not run. */
std::optional<int> readSettingsPath(const std::vector<std::string> &arguments, const std::string &title,
                                    std::string &path)
{
    options::options_description description(title);
    description.add_options()("help", "show this help")("settings", options::value<std::string>()->required(),
                                                        "settings file");
    options::variables_map values;
    try {
        options::store(options::command_line_parser(arguments).options(description).run(), values);
        if (values.count("help") > 0) {
            std::cout << description << '\n';
            return 0;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << "hickoryspur: " << error.what() << '\n';
        return hickoryspur::exitCode(hickoryspur::ResultCode::UsageError);
    }
    path = values["settings"].as<std::string>();
    return std::nullopt;
}

int runHost(const std::vector<std::string> &arguments)
{
    std::string path;
    if (const auto code = readSettingsPath(
            arguments, "hickoryspur host: run one host of a deployment that is discovered through seeds", path))
        return *code;
    return hickoryspur::runHost(path, hickoryspur::platform::makePlatformCodec());
}

int runServe(const std::vector<std::string> &arguments)
{
    std::string path;
    if (const auto code = readSettingsPath(arguments, "hickoryspur serve: run an entry or control host", path))
        return *code;
    const auto settings = hickoryspur::loadSettings(path);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return hickoryspur::exitCode(settings.error().code);
    }
    return hickoryspur::serve(*settings);
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help") {
        std::cout << "hickoryspur COMMAND [--help]\n\n  serve         run an entry or control host\n"
                  << "  host          run one host of a deployment that is discovered through seeds\n"
                  << hickoryspur::operatorCommandList();
        return arguments.empty() ? hickoryspur::exitCode(hickoryspur::ResultCode::UsageError) : 0;
    }
    const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    if (arguments.front() == "serve")
        return runServe(rest);
    if (arguments.front() == "host")
        return runHost(rest);
    return hickoryspur::runOperatorCommand(arguments.front(), rest,
                                           hickoryspur::platform::makePlatformCodec().readRoutes);
}
