// Answers of backends that are no success. First: a backend runs a request that may run once at most, and fails with a
// status that says nothing about that; the client may only be told "not run" (429, 503, 408, 421) if that is true.
// Second: a backend hands out wrong bytes, a 200 without a signature; a client must not get it as a success.
#include "rig.h"

using namespace rig;

namespace {

std::mutex runsMutex;
std::vector<Run> runs;
std::atomic<int> failures{0};
std::atomic<bool> grey{false};

/** Runs each request; three of four backends fail two of five of them after the work, their health check stays good. */
bool serveNotices(Backend &self, Stream &stream, Message &request)
{
    static std::atomic<unsigned> number{0};
    const bool isGrey = grey && !self.address().ip.ends_with(".103");
    const bool fails = isGrey && number++ % 5 < 2;
    if (!fails)
        return Backend::serveSoundly(self, stream, request, 0.01, &runs, &runsMutex);
    if (!readBody(stream, request, 5))
        return false;
    const std::string id = request.field("Hickoryspur-Request-Id");
    {
        std::lock_guard<std::mutex> lock(runsMutex);
        runs.push_back({id, self.id, secondsNow()});
    }
    pause(0.01);
    ++failures;
    // Without Hickoryspur-Not-Executed: the backend does not say that the request has not run.
    record("backend %s: request %s ran and failed: 503 without Hickoryspur-Not-Executed", self.id.c_str(), id.c_str());
    return stream.send(self.sealedAnswer(request, 503, "the store behind the logbook did not answer"));
}

std::atomic<int> spoilt{0};
std::atomic<bool> wrongBytes{false};

bool serveLabels(Backend &self, Stream &stream, Message &request)
{
    // Two of the four backends spoil one of twenty of their answers.
    static std::atomic<unsigned> number{0};
    const bool isFaulty = wrongBytes && (self.address().ip.ends_with(".104") || self.address().ip.ends_with(".105"));
    if (!isFaulty || number++ % 20 != 0)
        return Backend::serveSoundly(self, stream, request, 0.005, nullptr, nullptr);
    if (!readBody(stream, request, 5))
        return false;
    ++spoilt;
    record("backend %s: request %s answered with wrong bytes: a 200 without a signature", self.id.c_str(),
           request.field("Hickoryspur-Request-Id").c_str());
    return stream.send(httpAnswer(200, {"Content-Type: text/html"}, "<html>the logbook is being serviced</html>"));
}

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    Platform platform(3, 2);
    std::vector<std::unique_ptr<Backend>> backends;
    for (int i = 0; i < 4; ++i)
        backends.push_back(std::make_unique<Backend>(platform, "notices", platform.backend(i), serveNotices));
    for (int i = 4; i < 8; ++i)
        backends.push_back(std::make_unique<Backend>(platform, "labels", platform.backend(i), serveLabels));
    const std::string service =
        R"("health-path":"/health","max-connections":34,"protocol":"h1","tls":false,"warmup-s":3.0,"warmup-per-s":0.0})";
    const std::string route =
        R"("kind":"non_idempotent","timeout-ms":4000,"target-latency-ms":400,"priority":1,"attempts":2,"service":)";
    platform.configure(
        R"({"version":3,"routes":[{"name":"r1","host":"lab.example","path-prefix":"/notices/",)" + route
        + R"("notices"},{"name":"r2","host":"lab.example","path-prefix":"/labels/",)" + route
        + R"("labels"}],"services":[{"name":"notices",)" + service + R"(,{"name":"labels",)" + service
        + R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}})");
    platform.waitReady();
    waitServed(platform, "lab.example", "/notices/1", "POST");
    waitServed(platform, "lab.example", "/labels/1", "POST");
    grey = trouble();
    // A client keeps to the pages: it sends a refused notice once more, since 503 says that the first has not run.
    int sent = 0;
    int refused = 0;
    int refusedAndRun = 0;
    int doubled = 0;
    const auto hasRun = [](const std::string &id) {
        std::lock_guard<std::mutex> lock(runsMutex);
        for (const Run &run : runs)
            if (run.id == id)
                return true;
        return false;
    };
    for (int notice = 0; notice < 120; ++notice) {
        bool ranBefore = false;
        for (int attempt = 0; attempt < 2; ++attempt) {
            const Attempt result = request(platform.front(notice % 2), "lab.example", "POST", "/notices/1",
                                           "notice " + std::to_string(notice), 4000);
            ++sent;
            const bool ran = hasRun(result.id);
            const bool promised =
                result.status == 503 || result.status == 429 || result.status == 408 || result.status == 421;
            record("client: notice %d: request %s -> %d, %s", notice, result.id.c_str(), result.status,
                   ran ? "has run" : "has not run");
            if (ran && ranBefore)
                ++doubled;
            ranBefore = ranBefore || ran;
            if (!promised)
                break;
            ++refused;
            if (ran) {
                ++refusedAndRun;
                record("client: request %s ANSWERED %d AND HAS RUN", result.id.c_str(), result.status);
            }
        }
        pause(0.03);
    }
    grey = false;
    wrongBytes = trouble();
    int successes = 0;
    int unsignedSuccesses = 0;
    for (int i = 0; i < 250; ++i) {
        const Attempt result = request(platform.front(i % 2), "lab.example", "POST", "/labels/1", "label", 4000);
        const bool success = result.status >= 200 && result.status < 300;
        const bool isSigned = !result.answer.field("Hickoryspur-Server-Seal").empty();
        successes += success ? 1 : 0;
        unsignedSuccesses += success && !isSigned ? 1 : 0;
        record("client: request %s -> %d%s \"%s\"", result.id.c_str(), result.status,
               success && !isSigned ? " SUCCESS WITHOUT A SIGNATURE" : "", result.answer.body.c_str());
        pause(0.005);
    }
    if (successes == 0)
        platform.fail("no request was served");
    finish(platform, refusedAndRun > 0 || unsignedSuccesses > 0,
           "REFUSED: " + std::to_string(sent) + " requests sent, " + std::to_string(refused)
               + " refused as not run, of which " + std::to_string(refusedAndRun)
               + " have run; notices that ran twice because the client trusted that: " + std::to_string(doubled)
               + ". MIXED: " + std::to_string(successes) + " successes, " + std::to_string(unsignedSuccesses)
               + " of them without the backend's signature; answers spoilt: " + std::to_string(spoilt));
}
