// What the stand-ins of the second review share: a small deployment of control hosts and entries on loopback, started with
// the command of the deploy file, HTTP calls on connections of their own, and the record of a run.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
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
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

using Clock = std::chrono::steady_clock;

constexpr int kControlPort = 8224;
constexpr int kDirectoryPort = 8225;
constexpr int kCallerPort = 8226;
constexpr int kReadinessPort = 8227;
constexpr int kInternalPort = 7740;
constexpr int kMetricsPort = 9464;

inline const Clock::time_point startedAt = Clock::now();
inline std::mutex recordMutex;
inline FILE *record = nullptr;

/** Writes a line of the record, with the seconds since the start. */
template <typename... Values> void note(const char *format, Values... values)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    std::fprintf(record, "%8.3f ", std::chrono::duration<double>(Clock::now() - startedAt).count());
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
    /** How often the process has ended without being asked to. */
    int ends = 0;
    long peakMb = 0;
    Clock::time_point restartAt;
};

struct Deployment
{
    /** The repository, from which the hosts are started. */
    std::string root;
    /** An empty folder for settings, data and logs. */
    std::string work;
    /** Further lines of the settings, as the template renders them for the deployment. */
    std::string bounds;
    std::vector<Host> hosts;
};

inline bool isFree(const std::string &ip, int port)
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

/** Adds hosts on loopback addresses on which all of their ports are free; false if none were found. */
inline bool addHosts(Deployment &deployment, int controlHosts, int entries)
{
    for (int i = 1; i <= controlHosts; ++i)
        deployment.hosts.push_back({"core-" + std::to_string(i), "", true, 0, 0, 0, {}});
    for (int i = 1; i <= entries; ++i)
        deployment.hosts.push_back({"front-" + std::to_string(i), "", false, 0, 0, 0, {}});
    std::mt19937 random(std::random_device{}());
    for (int tries = 0; tries < 50; ++tries) {
        const std::string net = "127." + std::to_string(60 + random() % 150) + '.' + std::to_string(1 + random() % 250);
        bool free = true;
        for (size_t i = 0; i < deployment.hosts.size(); ++i) {
            deployment.hosts[i].ip = net + '.' + std::to_string(21 + i);
            for (const int port :
                 {kControlPort, kDirectoryPort, kCallerPort, kReadinessPort, kInternalPort, kMetricsPort})
                free = free && isFree(deployment.hosts[i].ip, port);
        }
        if (free)
            return true;
    }
    return false;
}

inline void writeSettings(const Deployment &deployment, const Host &host, bool firstStart)
{
    const auto address = [&host](int port) { return '"' + host.ip + ':' + std::to_string(port) + "\"\n"; };
    std::string seeds;
    for (const Host &other : deployment.hosts)
        if (other.isControl)
            seeds += (seeds.empty() ? "\"" : ", \"") + other.ip + ':' + std::to_string(kControlPort) + '"';
    std::ofstream file(deployment.work + '/' + host.name + ".yaml");
    file << "name: \"" << host.name << "\"\n";
    if (host.isControl)
        file << "role: \"control\"\ncontrol-address: " << address(kControlPort) << "data-folder: \""
             << deployment.work << "/data-" << host.name << "\"\n";
    else
        file << "role: \"entry\"\ncaller-address: " << address(kCallerPort)
             << "readiness-address: " << address(kReadinessPort) << "directory-address: " << address(kDirectoryPort);
    file << "data-centre: \"a\"\ninternal-address: " << address(kInternalPort)
         << "metrics-address: " << address(kMetricsPort) << "seeds: [" << seeds
         << "]\nfirst-start: " << (firstStart ? "true" : "false") << '\n'
         << deployment.bounds;
}

inline void start(const Deployment &deployment, Host &host)
{
    const std::string settings = deployment.work + '/' + host.name + ".yaml";
    const std::string log = deployment.work + '/' + host.name + ".log";
    host.pid = fork();
    if (host.pid != 0)
        return;
    // No host outlives this program, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    if (chdir(deployment.root.c_str()) != 0)
        _exit(127);
    execl("target/hickoryspur", "target/hickoryspur", "host", "--settings", settings.c_str(), nullptr);
    _exit(127);
}

inline void startAll(Deployment &deployment)
{
    for (Host &host : deployment.hosts) {
        writeSettings(deployment, host, true);
        start(deployment, host);
    }
}

inline void endAll(Deployment &deployment)
{
    for (Host &host : deployment.hosts)
        if (host.pid > 0) {
            kill(host.pid, SIGKILL);
            waitpid(host.pid, nullptr, 0);
            host.pid = 0;
        }
}

struct Response
{
    /** Zero if there was no whole answer in time. */
    int status = 0;
    std::string location;
    std::string body;
};

/** One HTTP call on a connection of its own; `fields` are further header lines. */
inline Response call(const std::string &ip, int port, const std::string &method, const std::string &path,
                     const std::string &body, int timeoutMs, const std::string &fields = "")
{
    Response response;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    std::string text = method + ' ' + path + " HTTP/1.1\r\n" + (fields.empty() ? "Host: " + ip + "\r\n" : fields);
    if (method != "GET")
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    text += "Connection: close\r\n\r\n" + body;
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

/** A call of the operator to a control host, which may name another one up to twice. */
inline Response order(const std::string &ip, const std::string &method, const std::string &path,
                      const std::string &body, int timeoutMs)
{
    Response response = call(ip, kControlPort, method, path, body, timeoutMs);
    for (int hops = 0; hops < 2 && response.status == 307; ++hops)
        response = call(response.location, kControlPort, method, path, body, timeoutMs);
    return response;
}

/** Waits until the control hosts accept orders. */
inline bool awaitLeader(const Deployment &deployment)
{
    for (int tries = 0; tries < 100; ++tries) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        if (order(deployment.hosts.front().ip, "POST", "/evacuation/none/stop", "", 1000).status == 200)
            return true;
    }
    note("%s", "the control hosts did not start");
    return false;
}
