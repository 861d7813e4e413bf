// Backends leave: they deregister, which is acknowledged, and serve on for some seconds. Right afterwards all control
// hosts and one entry are killed, and are back within a second. Nothing may reach those backends later than drain-ms
// after the acknowledgement from machines in touch. No case of its own; see REPORT.md.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kDrain = 3;
constexpr double kContact = 4;
constexpr int kBackends = 6;
constexpr int kLeaving = 4;

std::mutex runsMutex;
std::vector<Run> runs;

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    Platform platform(3, 2);
    std::vector<std::unique_ptr<Backend>> backends;
    for (int i = 0; i < kBackends; ++i)
        backends.push_back(std::make_unique<Backend>(
            platform, "labels", platform.backend(i), [](Backend &self, Stream &stream, Message &request) {
                return Backend::serveSoundly(self, stream, request, 0.09, &runs, &runsMutex);
            }));
    platform.configure(
        R"({"version":3,"routes":[{"name":"r1","host":"lab.example","path-prefix":"/labels/","kind":"idempotent",)"
        R"("timeout-ms":4000,"target-latency-ms":400,"priority":1,"service":"labels","attempts":2}],)"
        R"("services":[{"name":"labels","health-path":"/health","max-connections":6,"protocol":"h1","tls":false,)"
        R"("warmup-s":3.0,"warmup-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,)"
        R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})");
    platform.waitReady();
    waitServed(platform, "lab.example", "/labels/1");
    pause(kContact + 1);
    std::map<std::string, double> left;
    for (int i = 0; i < kLeaving; ++i) {
        backends[i]->deregister();
        left[backends[i]->id] = secondsNow();
        record("backend %s: its leaving is acknowledged", backends[i]->id.c_str());
        pause(0.04);
    }
    if (trouble()) {
        pause(0.05);
        std::vector<Platform::Host *> killed;
        for (Platform::Host &host : platform.hosts())
            if (host.isControl || &host == &platform.entry(0))
                killed.push_back(&host);
        for (Platform::Host *host : killed)
            platform.kill(*host, SIGKILL);
        for (Platform::Host *host : killed)
            platform.reap(*host);
        record("platform: the control hosts and one entry are killed");
        pause(0.4);
        for (Platform::Host *host : killed)
            platform.start(*host, false);
        record("platform: all are started again");
    }
    platform.waitReady();
    pause(kContact + 0.5);
    const double inTouch = secondsNow();
    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 16; ++i)
        clients.emplace_back([&, i] {
            Stream stream;
            while (!stop)
                served +=
                    request(platform.front(i % 2), "lab.example", "GET", "/labels/1", "", 4000, &stream).status == 200;
        });
    pause(4);
    stop = true;
    for (std::thread &client : clients)
        client.join();
    int late = 0;
    double latest = 0;
    {
        std::lock_guard<std::mutex> lock(runsMutex);
        for (const Run &run : runs) {
            const auto found = left.find(run.backend);
            if (found == left.end() || run.arrived < inTouch || run.arrived - found->second <= kDrain)
                continue;
            ++late;
            latest = std::max(latest, run.arrived - found->second);
            record("backend %s: request %s ARRIVED %.3f s AFTER ITS LEAVING WAS ACKNOWLEDGED", run.backend.c_str(),
                   run.id.c_str(), run.arrived - found->second);
        }
    }
    if (served == 0)
        platform.fail("no request was served");
    finish(platform, late > 0,
           std::to_string(served) + " requests served; " + std::to_string(late)
               + " reached backends whose leaving had been acknowledged over 3 s before, the last one after "
               + std::to_string(latest) + " s");
}
