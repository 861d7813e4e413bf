// Stand-in upstreams: one process that simulates any number of upstreams, each on its own port. They implement
// docs/UPSTREAM-INTERFACE.md, or with `wire: platform` the platform's protocol. The process announces the upstreams,
// answers sub-requests with made-up data after a random delay, counts the requests that exceed an upstream's slots, and
// injects faults on request through POST /v1/behaviour.
#include "UpstreamMessages.h"
#include "connection/AsioScheduler.h"
#include "hickoryspur/process/TokenFile.h"
#include "process/YamlReader.h"
#include "request/HttpCallerClient.h"
#include "request/HttpCallerServer.h"

#include <boost/program_options.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

namespace {

using namespace hickoryspur;
namespace options = boost::program_options;

constexpr std::chrono::milliseconds kAnnounceInterval{800};
constexpr std::chrono::milliseconds kAnnounceTimeout{400};

/** How an upstream behaves; POST /v1/behaviour changes single fields. */
struct Behaviour
{
    double latencyMs = 2;
    double jitterMs = 1;
    double stragglerShare = 0;
    double stragglerMs = 200;
    double failShare = 0;
    /** Concurrent requests that it can run while cold; zero for an upstream that is never cold. */
    uint32_t coldMaxRunning = 0;
    double coldLatencyMs = 20;
    /** Requests after which a cold upstream is warm. */
    uint32_t coldRequests = 50;
    bool healthLies = false;
    /** Requests are accepted, but not answered until this is false again. */
    bool stalled = false;
    /** Answers carry a wrong request id. */
    bool echoesWrongId = false;
    /** Requests a second that platform answers name as the upstream's limit; none if zero. */
    double limitPerSecond = 0;
    /** Platform answers say that the upstream is leaving, whatever its heartbeats say. */
    bool saysLeaving = false;
    /** Platform requests are refused, and this pause is asked for, while it is above zero. */
    double pauseMs = 0;
    /** False for an upstream that serves on and sends no heartbeats. */
    bool announces = true;
    std::string state = "ready";
};

struct Group
{
    std::string service;
    std::string environment = "production";
    std::string version = "1";
    std::vector<std::string> dataCentres;
    uint32_t upstreams = 3;
    uint32_t shards = 24;
    uint32_t replicas = 2;
    uint32_t slots = 2;
    uint32_t connectionLimit = 25;
    uint64_t generation = 1;
    std::vector<uint64_t> snapshots = {1};
    Behaviour behaviour;
};

struct Plan
{
    std::string address = "127.0.0.1";
    uint16_t firstPort = 20000;
    std::vector<HostAddress> entries;
    /** Sends the platform's heartbeats to control hosts. Platform requests are answered in either case. */
    bool usesPlatformProtocol = false;
    std::vector<Group> groups;
};

class Upstream
{
public:
    Upstream(const Group &group, uint32_t index, const std::string &address, uint16_t port)
        : m_group(group)
        , m_address(address)
        , m_port(port)
        , m_behaviour(group.behaviour)
        , m_random(port)
    {
        m_name = group.service + '-' + group.version + '-' + std::to_string(index);
        m_dataCentre = group.dataCentres[index % group.dataCentres.size()];
        // Replica r of shard s is on upstream (s + r) % upstreams. Neighbouring upstreams are in different data
        // centres, so that the replicas of a shard are too.
        for (uint32_t shard = 0; shard < group.shards; ++shard)
            for (uint32_t replica = 0; replica < group.replicas; ++replica)
                if ((shard + replica) % group.upstreams == index)
                    m_shards.push_back(shard);
        m_incarnation = static_cast<uint64_t>(wallClockSeconds());
        m_coldRequestsLeft = m_behaviour.coldRequests;
    }

    CallerResponse handle(const CallerRequest &request);
    std::string makeAnnouncement();
    CallerRequest makeHeartbeat();
    HostAddress address() const { return {m_address, m_port}; }
    const std::string &name() const { return m_name; }
    bool announces() const { return m_behaviour.announces; }

private:
    CallerResponse handleSubRequest(const CallerRequest &request);
    CallerResponse handlePlatformRequest(const CallerRequest &request);
    UpstreamSignals signals() const;
    CallerResponse changeBehaviour(const CallerRequest &request);
    CallerResponse counters() const;
    CallerResponse makeOutcome(unsigned status, const std::string &outcomeName, const CallerRequest &request) const;
    double drawDelayMs();
    bool isCold() const { return m_behaviour.coldMaxRunning > 0 && m_coldRequestsLeft > 0; }

    Group m_group;
    std::string m_name;
    std::string m_dataCentre;
    std::string m_address;
    uint16_t m_port;
    std::vector<uint32_t> m_shards;
    Behaviour m_behaviour;
    std::mt19937_64 m_random;
    uint64_t m_incarnation = 0;
    std::atomic<uint64_t> m_sequence{0};
    uint32_t m_coldRequestsLeft = 0;
    uint32_t m_running = 0;
    uint64_t m_served = 0;
    uint64_t m_shed = 0;
    uint64_t m_maxRunning = 0;
    uint64_t m_coldOverloads = 0;
    std::map<std::string, uint64_t> m_actions;
    std::set<std::string> m_cancelled;
};

double Upstream::drawDelayMs()
{
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(m_random) < m_behaviour.stragglerShare)
        return m_behaviour.stragglerMs;
    const double base = isCold() ? m_behaviour.coldLatencyMs : m_behaviour.latencyMs;
    return base + m_behaviour.jitterMs * unit(m_random);
}

CallerResponse Upstream::makeOutcome(unsigned status, const std::string &outcomeName,
                                     const CallerRequest &request) const
{
    CallerResponse response;
    response.status = status;
    response.headers["Hickoryspur-Request-Id"] = request.header("hickoryspur-request-id");
    response.headers["Hickoryspur-Shard"] = request.header("hickoryspur-shard");
    response.headers["Hickoryspur-Map-Generation"] = request.header("hickoryspur-map-generation");
    response.headers["Hickoryspur-Snapshot"] = request.header("hickoryspur-snapshot");
    response.headers["Hickoryspur-Outcome"] = outcomeName;
    response.body = "{}";
    return response;
}

CallerResponse Upstream::handleSubRequest(const CallerRequest &request)
{
    const uint64_t snapshot = std::strtoull(request.header("hickoryspur-snapshot").c_str(), nullptr, 10);
    const bool hasSnapshot =
        std::find(m_group.snapshots.begin(), m_group.snapshots.end(), snapshot) != m_group.snapshots.end();
    if (m_behaviour.state == "leaving")
        return makeOutcome(503, "draining", request);
    if (!hasSnapshot)
        return makeOutcome(409, "snapshot-gone", request);
    if (m_running >= m_group.slots) {
        ++m_shed;
        return makeOutcome(503, "shed", request);
    }
    ++m_running;
    m_maxRunning = std::max<uint64_t>(m_maxRunning, m_running);
    if (isCold()) {
        m_coldOverloads += m_running > m_behaviour.coldMaxRunning ? 1 : 0;
        --m_coldRequestsLeft;
    }
    const std::string id = request.header("hickoryspur-request-id");
    ++m_actions[request.body];
    boost::this_fiber::sleep_for(std::chrono::microseconds(static_cast<int64_t>(drawDelayMs() * 1000)));
    while (m_behaviour.stalled)
        boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
    --m_running;
    ++m_served;
    if (m_cancelled.erase(id) > 0)
        return makeOutcome(503, "cancelled", request);
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(m_random) < m_behaviour.failShare)
        return makeOutcome(500, "failed", request);
    CallerResponse response = makeOutcome(200, "ok", request);
    if (m_behaviour.echoesWrongId)
        response.headers["Hickoryspur-Request-Id"] = "0-0";
    response.body = "{\"upstream\":\"" + m_name + "\",\"shard\":" + request.header("hickoryspur-shard") + '}';
    return response;
}

CallerResponse Upstream::changeBehaviour(const CallerRequest &request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return {400, "{}", "application/json", {}};
    m_behaviour.latencyMs = body.value("latency_ms", m_behaviour.latencyMs);
    m_behaviour.jitterMs = body.value("jitter_ms", m_behaviour.jitterMs);
    m_behaviour.stragglerShare = body.value("straggler_share", m_behaviour.stragglerShare);
    m_behaviour.stragglerMs = body.value("straggler_ms", m_behaviour.stragglerMs);
    m_behaviour.failShare = body.value("fail_share", m_behaviour.failShare);
    m_behaviour.stalled = body.value("silent", m_behaviour.stalled);
    m_behaviour.echoesWrongId = body.value("crossed", m_behaviour.echoesWrongId);
    m_behaviour.state = body.value("state", m_behaviour.state);
    m_behaviour.limitPerSecond = body.value("limit_per_s", m_behaviour.limitPerSecond);
    m_behaviour.saysLeaving = body.value("says_leaving", m_behaviour.saysLeaving);
    m_behaviour.pauseMs = body.value("pause_ms", m_behaviour.pauseMs);
    m_behaviour.announces = body.value("announces", m_behaviour.announces);
    m_group.snapshots = body.value("snapshots", m_group.snapshots);
    m_group.generation = body.value("map_generation", m_group.generation);
    if (body.contains("cold_bears")) {
        m_behaviour.coldMaxRunning = body["cold_bears"];
        m_coldRequestsLeft = m_behaviour.coldRequests;
    }
    if (body.value("restart", false))
        m_incarnation += 1;
    m_incarnation = body.value("incarnation", m_incarnation);
    return {200, "{}", "application/json", {}};
}

CallerResponse Upstream::counters() const
{
    nlohmann::json actions = nlohmann::json::object();
    for (const auto &[body, count] : m_actions)
        if (body.find("notice") != std::string::npos)
            actions[body] = count;
    const nlohmann::json body = {{"upstream", m_name},
                                 {"served", m_served},
                                 {"shed", m_shed},
                                 {"most_running", m_maxRunning},
                                 {"cold_overloads", m_coldOverloads},
                                 {"actions", actions}};
    return {200, body.dump(), "application/json", {}};
}

CallerResponse Upstream::handle(const CallerRequest &request)
{
    if (request.path == "/v1/sub-request")
        return handleSubRequest(request);
    if (request.path == "/v1/cancel") {
        m_cancelled.insert(request.header("hickoryspur-request-id"));
        return {200, "{}", "application/json", {}};
    }
    if (request.path == "/v1/behaviour")
        return changeBehaviour(request);
    if (request.path == "/v1/counters")
        return counters();
    if (request.path == "/v1/ping")
        return {200, "{}", "application/json", {}};
    if (!request.header("hickoryspur-request-id").empty())
        return handlePlatformRequest(request);
    return {404, "{}", "application/json", {}};
}

CallerResponse Upstream::handlePlatformRequest(const CallerRequest &request)
{
    const bool forAnotherUpstream = platform::isForAnotherUpstream(request, UpstreamId(m_name));
    if (forAnotherUpstream || m_running >= m_group.slots || m_behaviour.pauseMs > 0) {
        m_shed += forAnotherUpstream ? 0 : 1;
        CallerResponse response = platform::makeNotRun(request, forAnotherUpstream);
        platform::setSignals(response, signals());
        return response;
    }
    ++m_running;
    ++m_actions[request.body];
    m_maxRunning = std::max<uint64_t>(m_maxRunning, m_running);
    boost::this_fiber::sleep_for(std::chrono::microseconds(static_cast<int64_t>(drawDelayMs() * 1000)));
    while (m_behaviour.stalled)
        boost::this_fiber::sleep_for(std::chrono::milliseconds(10));
    --m_running;
    ++m_served;
    // Each part holds two records; the first is the same for all upstreams of a service.
    std::string body = m_group.service + std::string(16, '.');
    body.resize(16);
    std::string second = m_name + std::string(16, '.');
    second.resize(16);
    const std::string signature = m_name + '.' + std::to_string(m_served);
    CallerResponse response = platform::makeAnswer(request, signature, body + second);
    platform::setSignals(response, signals());
    std::uniform_real_distribution<double> unit(0, 1);
    if (unit(m_random) < m_behaviour.failShare)
        response.status = 500;
    return response;
}

UpstreamSignals Upstream::signals() const
{
    UpstreamSignals signals;
    if (m_behaviour.limitPerSecond > 0)
        signals.requestsPerSecond = m_behaviour.limitPerSecond;
    if (m_behaviour.pauseMs > 0)
        signals.pause = Duration(static_cast<int64_t>(m_behaviour.pauseMs * 1000));
    signals.leaving = m_behaviour.saysLeaving;
    return signals;
}

CallerRequest Upstream::makeHeartbeat()
{
    Announcement announcement;
    announcement.id = UpstreamId(m_name);
    announcement.service = ServiceName(m_group.service);
    announcement.version = VersionName(m_group.version);
    announcement.incarnation = m_incarnation;
    announcement.sequence = ++m_sequence;
    announcement.address = m_address;
    announcement.port = m_port;
    announcement.dataCentre = DataCentreName(m_dataCentre);
    announcement.slots = m_group.slots;
    const bool leaving = m_behaviour.state == "leaving";
    announcement.state = static_cast<uint8_t>(leaving ? UpstreamState::Leaving : UpstreamState::Ready);
    return platform::makeHeartbeat(announcement);
}

std::string Upstream::makeAnnouncement()
{
    const nlohmann::json body = {{"id", m_name},
                                 {"environment", m_group.environment},
                                 {"service", m_group.service},
                                 {"version", m_group.version},
                                 {"incarnation", m_incarnation},
                                 {"sequence", ++m_sequence},
                                 {"map_generation", m_group.generation},
                                 {"shard_count", m_group.shards},
                                 {"shards", m_shards},
                                 {"snapshots", m_group.snapshots},
                                 {"address", m_address},
                                 {"port", m_port},
                                 {"data_centre", m_dataCentre},
                                 {"slots", m_group.slots},
                                 {"connection_limit", m_group.connectionLimit},
                                 {"state", m_behaviour.state}};
    return body.dump();
}

Behaviour readBehaviour(YamlSection &section)
{
    Behaviour behaviour;
    const auto ms = [](Duration duration) { return toMilliseconds(duration); };
    behaviour.latencyMs = ms(section.duration("latency", 0us, 60s, 2ms));
    behaviour.jitterMs = ms(section.duration("jitter", 0us, 60s, 1ms));
    behaviour.stragglerShare = section.share("straggler-share", 0);
    behaviour.stragglerMs = ms(section.duration("straggler", 0us, 60s, 200ms));
    behaviour.failShare = section.share("fail-share", 0);
    behaviour.coldMaxRunning = static_cast<uint32_t>(section.integer("cold-bears", 0, 1000, 0));
    return behaviour;
}

Group readGroup(const YAML::Node &node, YamlErrors &errors)
{
    YamlSection section(node, "groups", errors);
    Group group;
    group.service = section.text("service");
    group.environment = section.text("environment", "production");
    group.version = section.text("version", "1");
    group.dataCentres = section.texts("data-centres");
    group.upstreams = static_cast<uint32_t>(section.integer("upstreams", 1, 10000));
    group.shards = static_cast<uint32_t>(section.integer("shards", 1, 100000));
    group.replicas = static_cast<uint32_t>(section.integer("replicas", 1, 10, 2));
    group.slots = static_cast<uint32_t>(section.integer("slots", 1, 10000, 2));
    group.connectionLimit = static_cast<uint32_t>(section.integer("connection-limit", 1, 10000, 25));
    group.behaviour = readBehaviour(section);
    section.finish();
    if (group.dataCentres.empty())
        errors.add(node, "data-centres must list at least one data centre");
    return group;
}

Result<Plan> readPlan(const std::string &path)
{
    const Result<std::string> content = readFile(path);
    if (!content)
        return tl::unexpected(content.error());
    YamlErrors errors(path);
    const YAML::Node root = parseYaml(*content, errors);
    Plan plan;
    if (errors.empty()) {
        YamlSection section(root, "plan", errors);
        plan.address = section.text("address", plan.address);
        plan.firstPort = static_cast<uint16_t>(section.integer("first-port", 1024, 65000, plan.firstPort));
        plan.usesPlatformProtocol = section.text("wire", "own") == "platform";
        for (const std::string &text : section.texts("entries")) {
            const Result<HostAddress> entry = parseHostAddress(text);
            if (entry)
                plan.entries.push_back(*entry);
            else
                section.error("entries", entry.error().message);
        }
        for (const YAML::Node &node : section.items("groups"))
            plan.groups.push_back(readGroup(node, errors));
        section.finish();
    }
    if (!errors.empty())
        return failure(ResultCode::SettingsInvalid, errors.text());
    return plan;
}

/** Announces every upstream to one of the entries until the process exits; after a failure it uses the next entry. */
void announceUntilExit(const Plan &plan, std::vector<std::unique_ptr<Upstream>> &upstreams)
{
    size_t entry = 0;
    while (true) {
        for (const std::unique_ptr<Upstream> &upstream : upstreams) {
            if (!upstream->announces())
                continue;
            CallerRequest request;
            if (plan.usesPlatformProtocol) {
                request = upstream->makeHeartbeat();
            } else {
                request.method = "POST";
                request.path = "/v1/announce";
                request.body = upstream->makeAnnouncement();
            }
            if (!httpExchange(plan.entries[entry], request, kAnnounceTimeout))
                entry = (entry + 1) % plan.entries.size();
        }
        std::this_thread::sleep_for(kAnnounceInterval);
    }
}

int run(const Plan &plan)
{
    const auto context = std::make_shared<boost::asio::io_context>(1);
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(context);
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::vector<std::unique_ptr<HttpCallerServer>> servers;
    uint16_t port = plan.firstPort;
    for (const Group &group : plan.groups) {
        for (uint32_t index = 0; index < group.upstreams; ++index) {
            upstreams.push_back(std::make_unique<Upstream>(group, index, plan.address, port++));
            Upstream *upstream = upstreams.back().get();
            ServerLimits limits;
            limits.connections = group.connectionLimit + 5;
            auto server = HttpCallerServer::listen(
                *context, upstream->address(), limits,
                [upstream](const CallerRequest &request) { return upstream->handle(request); });
            if (!server) {
                std::cerr << server.error().message << '\n';
                return exitCode(server.error().code);
            }
            servers.push_back(std::move(*server));
        }
    }
    std::cout << upstreams.size() << " upstreams from port " << plan.firstPort << std::endl;
    std::thread([&plan, &upstreams] { announceUntilExit(plan, upstreams); }).detach();
    while (true)
        boost::this_fiber::sleep_for(std::chrono::seconds(1));
}

} // namespace

int main(int argc, char **argv)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(argv[0]);
    std::signal(SIGPIPE, SIG_IGN);
    options::options_description description("hickoryspur-standin: stand-in upstreams");
    description.add_options()("help", "show this help")("plan", options::value<std::string>()->required(),
                                                        "YAML file that describes the upstreams to simulate");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description << '\n';
            return 0;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return exitCode(ResultCode::UsageError);
    }
    const Result<Plan> plan = readPlan(values["plan"].as<std::string>());
    if (!plan) {
        std::cerr << plan.error().message << '\n';
        return exitCode(plan.error().code);
    }
    return run(*plan);
}
