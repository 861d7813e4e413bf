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
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kControlPort = 8224;
constexpr int kInternalPort = 7740;
constexpr int kMetricsPort = 9464;
/** limits.memory-mb of the settings of a core and of a front machine. */
constexpr long kCoreMemoryMb = 256;
constexpr long kFrontMemoryMb = 160;
/** Orders that the operator has in progress at a time. */
constexpr int kOrdersInProgress = 8;
constexpr auto kRunTime = std::chrono::seconds(105);

Clock::time_point startedAt;
std::mutex recordMutex;
FILE *record = nullptr;

double now() { return std::chrono::duration<double>(Clock::now() - startedAt).count(); }

template <typename... Values> void note(const char *format, Values... values)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    std::fprintf(record, "%8.3f ", now());
    std::fprintf(record, format, values...);
    std::fputc('\n', record);
    std::fflush(record);
}

struct Host
{
    std::string name;
    std::string ip;
    bool isControl = false;
    pid_t pid = 0;
    int ends = 0;
    long peakMb = 0;
    Clock::time_point restartAt;
};

std::vector<Host> hosts;
std::mutex hostsMutex;
std::string root;
std::string work;
std::atomic<bool> finished{false};

void writeSettings(const Host &host, bool firstStart)
{
    std::string seeds;
    for (const Host &other : hosts)
        if (other.isControl)
            seeds += (seeds.empty() ? "" : ", ") + ('"' + other.ip + ':' + std::to_string(kControlPort) + '"');
    std::ofstream file(work + '/' + host.name + ".yaml");
    file << "name: \"" << host.name << "\"\n";
    if (host.isControl)
        file << "role: \"control\"\ncontrol-address: \"" << host.ip << ':' << kControlPort << "\"\n";
    else
        file << "role: \"entry\"\ncaller-address: \"" << host.ip << ":8226\"\nreadiness-address: \"" << host.ip
             << ":8227\"\ndirectory-address: \"" << host.ip << ":8225\"\n";
    file << "data-centre: \"a\"\ninternal-address: \"" << host.ip << ':' << kInternalPort << "\"\nmetrics-address: \""
         << host.ip << ':' << kMetricsPort << "\"\nseeds: [" << seeds << "]\n";
    if (host.isControl)
        file << "data-folder: \"" << work << "/data-" << host.name << "\"\n";
    file << "first-start: " << (firstStart ? "true" : "false")
         << "\ngrace: \"6s\"\nupstream-drain: \"4000ms\"\nextra-share: 0.2\nextra-slack: 164\n"
            "directory-validity: \"5s\"\nadmission: \"cost\"\n";
}

void start(Host &host)
{
    const std::string settings = work + '/' + host.name + ".yaml";
    const std::string log = work + '/' + host.name + ".log";
    host.pid = fork();
    if (host.pid != 0)
        return;
    // No host outlives this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    if (chdir(root.c_str()) != 0)
        _exit(127);
    execl("target/hickoryspur", "target/hickoryspur", "host", "--settings", settings.c_str(), nullptr);
    _exit(127);
}

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
        for (Host &host : hosts) {
            if (host.pid == 0) {
                if (Clock::now() >= host.restartAt) {
                    writeSettings(host, false);
                    start(host);
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

void endHosts()
{
    const std::lock_guard<std::mutex> lock(hostsMutex);
    for (Host &host : hosts)
        if (host.pid > 0) {
            kill(host.pid, SIGKILL);
            waitpid(host.pid, nullptr, 0);
            host.pid = 0;
        }
}

struct Response
{
    int status = 0;
    std::string location;
    std::string body;
};

/** One HTTP call on a connection of its own; status 0 if there was no whole answer in time. */
Response call(const std::string &ip, const std::string &method, const std::string &path, const std::string &body,
              int timeoutMs)
{
    Response response;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kControlPort);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: " + ip + "\r\nContent-Type: application/json\r\n"
        + "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    bool sent = connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    for (size_t offset = 0; sent && offset < text.size();) {
        const ssize_t count = send(socket, text.data() + offset, text.size() - offset, MSG_NOSIGNAL);
        sent = count > 0;
        offset += count > 0 ? static_cast<size_t>(count) : 0;
    }
    std::string answer;
    char buffer[65536];
    ssize_t count = 0;
    while (sent && (count = recv(socket, buffer, sizeof(buffer), 0)) > 0)
        answer.append(buffer, static_cast<size_t>(count));
    close(socket);
    const size_t end = answer.find("\r\n\r\n");
    if (!sent || count < 0 || end == std::string::npos || answer.rfind("HTTP/1.1 ", 0) != 0)
        return response;
    response.status = std::atoi(answer.c_str() + 9);
    response.body = answer.substr(end + 4);
    const size_t field = answer.find("\r\nLocation: http://");
    if (field != std::string::npos && field < end) {
        const size_t from = field + 19;
        response.location = answer.substr(from, answer.find(':', from) - from);
    }
    return response;
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
    for (const Host &host : hosts)
        if (host.isControl)
            nodes.push_back(host.ip);
    for (int version = nextVersion++; version <= changes && !finished; version = nextVersion++) {
        const std::string body = makeConfiguration(version, routes);
        int backoff = 50;
        for (bool done = false; !done && !finished;) {
            std::string node = nodes[random() % nodes.size()];
            Response response = call(node, "POST", "/config/replace", body, 4000);
            for (int hops = 0; hops < 2 && response.status == 307; ++hops)
                response = call(response.location, "POST", "/config/replace", body, 4000);
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

bool isFree(const std::string &ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool free = bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    close(socket);
    return free;
}

/** Loopback addresses on which the ports of all hosts are free; false if none were found. */
bool chooseAddresses()
{
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; tries < 50; ++tries) {
        const std::string net = "127." + std::to_string(60 + random() % 150) + '.' + std::to_string(1 + random() % 250);
        bool free = true;
        for (size_t i = 0; i < hosts.size(); ++i) {
            hosts[i].ip = net + '.' + std::to_string(21 + i);
            for (const int port : {kControlPort, kInternalPort, kMetricsPort, 8225, 8226, 8227})
                free = free && isFree(hosts[i].ip, port);
        }
        if (free)
            return true;
    }
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 6)
        return 2;
    root = argv[1];
    work = argv[2];
    record = std::fopen(argv[3], "w");
    const int routes = std::atoi(argv[4]);
    const int changes = std::atoi(argv[5]);
    startedAt = Clock::now();
    if (!record)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    for (const char *name : {"core-1", "core-2", "core-3", "front-1", "front-2"}) {
        Host host;
        host.name = name;
        host.isControl = host.name.rfind("core", 0) == 0;
        hosts.push_back(host);
    }
    if (!chooseAddresses())
        return 2;
    for (Host &host : hosts) {
        writeSettings(host, true);
        start(host);
    }
    note("started 3 core machines of %ld MB and 2 front machines of %ld MB", kCoreMemoryMb, kFrontMemoryMb);
    bool ready = false;
    for (int tries = 0; tries < 100 && !ready; ++tries) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        Response response = call(hosts[0].ip, "POST", "/evacuation/none/stop", "", 1000);
        if (response.status == 307)
            response = call(response.location, "POST", "/evacuation/none/stop", "", 1000);
        ready = response.status == 200;
    }
    if (!ready) {
        note("%s", "the control hosts did not start");
        endHosts();
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
    for (const Host &host : hosts) {
        note("%s: peak %ld MB, ended %d times", host.name.c_str(), host.peakMb, host.ends);
        ends += host.isControl ? host.ends : 0;
        machines += host.isControl && host.ends > 0 ? 1 : 0;
    }
    note("acknowledged %d of %d configurations, the newest is version %d", acknowledged.load(), changes, newest.load());
    endHosts();
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
