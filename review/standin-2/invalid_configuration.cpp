// Stand-ins for the operator, a backend and a client of a small deployment. The operator sends a valid configuration and
// then one in which the list of routes has another type. The client sends the same request all the while.
//
// usage: invalid_configuration ROOT WORK RECORD TROUBLE
//   ROOT, WORK, RECORD   the repository, an empty folder for settings, data and logs, and the file of the record
//   TROUBLE              0: the invalid configurations are not sent
// Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "deployment.h"

namespace {

constexpr const char *kBackend = "i-7f3a91c2";
constexpr const char *kService = "kafi81c";
constexpr auto kBeatInterval = std::chrono::milliseconds(1200);
/** config-apply-ms */
constexpr auto kApplyTime = std::chrono::seconds(3);

Deployment deployment;
std::atomic<bool> finished{false};
std::atomic<int> runs{0};
int backendPort = 0;

/** The value of a header field, whose name is given in lower case. */
std::string fieldOf(const std::string &head, const std::string &name)
{
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    const size_t at = lower.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return "";
    const size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

/** Answers the requests of one connection, all of which have no body. */
void serveConnection(int socket)
{
    std::string bytes;
    char buffer[4096];
    for (ssize_t count; (count = recv(socket, buffer, sizeof(buffer), 0)) > 0;) {
        bytes.append(buffer, static_cast<size_t>(count));
        for (size_t end; (end = bytes.find("\r\n\r\n")) != std::string::npos; bytes.erase(0, end + 4)) {
            const std::string head = bytes.substr(0, end + 2);
            const std::string id = fieldOf(head, "hickoryspur-request-id");
            const bool isMine = fieldOf(head, "hickoryspur-target-instance") == kBackend;
            runs += isMine ? 1 : 0;
            const std::string body = isMine ? "bell" : "";
            const std::string answer = std::string("HTTP/1.1 ") + (isMine ? "200 OK" : "421 Misdirected Request")
                + "\r\nHickoryspur-Request-Id: " + id + "\r\n"
                + (isMine ? "Hickoryspur-Server-Seal: 3e1b.07." + id + "\r\n" : "")
                + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            send(socket, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
    }
    close(socket);
}

bool startBackend()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    socklen_t size = sizeof(address);
    if (bind(listener, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(listener, 64) != 0
        || getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        return false;
    backendPort = ntohs(address.sin_port);
    std::thread([listener] {
        for (int socket; (socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
            std::thread(serveConnection, socket).detach();
    }).detach();
    return true;
}

void sendHeartbeats()
{
    const auto born =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    for (int sequence = 1; !finished; ++sequence) {
        const std::string body = std::string("{\"service\":\"") + kService + "\",\"address\":\"127.0.0.1:"
            + std::to_string(backendPort) + "\",\"zone\":\"a\",\"version\":\"v1\",\"max-concurrency\":3,"
            + "\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":" + std::to_string(sequence)
            + ",\"born\":" + std::to_string(born.count()) + '}';
        for (size_t i = 0; i < 3; ++i) {
            const Host &node = deployment.hosts[(static_cast<size_t>(sequence) + i) % 3];
            if (call(node.ip, kControlPort, "POST", std::string("/instances/") + kBackend + "/heartbeat", body, 1000)
                    .status
                == 200)
                break;
        }
        std::this_thread::sleep_for(kBeatInterval);
    }
}

std::string makeConfiguration(int version, const std::string &routes)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":" + routes + ",\"services\":[{\"name\":\""
        + kService
        + "\",\"health-path\":\"/health\",\"max-connections\":34,\"protocol\":\"h1\",\"tls\":false,\"warmup-s\":3.0,"
          "\"warmup-per-s\":0.0}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
          "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
}

const std::string kRoutes = std::string("[{\"name\":\"r-ibw6kpq\",\"host\":\"hufi27.example\",\"path-prefix\":\"/goka902/\","
                                        "\"kind\":\"idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":400,"
                                        "\"priority\":2,\"service\":\"")
    + kService + "\",\"attempts\":2}]";

int request(const Host &entry)
{
    static int number = 0;
    char id[32];
    std::snprintf(id, sizeof(id), "%016x", ++number);
    return call(entry.ip, kCallerPort, "GET", "/goka902/2f", "", 4000,
                std::string("Host: hufi27.example\r\nHickoryspur-Request-Id: ") + id
                    + "\r\nHickoryspur-Deadline-Ms: 4000\r\n")
        .status;
}

/** Sends 20 requests to each entry; returns how many got this status. */
int countAnswers(int status)
{
    int count = 0;
    std::string seen;
    for (int i = 0; i < 20; ++i)
        for (const Host &host : deployment.hosts)
            if (!host.isControl) {
                const int got = request(host);
                count += got == status ? 1 : 0;
                seen += ' ' + std::to_string(got);
            }
    note("40 requests, answers:%s; run by the backend so far: %d", seen.c_str(), runs.load());
    return count;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        return 2;
    deployment.root = argv[1];
    deployment.work = argv[2];
    deployment.bounds = "grace: \"6s\"\nupstream-drain: \"3000ms\"\nextra-share: 0.2\nextra-slack: 52\n"
                        "directory-validity: \"5s\"\n";
    record = std::fopen(argv[3], "w");
    const bool trouble = std::string(argv[4]) != "0";
    signal(SIGPIPE, SIG_IGN);
    if (!record || !startBackend() || !addHosts(deployment, 3, 2))
        return 2;
    startAll(deployment);
    int verdict = 2;
    if (awaitLeader(deployment)) {
        std::thread beats(sendHeartbeats);
        const std::string node = deployment.hosts.front().ip;
        const int first = order(node, "POST", "/config/replace", makeConfiguration(7, kRoutes), 2000).status;
        note("version 7, valid, one route: answer %d", first);
        std::this_thread::sleep_for(kApplyTime);
        const int served = countAnswers(200);
        bool acknowledged = false;
        if (trouble) {
            int version = 8;
            for (const char *routes : {"{}", "null"}) {
                const int status =
                    order(node, "POST", "/config/replace", makeConfiguration(++version, routes), 2000).status;
                note("version %d, \"routes\":%s: answer %d", version, routes, status);
                acknowledged = acknowledged || status == 200;
            }
        }
        std::this_thread::sleep_for(kApplyTime);
        const int after = countAnswers(200);
        const int missing = countAnswers(404);
        const Response held = order(node, "GET", "/config/get", "", 2000);
        note("read back: status %d, %.60s", held.status, held.body.c_str());
        if (first == 200 && served == 40) {
            const bool broken = acknowledged || missing > 0;
            verdict = broken ? 1 : after == 40 ? 0 : 2;
            note("%s", broken ? "CONFIG is broken: what is invalid was acknowledged, and is in force" : "the rule held");
        }
        finished = true;
        beats.join();
    }
    endAll(deployment);
    std::fflush(record);
    _exit(verdict);
}
