// Stand-ins for the platform and the operator of a small deployment. The platform starts control hosts and entries with
// the command of the deploy file, kills a process that uses more memory than its settings allow, and starts it again.
// The operator sends one complete configuration after the other and waits for each acknowledgement.
//
// usage: large_changes ROOT WORK RECORD ROUTES CHANGES
//   ROOT     the repository, from which the hosts are started
//   WORK     an empty folder for settings, data and logs
//   RECORD   the file to which the record is written
//   ROUTES   routes of each configuration; CHANGES  configurations that are sent
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "deployment.h"

namespace {

/** limits.memory-mb of the settings of a core and of a front machine. */
constexpr long kCoreMemoryMb = 256;
constexpr long kFrontMemoryMb = 160;
/** Orders that the operator has in progress at a time. */
constexpr int kOrdersInProgress = 8;
constexpr auto kRunTime = std::chrono::seconds(105);

Deployment deployment;
std::mutex hostsMutex;
std::atomic<bool> finished{false};

long residentMb(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line))
        if (line.rfind("VmRSS:", 0) == 0)
            return std::atol(line.c_str() + 6) / 1024;
    return 0;
}

/** Ends a process that uses too much memory, and starts an ended one after a short delay. */
void runPlatform()
{
    auto nextNote = Clock::now();
    while (!finished) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const std::lock_guard<std::mutex> lock(hostsMutex);
        std::string sizes;
        for (Host &host : deployment.hosts) {
            if (host.pid == 0) {
                if (Clock::now() >= host.restartAt) {
                    writeSettings(deployment, host, false);
                    start(deployment, host);
                }
                continue;
            }
            int status = 0;
            const bool ended = waitpid(host.pid, &status, WNOHANG) == host.pid;
            const long megabytes = ended ? 0 : residentMb(host.pid);
            host.peakMb = std::max(host.peakMb, megabytes);
            sizes += ' ' + host.name + '=' + std::to_string(megabytes);
            const long limit = host.isControl ? kCoreMemoryMb : kFrontMemoryMb;
            if (!ended && megabytes <= limit)
                continue;
            if (ended) {
                note("%s ended by itself, status %d", host.name.c_str(), status);
            } else {
                note("%s uses %ld MB, allowed are %ld: the platform kills it", host.name.c_str(), megabytes, limit);
                kill(host.pid, SIGKILL);
                waitpid(host.pid, &status, 0);
            }
            ++host.ends;
            host.pid = 0;
            host.restartAt = Clock::now() + std::chrono::milliseconds(300);
        }
        if (Clock::now() >= nextNote) {
            nextNote = Clock::now() + std::chrono::seconds(2);
            note("memory in MB:%s", sizes.c_str());
        }
    }
}

std::string makeConfiguration(int version, int routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    char route[512];
    for (int i = 0; i < routes; ++i) {
        // A change alters a time-out of one route.
        const int timeout = i == version % routes ? 900 : 1000;
        std::snprintf(route, sizeof(route),
                      "%s{\"name\":\"r-%07d\",\"host\":\"leno12.example\",\"path-prefix\":\"/rany%05d/no91/\","
                      "\"kind\":\"idempotent\",\"timeout-ms\":%d,\"target-latency-ms\":100,\"priority\":1,"
                      "\"service\":\"%s\",\"attempts\":2}",
                      i == 0 ? "" : ",", i, i, timeout, i % 2 == 0 ? "huvo11a" : "lohu93e");
        text += route;
    }
    text += "],\"services\":[";
    for (const char *service : {"huvo11a", "lohu93e"})
        text += std::string(text.back() == '[' ? "" : ",") + "{\"name\":\"" + service
            + "\",\"health-path\":\"/health\",\"max-connections\":430,\"protocol\":\"h1\",\"tls\":false,"
              "\"warmup-s\":3.0,\"warmup-per-s\":0.0}";
    return text
        + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,"
          "\"idle-timeout-ms\":15000}}";
}

std::atomic<int> nextVersion{1};
std::atomic<int> acknowledged{0};
std::atomic<int> newest{0};

/** Sends configurations until all are acknowledged or the time is over. A call without a clear answer is sent again. */
void runOperator(int routes, int changes, unsigned seed)
{
    std::mt19937 random(seed);
    std::vector<std::string> nodes;
    for (const Host &host : deployment.hosts)
        if (host.isControl)
            nodes.push_back(host.ip);
    for (int version = nextVersion++; version <= changes && !finished; version = nextVersion++) {
        const std::string body = makeConfiguration(version, routes);
        int backoff = 50;
        for (bool done = false; !done && !finished;) {
            std::string node = nodes[random() % nodes.size()];
            const Response response = order(node, "POST", "/config/replace", body, 4000);
            done = response.status == 200;
            if (done) {
                note("version %d sent to %s: answer 200", version, node.c_str());
                ++acknowledged;
                int seen = newest;
                while (seen < version && !newest.compare_exchange_weak(seen, version)) {
                }
            } else {
                note("version %d sent to %s: answer %d, it is sent again", version, node.c_str(), response.status);
                std::this_thread::sleep_for(std::chrono::milliseconds(backoff));
                backoff = std::min(1000, backoff * 2);
            }
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 6)
        return 2;
    deployment.root = argv[1];
    deployment.work = argv[2];
    deployment.bounds = "grace: \"6s\"\nupstream-drain: \"4000ms\"\nextra-share: 0.2\nextra-slack: 164\n"
                        "directory-validity: \"5s\"\nadmission: \"cost\"\n";
    record = std::fopen(argv[3], "w");
    const int routes = std::atoi(argv[4]);
    const int changes = std::atoi(argv[5]);
    if (!record || !addHosts(deployment, 3, 2))
        return 2;
    signal(SIGPIPE, SIG_IGN);
    startAll(deployment);
    note("started 3 core machines of %ld MB and 2 front machines of %ld MB", kCoreMemoryMb, kFrontMemoryMb);
    if (!awaitLeader(deployment)) {
        endAll(deployment);
        return 2;
    }
    note("the operator sends %d configurations of %d routes, %zu bytes each", changes, routes,
         makeConfiguration(changes, routes).size());
    std::thread platform(runPlatform);
    std::vector<std::thread> orders;
    for (int i = 0; i < kOrdersInProgress; ++i)
        orders.emplace_back(runOperator, routes, changes, static_cast<unsigned>(i + 1));
    const auto end = Clock::now() + kRunTime;
    while (Clock::now() < end && acknowledged < changes)
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const bool complete = acknowledged >= changes;
    finished = true;
    for (std::thread &order : orders)
        order.join();
    platform.join();
    int ends = 0;
    int machines = 0;
    for (const Host &host : deployment.hosts) {
        note("%s: peak %ld MB, ended %d times", host.name.c_str(), host.peakMb, host.ends);
        ends += host.isControl ? host.ends : 0;
        machines += host.isControl && host.ends > 0 ? 1 : 0;
    }
    note("acknowledged %d of %d configurations, the newest is version %d", acknowledged.load(), changes, newest.load());
    endAll(deployment);
    // Half of the core are two of three machines.
    const bool broken = machines >= 2 && ends >= 3;
    if (!broken && !complete) {
        note("%s", "the changes were not all acknowledged in the time: no verdict");
        return 2;
    }
    note("%s", broken ? "Fault is broken: on half of the core, processes ended by themselves three times"
                      : "the rule held");
    return broken ? 1 : 0;
}
