// Requests wait at an entry for a connection to a backend that has turned slow. That backend says that it is draining,
// which is acknowledged. Nothing may reach it later than drain-ms after that.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kDrain = 3;
constexpr double kContact = 4;
constexpr double kWork = 0.3;
/** The largest factor of srv_slow in the site file is 12. */
constexpr double kSlow = 11.5;

std::mutex runsMutex;
std::vector<Run> runs;
std::atomic<bool> slow{false};
/** When the draining of the first backend was acknowledged. */
std::atomic<double> drainedAt{-1};

bool serveReports(Backend &self, Stream &stream, Message &request, int number)
{
    const bool isFirst = number == 0;
    const std::string id = request.field("Hickoryspur-Request-Id");
    const double ack = drainedAt;
    if (isFirst && ack >= 0)
        record("first backend: request %s ARRIVED %.3f s AFTER THE ACKNOWLEDGEMENT, %s ms left", id.c_str(),
               secondsNow() - ack, request.field("Hickoryspur-Deadline-Ms").c_str());
    else if (isFirst)
        record("first backend: request %s arrived, %s ms left", id.c_str(),
               request.field("Hickoryspur-Deadline-Ms").c_str());
    return Backend::serveSoundly(self, stream, request, number < 2 && slow ? kWork * kSlow : kWork, &runs, &runsMutex);
}

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    Platform platform(3, 2);
    std::vector<std::unique_ptr<Backend>> backends;
    for (int i = 0; i < 6; ++i)
        backends.push_back(std::make_unique<Backend>(
            platform, "reports", platform.backend(i),
            [i](Backend &self, Stream &stream, Message &request) { return serveReports(self, stream, request, i); }));
    platform.configure(
        R"({"version":3,"routes":[{"name":"r1","host":"lab.example","path-prefix":"/reports/","kind":"non_idempotent",)"
        R"("timeout-ms":4000,"target-latency-ms":1000,"priority":1,"service":"reports","attempts":2}],)"
        R"("services":[{"name":"reports","health-path":"/health","max-connections":6,"protocol":"h1","tls":false,)"
        R"("warmup-s":3.0,"warmup-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,)"
        R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})");
    platform.waitReady();
    waitServed(platform, "lab.example", "/reports/1", "POST");
    pause(kContact + 1);

    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 24; ++i)
        clients.emplace_back([&, i] {
            pause(0.015 * i);
            Stream stream;
            while (!stop) {
                const Attempt attempt =
                    request(platform.front(i % 2), "lab.example", "POST", "/reports/1", "report", 4000, &stream);
                record("client %d: request %s -> %d after %.0f ms", i, attempt.id.c_str(), attempt.status,
                       (attempt.ended - attempt.sent) * 1000);
                ++(attempt.status == 200 ? served : lost);
            }
        });
    pause(3);
    slow = trouble();
    record("two of six backends: %s", slow ? "turn slow" : "stay as they are");
    pause(0.35);
    const double acknowledged = backends[0]->report("draining");
    if (acknowledged < 0)
        platform.fail("the draining is not acknowledged");
    drainedAt = acknowledged;
    record("first backend: its draining is acknowledged");
    // It serves for drain-ms and a little longer, and ends.
    pause(kDrain + 1);
    backends[0]->deregister();
    backends[0]->end();
    record("first backend: ends");
    pause(2);
    stop = true;
    for (std::thread &client : clients)
        client.join();
    double latest = 0;
    int late = 0;
    {
        std::lock_guard<std::mutex> lock(runsMutex);
        for (const Run &run : runs) {
            if (run.backend != backends[0]->id)
                continue;
            latest = std::max(latest, run.arrived - acknowledged);
            late += run.arrived - acknowledged > kDrain ? 1 : 0;
        }
    }
    if (served == 0)
        platform.fail("no request was served");
    finish(platform, late > 0,
           std::to_string(served) + " requests served, " + std::to_string(lost) + " not; " + std::to_string(late)
               + " reached the draining backend later than 3 s after the acknowledgement, the last one after "
               + std::to_string(latest) + " s");
}
