// Stand-ins that the scripts of review/ share: the platform (starts and stops the project's hosts with the commands of
// the deploy file), the operator, backends and clients. POSIX sockets and the standard library only; every address is a
// loopback address. The case programs beside this file say what happens; this file says how it is spoken.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

inline double secondsNow()
{
    return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void pause(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/** False if TROUBLE=0: the same run without the disruption. */
inline bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

// ---- record.txt: what was sent, answered and run ----

inline std::mutex recordMutex;
inline FILE *recordFile = nullptr;

inline void record(const char *format, ...)
{
    std::lock_guard<std::mutex> lock(recordMutex);
    if (!recordFile)
        return;
    std::fprintf(recordFile, "%8.3f ", secondsNow());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

// ---- sockets ----

struct Address
{
    std::string ip;
    uint16_t port = 0;
    std::string text() const { return ip + ':' + std::to_string(port); }
};

inline sockaddr_in toSockaddr(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/** A connected stream with buffered reading; closed by the destructor. */
class Stream
{
public:
    explicit Stream(int file = -1)
        : m_file(file)
    {
    }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;
    Stream(Stream &&other) noexcept
        : m_file(other.m_file)
        , m_buffer(std::move(other.m_buffer))
    {
        other.m_file = -1;
    }
    ~Stream() { close(); }

    bool connect(const Address &address, double timeout = 1)
    {
        close();
        m_file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::fcntl(m_file, F_SETFL, O_NONBLOCK);
        const sockaddr_in to = toSockaddr(address);
        if (::connect(m_file, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0 && errno != EINPROGRESS) {
            close();
            return false;
        }
        pollfd wait{m_file, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        if (::poll(&wait, 1, static_cast<int>(timeout * 1000)) != 1
            || ::getsockopt(m_file, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close();
            return false;
        }
        ::fcntl(m_file, F_SETFL, 0);
        const int one = 1;
        ::setsockopt(m_file, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        return true;
    }
    bool isOpen() const { return m_file >= 0; }
    int file() const { return m_file; }
    void close()
    {
        if (m_file >= 0)
            ::close(m_file);
        m_file = -1;
        m_buffer.clear();
    }
    /** Closes with a reset. */
    void reset()
    {
        const linger now{1, 0};
        if (m_file >= 0)
            ::setsockopt(m_file, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }
    bool send(const std::string &bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_file, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<size_t>(count);
        }
        return true;
    }
    /** Reads more bytes into the buffer; false at the end, after an error, or if nothing comes until the timeout. */
    bool fill(double timeout)
    {
        pollfd wait{m_file, POLLIN, 0};
        if (m_file < 0 || ::poll(&wait, 1, std::max(0, static_cast<int>(timeout * 1000))) != 1)
            return false;
        char bytes[65536];
        const ssize_t count = ::recv(m_file, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<size_t>(count));
        return true;
    }
    std::string &buffer() { return m_buffer; }

private:
    int m_file;
    std::string m_buffer;
};

inline int listenAt(const Address &address, int receiveBuffer = 0)
{
    const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (receiveBuffer > 0) {
        // A link as the pages describe it: segments of Ethernet and a small window, so that a peer that does not read
        // blocks the writer. Without this, loopback takes over a megabyte that nobody reads.
        const int segment = 1460;
        ::setsockopt(file, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        ::setsockopt(file, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const sockaddr_in at = toSockaddr(address);
    if (::bind(file, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0 || ::listen(file, 256) != 0) {
        ::close(file);
        return -1;
    }
    return file;
}

// ---- HTTP ----

struct Message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields)
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        return "";
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    size_t length() const { return std::strtoul(field("Content-Length").c_str(), nullptr, 10); }
};

/** Reads the start line and the fields; false if the stream ends or nothing comes until the timeout. */
inline bool readHead(Stream &stream, Message &message, double timeout)
{
    const double end = secondsNow() + timeout;
    size_t at;
    while ((at = stream.buffer().find("\r\n\r\n")) == std::string::npos)
        if (stream.buffer().size() > 65536 || !stream.fill(end - secondsNow()))
            return false;
    std::string head = stream.buffer().substr(0, at + 2);
    stream.buffer().erase(0, at + 4);
    size_t line = head.find("\r\n");
    message.start = head.substr(0, line);
    while (line + 2 < head.size()) {
        const size_t next = head.find("\r\n", line + 2);
        const std::string text = head.substr(line + 2, next - line - 2);
        const size_t colon = text.find(':');
        const size_t value = text.find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(text.substr(0, colon), value == std::string::npos ? "" : text.substr(value));
        line = next;
    }
    return true;
}

inline bool readBody(Stream &stream, Message &message, double timeout)
{
    const double end = secondsNow() + timeout;
    const size_t length = message.length();
    while (stream.buffer().size() < length)
        if (!stream.fill(end - secondsNow()))
            return false;
    message.body = stream.buffer().substr(0, length);
    stream.buffer().erase(0, length);
    return true;
}

inline bool readMessage(Stream &stream, Message &message, double timeout)
{
    message = Message();
    const double end = secondsNow() + timeout;
    return readHead(stream, message, timeout) && readBody(stream, message, end - secondsNow());
}

inline std::string httpAnswer(int status, const std::vector<std::string> &fields, const std::string &body)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const std::string &field : fields)
        bytes += field + "\r\n";
    return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** One call on a connection of its own; status 0 if no answer came. */
inline Message call(const Address &to, const std::string &method, const std::string &path, const std::string &body = "",
                    double timeout = 1, const std::vector<std::string> &fields = {})
{
    Stream stream;
    Message answer;
    if (!stream.connect(to, timeout))
        return answer;
    std::string bytes = method + ' ' + path + " HTTP/1.1\r\nHost: " + to.text() + "\r\n";
    for (const std::string &field : fields)
        bytes += field + "\r\n";
    if (!body.empty() || method == "POST")
        bytes += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!stream.send(bytes + "\r\n" + body) || !readMessage(stream, answer, timeout))
        answer = Message();
    return answer;
}

/** A call of the operator or of a backend: follows a redirect twice, and moves on to the next host after a failure. */
inline Message callControl(const std::vector<Address> &hosts, size_t &next, const std::string &method,
                           const std::string &path, const std::string &body = "")
{
    Message answer;
    Address to = hosts[next % hosts.size()];
    for (int hop = 0; hop < 3; ++hop) {
        answer = call(to, method, path, body);
        if (answer.status() != 307)
            break;
        const std::string location = answer.field("Location");
        const size_t start = location.find("//") + 2;
        const size_t colon = location.find(':', start);
        to = {location.substr(start, colon - start), static_cast<uint16_t>(std::atoi(location.c_str() + colon + 1))};
    }
    if (answer.status() < 200 || answer.status() >= 300)
        ++next;
    return answer;
}

// ---- the platform: hosts of the project ----

inline std::string nextId(const char *prefix)
{
    static std::atomic<uint64_t> number{1};
    char text[64];
    std::snprintf(text, sizeof(text), "%s%06llx%08x", prefix, static_cast<unsigned long long>(number++),
                  static_cast<unsigned>(::getpid()));
    return text;
}

class Platform
{
public:
    struct Host
    {
        std::string name;
        std::string ip;
        std::string settings;
        pid_t pid = -1;
        bool isControl = false;
        /** Set while this program has ended the process itself. */
        bool stopped = false;
        int endStatus = 0;
    };

    /** Starts hosts at loopback addresses that no other run uses; exits with 2 if that can't be done. */
    Platform(int controls, int entries)
    {
        char folder[] = "/tmp/hickoryspur-review-XXXXXX";
        if (!::mkdtemp(folder))
            fail("no temporary folder");
        m_folder = folder;
        chooseNet();
        if (::access("target/hickoryspur", X_OK) != 0)
            fail("target/hickoryspur is not built: run the build line of deploy/system.toml");
        for (int i = 0; i < controls; ++i)
            add(true, i);
        for (int i = 0; i < entries; ++i)
            add(false, i);
        for (Host &host : m_hosts)
            start(host, true);
    }
    ~Platform() { stopAll(); }

    Address control(int i) const { return {net() + std::to_string(21 + i), 8224}; }
    std::vector<Address> controls() const
    {
        std::vector<Address> all;
        for (const Host &host : m_hosts)
            if (host.isControl)
                all.push_back({host.ip, 8224});
        return all;
    }
    Address front(int i) const { return {net() + std::to_string(41 + i), 8226}; }
    Address readiness(int i) const { return {net() + std::to_string(41 + i), 8227}; }
    /** An address for a backend, and one at which nobody listens. */
    Address backend(int i) const { return {net() + std::to_string(100 + i), 8080}; }
    std::vector<Host> &hosts() { return m_hosts; }
    Host &entry(int i)
    {
        for (Host &host : m_hosts)
            if (!host.isControl && i-- == 0)
                return host;
        std::abort();
    }

    void start(Host &host, bool firstStart)
    {
        writeSettings(host, firstStart);
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int log = ::open((m_folder + '/' + host.name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            ::execl("target/hickoryspur", "target/hickoryspur", "host", "--settings", host.settings.c_str(), nullptr);
            ::_exit(127);
        }
        host.pid = pid;
        host.stopped = false;
    }
    void kill(Host &host, int signal)
    {
        if (signal == SIGKILL || signal == SIGTERM)
            host.stopped = true;
        ::kill(host.pid, signal);
    }
    void reap(Host &host)
    {
        if (host.pid > 0)
            ::waitpid(host.pid, &host.endStatus, 0);
        host.pid = -1;
    }
    std::string dataFolder(int host) const { return m_folder + "/data-" + m_hosts[host].name; }
    /** The host comes back with an empty data folder. */
    void loseDisk(const Host &host) const
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder + "/data-" + host.name, ignored);
    }
    /** The hosts whose processes have ended without having been told to. */
    std::vector<std::string> endedByThemselves()
    {
        std::vector<std::string> ended;
        for (Host &host : m_hosts) {
            if (host.stopped || host.pid < 0)
                continue;
            int status = 0;
            if (::waitpid(host.pid, &status, WNOHANG) != host.pid)
                continue;
            host.pid = -1;
            host.endStatus = status;
            ended.push_back(host.name
                            + (WIFSIGNALED(status) ? " signal " + std::to_string(WTERMSIG(status))
                                                   : " status " + std::to_string(WEXITSTATUS(status))));
        }
        return ended;
    }
    /** Sends the configuration until it is acknowledged, and waits until every entry is ready. */
    void configure(const std::string &body)
    {
        size_t next = 0;
        const double end = secondsNow() + 20;
        while (callControl(controls(), next, "POST", "/config/replace", body).status() != 200) {
            if (secondsNow() > end)
                fail("the configuration is not acknowledged");
            pause(0.2);
        }
        record("operator: configuration acknowledged");
    }
    void waitReady()
    {
        const double end = secondsNow() + 20;
        for (int i = 0; i < entries(); ++i)
            while (call(readiness(i), "GET", "/readiness").status() != 200) {
                if (secondsNow() > end)
                    fail("an entry is not ready");
                pause(0.1);
            }
    }
    int entries() const
    {
        int count = 0;
        for (const Host &host : m_hosts)
            count += host.isControl ? 0 : 1;
        return count;
    }
    std::string log(const Host &host) const
    {
        std::ifstream file(m_folder + '/' + host.name + ".log");
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }
    void stopAll()
    {
        for (Host &host : m_hosts) {
            if (host.pid > 0) {
                ::kill(host.pid, SIGKILL);
                ::waitpid(host.pid, nullptr, 0);
            }
            host.pid = -1;
        }
        std::error_code ignored;
        if (!m_folder.empty() && !std::getenv("KEEP"))
            std::filesystem::remove_all(m_folder, ignored);
        m_folder.clear();
    }
    [[noreturn]] void fail(const std::string &why)
    {
        record("cannot run: %s", why.c_str());
        std::fprintf(stderr, "cannot run: %s\n", why.c_str());
        stopAll();
        std::_Exit(2);
    }

private:
    std::string net() const { return m_net; }
    void chooseNet()
    {
        for (int attempt = 0; attempt < 200; ++attempt) {
            const unsigned draw = static_cast<unsigned>(::getpid()) * 7919U + static_cast<unsigned>(attempt) * 104729U;
            m_net = "127." + std::to_string(20 + draw % 200) + '.' + std::to_string((draw / 200) % 250) + '.';
            const int test = listenAt(control(0));
            if (test < 0)
                continue;
            ::close(test);
            return;
        }
        fail("no free loopback addresses");
    }
    void add(bool isControl, int i)
    {
        Host host;
        host.isControl = isControl;
        host.ip = m_net + std::to_string((isControl ? 21 : 41) + i);
        host.name = (isControl ? "core-" : "front-") + std::to_string(i + 1);
        host.settings = m_folder + '/' + host.name + ".yaml";
        m_hosts.push_back(host);
    }
    /** What platform/settings.yaml gives with the bounds of the two sites. */
    void writeSettings(const Host &host, bool firstStart) const
    {
        std::ofstream out(host.settings);
        out << "name: \"" << host.name << "\"\n";
        if (host.isControl)
            out << "role: \"control\"\ncontrol-address: \"" << host.ip << ":8224\"\ndata-folder: \"" << m_folder
                << "/data-" << host.name << "\"\n";
        else
            out << "role: \"entry\"\ncaller-address: \"" << host.ip << ":8226\"\nreadiness-address: \"" << host.ip
                << ":8227\"\ndirectory-address: \"" << host.ip << ":8225\"\n";
        out << "data-centre: \"z1\"\ninternal-address: \"" << host.ip << ":7740\"\nmetrics-address: \"" << host.ip
            << ":9464\"\nseeds: [";
        int seeds = 0;
        for (const Host &other : m_hosts)
            if (other.isControl && seeds < 3)
                out << (seeds++ ? ", " : "") << '"' << other.ip << ":8224\"";
        out << "]\nfirst-start: " << (firstStart ? "true" : "false")
            << "\ngrace: \"6s\"\nupstream-drain: \"3000ms\"\nextra-share: 0.2\nextra-slack: 54\n"
               "directory-validity: \"5s\"\n";
    }

    std::string m_folder;
    std::string m_net;
    std::vector<Host> m_hosts;
};

// ---- backends ----

/** What a backend has seen of one request. */
struct Run
{
    std::string id;
    std::string backend;
    double arrived = 0;
};

class Backend
{
public:
    /** Takes a request whose head has been read; returns false to close the connection. */
    using Handler = std::function<bool(Backend &, Stream &, Message &)>;

    Backend(Platform &platform, std::string service, Address address, Handler handler, int receiveBuffer = 0)
        : id(nextId("i-"))
        , m_platform(platform)
        , m_service(std::move(service))
        , m_address(std::move(address))
        , m_handler(std::move(handler))
        , m_born(static_cast<uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count()))
    {
        m_listener = listenAt(m_address, receiveBuffer);
        if (m_listener < 0)
            platform.fail("cannot listen at " + m_address.text());
        std::thread([this] { acceptLoop(); }).detach();
        std::thread([this] { beatLoop(); }).detach();
    }

    /** Every start has an id of its own. */
    const std::string id;
    std::atomic<int> connections{0};

    const std::string &service() const { return m_service; }
    const Address &address() const { return m_address; }
    /** Reports the state at once, to one host after the other; returns when it is acknowledged, or -1. */
    double report(const std::string &state)
    {
        m_state = state == "draining";
        for (int attempt = 0; attempt < 10; ++attempt)
            if (beat())
                return secondsNow();
        return -1;
    }
    void deregister()
    {
        m_ended = true;
        callControl(m_platform.controls(), m_next, "POST", "/instances/" + id + "/deregister",
                    "{\"born\":" + std::to_string(m_born) + "}");
    }
    /** The process ends: no more connections, and those that are open are reset. */
    void end()
    {
        m_ended = true;
        m_down = true;
        ::shutdown(m_listener, SHUT_RDWR);
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const int file : m_open)
            ::shutdown(file, SHUT_RDWR);
    }

    /** What a sound backend does: 421 for another one, the whole body, the work, and its signed answer. */
    static bool serveSoundly(Backend &self, Stream &stream, Message &request, double work, std::vector<Run> *runs,
                             std::mutex *runsMutex)
    {
        if (!readBody(stream, request, 10))
            return false;
        const std::string id = request.field("Hickoryspur-Request-Id");
        const std::string target = request.field("Hickoryspur-Target-Instance");
        if (!target.empty() && target != self.id)
            return stream.send(httpAnswer(421, {"Hickoryspur-Request-Id: " + id, "Hickoryspur-Not-Executed: 1"}, ""));
        if (runs) {
            std::lock_guard<std::mutex> lock(*runsMutex);
            runs->push_back({id, self.id, secondsNow()});
        }
        pause(work);
        return stream.send(self.sealedAnswer(request, 200, "done " + id));
    }
    std::string sealedAnswer(const Message &request, int status, const std::string &body) const
    {
        const std::string requestId = request.field("Hickoryspur-Request-Id");
        return httpAnswer(
            status, {"Hickoryspur-Request-Id: " + requestId, "Hickoryspur-Server-Seal: " + id + '.' + requestId}, body);
    }

private:
    void acceptLoop()
    {
        while (!m_down) {
            const int file = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (file < 0) {
                if (m_down)
                    break;
                continue;
            }
            const int one = 1;
            ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            std::thread([this, file] { serve(file); }).detach();
        }
        ::close(m_listener);
    }
    void serve(int file)
    {
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_open.insert(file);
        }
        ++connections;
        Stream stream(file);
        Message request;
        while (!m_down && readHead(stream, request, 30)) {
            if (request.start.rfind("GET /health ", 0) == 0) {
                if (!stream.send(httpAnswer(m_state ? 503 : 200, {"Hickoryspur-Instance-Id: " + id}, "")))
                    break;
            } else if (!m_handler(*this, stream, request)) {
                break;
            }
            request = Message();
        }
        --connections;
        std::lock_guard<std::mutex> lock(m_mutex);
        m_open.erase(file);
        stream.close();
    }
    bool beat()
    {
        std::lock_guard<std::mutex> lock(m_beatMutex);
        const std::string body = "{\"service\":\"" + m_service + "\",\"address\":\"" + m_address.text()
            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"max-concurrency\":2,\"state\":\""
            + (m_state ? "draining" : "ready") + "\",\"warmup-left-ms\":0,\"sequence\":" + std::to_string(++m_sequence)
            + ",\"born\":" + std::to_string(m_born) + "}";
        const Message answer =
            callControl(m_platform.controls(), m_next, "POST", "/instances/" + id + "/heartbeat", body);
        return answer.status() == 200;
    }
    void beatLoop()
    {
        while (!m_ended) {
            if (beat())
                pause(1.2);
            else
                pause(0.1);
        }
    }

    Platform &m_platform;
    std::string m_service;
    Address m_address;
    Handler m_handler;
    uint64_t m_born;
    std::atomic<uint64_t> m_sequence{0};
    std::atomic<bool> m_state{false};
    std::atomic<bool> m_ended{false};
    std::atomic<bool> m_down{false};
    int m_listener = -1;
    size_t m_next = 0;
    std::mutex m_mutex;
    std::mutex m_beatMutex;
    std::set<int> m_open;
};

// ---- clients ----

struct Attempt
{
    std::string id;
    double sent = 0;
    double ended = 0;
    /** 0: the connection ended, or nothing came until the deadline. */
    int status = 0;
    Message answer;
};

/** One client attempt on a connection of its own, or on `stream` if that is open. */
inline Attempt request(const Address &front, const std::string &host, const std::string &method,
                       const std::string &path, const std::string &body, int deadlineMs, Stream *stream = nullptr)
{
    Attempt attempt;
    attempt.id = nextId("q-");
    attempt.sent = secondsNow();
    Stream own;
    Stream &used = stream ? *stream : own;
    if (used.isOpen() || used.connect(front, 1)) {
        std::string bytes = method + ' ' + path + " HTTP/1.1\r\nHost: " + host + "\r\nHickoryspur-Request-Id: "
            + attempt.id + "\r\nHickoryspur-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
        if (!body.empty() || method == "POST")
            bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        if (!used.send(bytes + "\r\n" + body) || !readMessage(used, attempt.answer, deadlineMs / 1000.0))
            used.close();
        else
            attempt.status = attempt.answer.status();
    }
    attempt.ended = secondsNow();
    return attempt;
}

/** Waits until requests to the service are answered with success at every entry. */
inline void waitServed(Platform &platform, const std::string &host, const std::string &path,
                       const std::string &method = "GET")
{
    const double end = secondsNow() + 20;
    for (int i = 0; i < platform.entries(); ++i)
        for (int good = 0; good < 5;) {
            good += request(platform.front(i), host, method, path, "", 2000).status == 200 ? 1 : 0;
            if (secondsNow() > end)
                platform.fail("no request is served");
            pause(0.02);
        }
}

inline void openRecord(int count, char **arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = count > 1 ? arguments[1] : ".";
    recordFile = std::fopen((folder + "/record.txt").c_str(), "w");
    record("trouble=%d", trouble() ? 1 : 0);
}

/** Ends the run: 1 if the rule was broken, 0 if it held. */
[[noreturn]] inline void finish(Platform &platform, bool broken, const std::string &verdict)
{
    record("verdict: %s: %s", broken ? "BROKEN" : "held", verdict.c_str());
    std::printf("%s: %s\n", broken ? "BROKEN" : "held", verdict.c_str());
    std::fflush(stdout);
    platform.stopAll();
    std::_Exit(broken ? 1 : 0);
}

} // namespace rig
