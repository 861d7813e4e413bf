// hickoryspur: one binary whose first argument is the subcommand.
#include "app/EntryProcess.h"
#include "app/OperatorCommands.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>

#include <iostream>

namespace {

namespace options = boost::program_options;

int runServe(const std::vector<std::string> &arguments)
{
    options::options_description description("hickoryspur serve: run an entry or control host");
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
    const auto settings = hickoryspur::loadSettings(values["settings"].as<std::string>());
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
                  << hickoryspur::operatorCommandList();
        return arguments.empty() ? hickoryspur::exitCode(hickoryspur::ResultCode::UsageError) : 0;
    }
    const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    if (arguments.front() == "serve")
        return runServe(rest);
    return hickoryspur::runOperatorCommand(arguments.front(), rest);
}
