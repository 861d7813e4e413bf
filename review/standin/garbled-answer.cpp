// One faulty backend garbles one answer: its head states a length that cannot be, or a field of 70,000 bytes follows
// its last chunk. Requests of other clients, which the same entry has passed on to sound backends meanwhile, must still
// be answered.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kContact = 4;

std::mutex runsMutex;
std::vector<Run> runs;
std::atomic<int> garble{0};

bool serveReports(Backend &self, Stream &stream, Message &request)
{
    return Backend::serveSoundly(self, stream, request, 0.4, &runs, &runsMutex);
}

/** Garbles one answer: 1 states a length of 900,000,000,000 bytes, 2 ends with a field of 70,000 bytes. */
bool serveLabels(Backend &self, Stream &stream, Message &request)
{
    if (!readBody(stream, request, 5))
        return false;
    const std::string id = request.field("Hickoryspur-Request-Id");
    const std::string head = "HTTP/1.1 200 OK\r\nHickoryspur-Request-Id: " + id
        + "\r\nHickoryspur-Server-Seal: " + self.id + '.' + id + "\r\n";
    const int how = garble.exchange(0);
    if (how > 0)
        record("backend %s: request %s run, its answer is garbled: %s", self.id.c_str(), id.c_str(),
               how == 1 ? "Content-Length: 900000000000, then 5 bytes"
                        : "a field of 70,000 bytes after the last chunk");
    if (how == 1)
        return stream.send(head + "Content-Length: 900000000000\r\n\r\nlabel");
    return stream.send(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nlabel\r\n0\r\nX-Checksum: "
                       + std::string(how == 2 ? 70000 : 8, 'x') + "\r\n\r\n");
}

bool hasRun(const std::string &id)
{
    std::lock_guard<std::mutex> lock(runsMutex);
    for (const Run &run : runs)
        if (run.id == id)
            return true;
    return false;
}

/** Eight clients with kept connections to one entry; each request takes 0.4 s at a sound backend. */
struct Clients
{
    std::atomic<bool> stop{false};
    std::atomic<int> answered{0};
    std::atomic<int> cut{0};
    std::vector<std::thread> threads;

    void start(const Address &front)
    {
        for (int i = 0; i < 8; ++i)
            threads.emplace_back([this, front, i] { run(front, i); });
    }
    void run(const Address &front, int number)
    {
        pause(0.05 * number);
        Stream stream;
        while (!stop) {
            const bool kept = stream.isOpen();
            const Attempt attempt = request(front, "lab.example", "POST", "/reports/1", "r", 4000, &stream);
            record("client %d at %s: request %s -> %d after %.0f ms%s", number, front.text().c_str(),
                   attempt.id.c_str(), attempt.status, (attempt.ended - attempt.sent) * 1000,
                   kept ? " on a kept connection" : "");
            if (attempt.status > 0)
                ++answered;
            else if (kept && attempt.ended - attempt.sent < 3 && hasRun(attempt.id)) {
                ++cut;
                record("client %d: request %s RUNS AT A SOUND BACKEND, its kept connection ended without an answer",
                       number, attempt.id.c_str());
            }
            pause(attempt.status > 0 ? 0.01 : 0.3);
        }
    }
    void join()
    {
        stop = true;
        for (std::thread &thread : threads)
            thread.join();
    }
};

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    Platform platform(3, 2);
    std::vector<std::unique_ptr<Backend>> backends;
    for (int i = 0; i < 6; ++i)
        backends.push_back(std::make_unique<Backend>(platform, "reports", platform.backend(i), serveReports));
    for (int i = 6; i < 8; ++i)
        backends.push_back(std::make_unique<Backend>(platform, "labels", platform.backend(i), serveLabels));
    const std::string service =
        R"("health-path":"/health","max-connections":34,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":0.0})";
    platform.configure(
        R"({"version":3,"routes":[{"name":"r1","host":"lab.example","path-prefix":"/reports/","kind":"non_idempotent",)"
        R"("timeout-ms":4000,"target-latency-ms":600,"priority":1,"service":"reports","attempts":2},)"
        R"({"name":"r2","host":"lab.example","path-prefix":"/labels/","kind":"idempotent",)"
        R"("timeout-ms":4000,"target-latency-ms":400,"priority":1,"service":"labels","attempts":2}],)"
        R"("services":[{"name":"reports",)"
        + service + R"(,{"name":"labels",)" + service
        + R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})");
    platform.waitReady();
    waitServed(platform, "lab.example", "/reports/1", "POST");
    waitServed(platform, "lab.example", "/labels/1");
    pause(kContact + 1);
    std::string text;
    bool broken = false;
    for (int how = 1; how <= 2; ++how) {
        Clients clients;
        clients.start(platform.front(how - 1));
        pause(2);
        garble = trouble() ? how : 0;
        const Attempt label = request(platform.front(how - 1), "lab.example", "GET", "/labels/1", "", 4000);
        record("client of labels: request %s -> %d", label.id.c_str(), label.status);
        pause(1);
        const std::vector<std::string> ended = platform.endedByThemselves();
        for (const std::string &host : ended)
            record("process ended by itself: %s", host.c_str());
        clients.join();
        if (clients.answered == 0)
            platform.fail("no request was served");
        broken = broken || clients.cut > 3;
        text += std::string(text.empty() ? "" : "; ") + (how == 1 ? "length stated: " : "long last field: ")
            + std::to_string(clients.answered) + " answered, " + std::to_string(clients.cut)
            + " lost their kept connection while they ran at sound backends (3 allowed), "
            + (ended.empty() ? "no process ended" : "ended by itself: " + ended.front());
    }
    finish(platform, broken, text);
}
