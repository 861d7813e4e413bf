// Another writer sends heartbeats that can't be read: bytes that are no JSON, in chunks, with a field of 70,000 bytes
// after the last one. Where a control host gives no answer, it calls the next one. The platform starts a process that
// has ended again after a short delay. The control hosts must stay up, and the operator's changes must be acknowledged.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kContact = 4;
constexpr double kHeartbeat = 1.2;
constexpr double kRestartDelay = 0.5;
constexpr double kLength = 20;

std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r1","host":"lab.example","path-prefix":"/labels/","kind":"idempotent",)"
          R"("timeout-ms":4000,"target-latency-ms":400,"priority":1,"service":"labels","attempts":2}],)"
          R"("services":[{"name":"labels","health-path":"/health","max-connections":34,"protocol":"h1","tls":false,)"
          R"("warmup-s":3.0,"warmup-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,)"
          R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

/** Sends one odd heartbeat, to the next host as long as none answers; returns how many were called. */
int sendOddHeartbeat(const std::vector<Address> &controls, size_t &next)
{
    const std::string bytes =
        "POST /instances/i-0ther/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
        "Transfer-Encoding: chunked\r\n\r\n4\r\n\xff\xfe{{\r\n0\r\nX-Checksum: "
        + std::string(trouble() ? 70000 : 8, 'x') + "\r\n\r\n";
    for (int called = 1; called <= static_cast<int>(controls.size()); ++called) {
        const Address &to = controls[next % controls.size()];
        Stream stream;
        Message answer;
        const bool answered = stream.connect(to, 1) && stream.send(bytes) && readMessage(stream, answer, 1);
        record("other writer: heartbeat to %s -> %d", to.text().c_str(), answered ? answer.status() : 0);
        if (answered && answer.status() < 500)
            return called;
        ++next;
    }
    return static_cast<int>(controls.size());
}

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    Platform platform(3, 2);
    std::vector<std::unique_ptr<Backend>> backends;
    for (int i = 0; i < 3; ++i)
        backends.push_back(std::make_unique<Backend>(
            platform, "labels", platform.backend(i), [](Backend &self, Stream &stream, Message &request) {
                return Backend::serveSoundly(self, stream, request, 0.005, nullptr, nullptr);
            }));
    platform.configure(configuration(1));
    platform.waitReady();
    waitServed(platform, "lab.example", "/labels/1");
    pause(kContact + 1);

    std::atomic<bool> stop{false};
    const double start = secondsNow();
    std::thread writer([&] {
        size_t next = 0;
        while (!stop) {
            sendOddHeartbeat(platform.controls(), next);
            pause(kHeartbeat);
        }
    });
    // The operator sends one change after the other, each until it is acknowledged.
    std::atomic<int> acknowledged{0};
    std::atomic<double> longest{0};
    std::thread operatorThread([&] {
        size_t next = 0;
        for (int version = 2; !stop; ++version) {
            const double sent = secondsNow();
            bool done = false;
            while (!stop && !done) {
                done =
                    callControl(platform.controls(), next, "POST", "/config/replace", configuration(version)).status()
                    == 200;
                if (!done)
                    pause(0.2);
            }
            const double took = secondsNow() - sent;
            longest = std::max<double>(longest, took);
            acknowledged += done ? 1 : 0;
            record("operator: version %d %s after %.3f s", version, done ? "acknowledged" : "NOT ACKNOWLEDGED", took);
            pause(0.5);
        }
    });
    std::map<std::string, int> ends;
    while (secondsNow() < start + kLength) {
        pause(0.05);
        for (const std::string &text : platform.endedByThemselves()) {
            record("process ended by itself: %s", text.c_str());
            ++ends[text.substr(0, text.find(' '))];
        }
        for (Platform::Host &host : platform.hosts())
            if (host.pid < 0) {
                pause(kRestartDelay);
                platform.start(host, false);
                record("platform: %s started again", host.name.c_str());
            }
    }
    stop = true;
    writer.join();
    operatorThread.join();
    int core = 0;
    int ended = 0;
    std::string text;
    for (const Platform::Host &host : platform.hosts()) {
        if (!host.isControl)
            continue;
        ++core;
        ended += ends[host.name] >= 3 ? 1 : 0;
        text += host.name + " ended by itself " + std::to_string(ends[host.name]) + " times, ";
    }
    if (!trouble() && acknowledged == 0)
        platform.fail("no change is acknowledged");
    finish(platform, 2 * ended >= core,
           text + std::to_string(acknowledged) + " changes acknowledged, the longest wait was "
               + std::to_string(longest) + " s");
}
