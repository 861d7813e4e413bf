// hickoryspur-soak: runs the seeded random runs for longer than CI has time for. Prints the seed and
// message of every failure, and exits with 1 if there was any.
#include "fakes/RandomRuns.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>

#include <iostream>

namespace {

namespace options = boost::program_options;

using Run = void (*)(uint64_t seed, uint64_t steps, hickoryspur::Mutations mutations);

struct Scenario
{
    const char *name;
    Run run;
};

constexpr Scenario kScenarios[] = {
    {"documents", hickoryspur::runDocuments},
    {"claims", hickoryspur::runClaims},
    {"repairs", hickoryspur::runRepairs},
};

int soak(uint64_t firstSeed, uint64_t seeds, uint64_t steps, const std::string &only)
{
    uint64_t failed = 0;
    for (const Scenario &scenario : kScenarios) {
        if (!only.empty() && only != scenario.name)
            continue;
        for (uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
            try {
                scenario.run(seed, steps, {});
            } catch (const std::exception &error) {
                ++failed;
                std::cout << scenario.name << " seed " << seed << ": " << error.what() << std::endl;
            }
        }
    }
    std::cout << (failed == 0 ? "no failure" : std::to_string(failed) + " failures") << std::endl;
    return failed == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_FATAL;
    google::InitGoogleLogging(argv[0]);
    options::options_description description("hickoryspur-soak: long seeded random runs of control state");
    description.add_options()("help", "show this help")("seed", options::value<uint64_t>()->default_value(1),
                                                        "first seed")(
        "seeds", options::value<uint64_t>()->default_value(1),
        "number of seeds to run")("steps", options::value<uint64_t>()->default_value(200), "faults in each run")(
        "only", options::value<std::string>()->default_value(""), "documents, claims or repairs");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.count("help") > 0) {
        std::cout << description << '\n';
        return 0;
    }
    return soak(values["seed"].as<uint64_t>(), values["seeds"].as<uint64_t>(), values["steps"].as<uint64_t>(),
                values["only"].as<std::string>());
}
