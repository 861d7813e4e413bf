// Load tool: sends queries or actions of one service, or look-ups of the platform, to the given entries, at a steady
// rate or as fast as its connections allow. Prints latency, coverage and the number of refused requests as one line of
// JSON, and with
// --seconds also one line for each second.
#include "CallerMessages.h"
#include "connection/AsioScheduler.h"
#include "hickoryspur/version/LatencyHistogram.h"
#include "request/HttpCallerClient.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace hickoryspur;
namespace options = boost::program_options;

constexpr std::chrono::milliseconds kRequestTimeout{5000};
/** How long the caller of a look-up waits, as it tells the entry. */
constexpr std::chrono::milliseconds kLookupTimeout{1000};

struct LoadPlan
{
    std::vector<HostAddress> entries;
    std::string token;
    std::string service;
    std::string deadlineMs;
    bool actions = false;
    uint32_t shards = 1;
    double rate = 0;
    uint32_t connections = 16;
    int64_t durationSeconds = 10;
    std::string keyPrefix;
    /** Sends look-ups of the platform to this host name and path instead, if it is not empty. */
    std::string lookupHost;
    std::string lookupPath;
};

/** The results of all requests, or of those due in one second; json() prints them. */
struct RequestCounts
{
    uint64_t asked = 0;
    uint64_t whole = 0;
    uint64_t partial = 0;
    uint64_t refused = 0;
    /** Requests without a response: the connection failed or the timeout passed. */
    uint64_t broken = 0;
    /** Sum of the answered shares of the shards; json() prints the mean of the successful answers. */
    double coverage = 0;
    LatencyHistogram latency;
    std::map<int, uint64_t> codes;

    nlohmann::json json() const
    {
        nlohmann::json byCode = nlohmann::json::object();
        for (const auto &[code, count] : codes)
            byCode[std::to_string(code)] = count;
        const double answered = static_cast<double>(std::max<uint64_t>(1, whole + partial));
        return {{"asked", asked},
                {"whole", whole},
                {"partial", partial},
                {"refused", refused},
                {"broken", broken},
                {"coverage", coverage / answered},
                {"p50_ms", toMilliseconds(latency.quantile(0.5))},
                {"p99_ms", toMilliseconds(latency.quantile(0.99))},
                {"p999_ms", toMilliseconds(latency.quantile(0.999))},
                {"codes", byCode}};
    }
};

class Load
{
public:
    Load(boost::asio::io_context &context, LoadPlan plan)
        : m_context(context)
        , m_plan(std::move(plan))
        , m_start(monotonicNow())
        , m_end(m_start + std::chrono::seconds(m_plan.durationSeconds))
    {
    }

    void run()
    {
        std::vector<boost::fibers::fiber> fibers;
        for (uint32_t i = 0; i < m_plan.connections; ++i)
            fibers.emplace_back([this, i] { runConnection(i); });
        for (boost::fibers::fiber &fiber : fibers)
            fiber.join();
    }

    const RequestCounts &total() const { return m_total; }
    const std::map<int64_t, RequestCounts> &seconds() const { return m_seconds; }

private:
    void runConnection(uint32_t index)
    {
        HttpCallerClient client(m_context, m_plan.entries[index % m_plan.entries.size()]);
        while (true) {
            // With a rate, requests are due at fixed times, whether or not earlier ones have been answered.
            TimePoint due = monotonicNow();
            if (m_plan.rate > 0) {
                due = m_start
                    + Duration(static_cast<int64_t>(1e6 * static_cast<double>(m_nextScheduled++) / m_plan.rate));
                if (due < m_end)
                    boost::this_fiber::sleep_until(due);
            }
            if (due >= m_end)
                return;
            sendRequest(client, due);
        }
    }

    CallerRequest makeRequest()
    {
        const uint64_t number = m_nextNumber++;
        CallerRequest request;
        request.method = "POST";
        request.headers["Authorization"] = "Bearer " + m_plan.token;
        if (!m_plan.deadlineMs.empty())
            request.headers["Hickoryspur-Deadline-Ms"] = m_plan.deadlineMs;
        request.path = "/v1/query?service=" + m_plan.service;
        request.body = R"({"since":"dusk"})";
        if (m_plan.actions) {
            const std::string key = m_plan.keyPrefix + std::to_string(number);
            request.path = "/v1/action?service=" + m_plan.service + "&shard=" + std::to_string(number % m_plan.shards);
            request.body = R"({"notice":")" + key + "\"}";
            request.headers["Hickoryspur-Key"] = key;
            request.headers["Hickoryspur-Key-Time"] = std::to_string(wallClockSeconds());
        }
        return request;
    }

    bool sendsLookups() const { return !m_plan.lookupHost.empty(); }

    CallerRequest makeLookup()
    {
        const uint64_t number = m_nextNumber++;
        return platform::makeLookup(m_plan.lookupHost, m_plan.lookupPath + std::to_string(number),
                                    m_plan.keyPrefix + std::to_string(number), kLookupTimeout);
    }

    void sendRequest(HttpCallerClient &client, TimePoint due)
    {
        const Result<CallerResponse> response =
            client.exchange(sendsLookups() ? makeLookup() : makeRequest(), kRequestTimeout);
        const TimePoint now = monotonicNow();
        for (RequestCounts *counts : {&m_total, &m_seconds[(due - m_start) / 1s]}) {
            ++counts->asked;
            if (!response) {
                ++counts->broken;
                continue;
            }
            if (sendsLookups())
                recordLookup(*counts, *response, now - due);
            else
                recordResponse(*counts, *response, now - due);
        }
        if (!response)
            boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
    }

    static void recordLookup(RequestCounts &counts, const CallerResponse &response, Duration latency)
    {
        ++counts.codes[static_cast<int>(response.status)];
        switch (platform::readLookup(response)) {
        case platform::LookupOutcome::Whole:
            ++counts.whole;
            ++counts.coverage;
            break;
        case platform::LookupOutcome::Partial:
            ++counts.partial;
            break;
        case platform::LookupOutcome::Refused:
            ++counts.refused;
            return;
        case platform::LookupOutcome::Failed:
            return;
        }
        counts.latency.add(latency);
    }

    static void recordResponse(RequestCounts &counts, const CallerResponse &response, Duration latency)
    {
        // Parses only the fields before the shards, of which there may be many.
        const size_t shardsAt = response.body.find(",\"shards\":{");
        const std::string summary = response.body.substr(0, shardsAt) + (shardsAt == std::string::npos ? "" : "}");
        const nlohmann::json body = nlohmann::json::parse(summary, nullptr, false);
        const int code = body.is_object() ? body.value("code", -1) : -1;
        ++counts.codes[code];
        if (code != 0) {
            ++counts.refused;
            return;
        }
        const double answered = body["coverage"].value("answered", 0.0);
        const double shards = body["coverage"].value("shards", 1.0);
        counts.coverage += answered / shards;
        (answered >= shards ? counts.whole : counts.partial) += 1;
        counts.latency.add(latency);
    }

    boost::asio::io_context &m_context;
    LoadPlan m_plan;
    TimePoint m_start;
    TimePoint m_end;
    uint64_t m_nextScheduled = 0;
    uint64_t m_nextNumber = 0;
    RequestCounts m_total;
    std::map<int64_t, RequestCounts> m_seconds;
};

LoadPlan readPlan(const options::variables_map &values)
{
    LoadPlan plan;
    for (const std::string &text : values["entry"].as<std::vector<std::string>>()) {
        const Result<HostAddress> entry = parseHostAddress(text);
        if (!entry)
            throw options::error("--entry " + entry.error().message);
        plan.entries.push_back(*entry);
    }
    plan.token = values["token"].as<std::string>();
    plan.service = values["service"].as<std::string>();
    plan.deadlineMs = values["deadline-ms"].as<std::string>();
    plan.actions = values.count("actions") > 0;
    plan.shards = values["shards"].as<uint32_t>();
    plan.rate = values["rate"].as<double>();
    plan.connections = values["connections"].as<uint32_t>();
    plan.durationSeconds = values["duration"].as<int64_t>();
    // Written so that a rate of "nan" is refused as well.
    if (plan.shards == 0 || plan.connections == 0 || !(plan.rate > 0))
        throw options::error("--shards, --connections and --rate must be greater than 0");
    plan.keyPrefix = values["key-prefix"].as<std::string>();
    const std::string lookup = values["lookup"].as<std::string>();
    const size_t pathAt = std::min(lookup.find('/'), lookup.size());
    plan.lookupHost = lookup.substr(0, pathAt);
    plan.lookupPath = lookup.substr(pathAt);
    if (plan.lookupHost.empty() && (plan.token.empty() || plan.service.empty()))
        throw options::error("--lookup, or --token and --service are needed");
    return plan;
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    options::options_description description("hickoryspur-load: a load tool");
    description.add_options()("help", "show this help")("entry", options::value<std::vector<std::string>>()->required(),
                                                        "IP:PORT of an entry; may be repeated")(
        "token", options::value<std::string>()->default_value(""), "the caller's token")(
        "service", options::value<std::string>()->default_value(""), "service that the requests are for")(
        "lookup", options::value<std::string>()->default_value(""),
        "HOST/PATH/ of a route of the platform: sends look-ups below it instead of queries")(
        "deadline-ms", options::value<std::string>()->default_value(""), "deadline of each request in milliseconds")(
        "actions", "send actions, each with its own key, instead of queries")(
        "shards", options::value<uint32_t>()->default_value(1), "number of shards, to which the actions go in turn")(
        "key-prefix", options::value<std::string>()->default_value("k-"),
        "prefix of the actions' keys")("rate", options::value<double>()->default_value(0),
                                       "requests per second; 0 sends each as soon as the previous one is answered")(
        "connections", options::value<uint32_t>()->default_value(16),
        "number of connections")("duration", options::value<int64_t>()->default_value(10),
                                 "length of the run in seconds")("seconds", "also print a line for each second");
    options::variables_map values;
    LoadPlan plan;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description << '\n';
            return 0;
        }
        options::notify(values);
        plan = readPlan(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return exitCode(ResultCode::UsageError);
    }
    const auto context = std::make_shared<boost::asio::io_context>(1);
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(context);
    Load load(*context, std::move(plan));
    load.run();
    if (values.count("seconds") > 0)
        for (const auto &[second, counts] : load.seconds())
            std::cout << second << ' ' << counts.json() << '\n';
    std::cout << load.total().json() << std::endl;
    std::_Exit(0);
}
