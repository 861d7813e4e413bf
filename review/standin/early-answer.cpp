// A backend answers before it has read a long body, keeps the connection and reads on later. What it then reads where
// the rest of that body is due must be the rest of that body, or the end of the connection.
#include "rig.h"

using namespace rig;

namespace {

constexpr size_t kLongBody = 260000;
std::atomic<int> longRequests{0};
std::atomic<int> earlyAnswers{0};
std::atomic<int> wholeBodies{0};
std::atomic<int> endedInBody{0};
std::atomic<int> foreignBytes{0};

/** Clients send only the byte 'a' in long bodies, so that every other byte comes from somewhere else. */
bool readLongBody(Backend &self, Stream &stream, Message &request)
{
    const size_t length = request.length();
    size_t seen = 0;
    while (seen < length) {
        if (stream.buffer().empty() && !stream.fill(5)) {
            ++endedInBody;
            record("backend %s: request %s: the connection ended after %zu of %zu bytes of the body", self.id.c_str(),
                   request.field("Hickoryspur-Request-Id").c_str(), seen, length);
            return false;
        }
        std::string &bytes = stream.buffer();
        const size_t part = std::min(bytes.size(), length - seen);
        const size_t foreign = bytes.substr(0, part).find_first_not_of('a');
        if (foreign != std::string::npos) {
            ++foreignBytes;
            std::string text = bytes.substr(foreign, 60);
            for (char &c : text)
                c = c < 32 || c > 126 ? '.' : c;
            record("backend %s: request %s: OTHER BYTES at %zu of %zu of the body: \"%s\"", self.id.c_str(),
                   request.field("Hickoryspur-Request-Id").c_str(), seen + foreign, length, text.c_str());
            return false;
        }
        seen += part;
        bytes.erase(0, part);
    }
    ++wholeBodies;
    return true;
}

/** One of the two backends. */
bool answersEarly(const Backend &self)
{
    return self.address().ip.ends_with(".100");
}

bool handle(Backend &self, Stream &stream, Message &request)
{
    if (request.length() < kLongBody)
        return Backend::serveSoundly(self, stream, request, 0.02, nullptr, nullptr);
    const std::string id = request.field("Hickoryspur-Request-Id");
    ++longRequests;
    if (trouble() && answersEarly(self)) {
        // "long requests are rejected before they are in": not run, and the connection is kept.
        ++earlyAnswers;
        record("backend %s: request %s: rejected before its body was read", self.id.c_str(), id.c_str());
        stream.send(httpAnswer(
            503, {"Hickoryspur-Request-Id: " + id, "Hickoryspur-Not-Executed: 1", "Keep-Alive: timeout=10"}, ""));
        pause(0.4);
        return readLongBody(self, stream, request);
    }
    return readLongBody(self, stream, request) && stream.send(self.sealedAnswer(request, 200, "done"));
}

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    Platform platform(3, 2);
    std::vector<std::unique_ptr<Backend>> backends;
    for (int i = 0; i < 2; ++i)
        backends.push_back(std::make_unique<Backend>(platform, "labels", platform.backend(i), handle, 4096));
    platform.configure(
        R"({"version":3,"routes":[{"name":"r1","host":"lab.example","path-prefix":"/labels/","kind":"non_idempotent",)"
        R"("timeout-ms":4000,"target-latency-ms":400,"priority":1,"service":"labels","attempts":2}],)"
        R"("services":[{"name":"labels","health-path":"/health","max-connections":34,"protocol":"h1","tls":false,)"
        R"("warmup-s":3.0,"warmup-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,)"
        R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})");
    platform.waitReady();
    waitServed(platform, "lab.example", "/labels/1", "POST");
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < 24; ++i)
        clients.emplace_back([&, i] {
            Stream stream;
            for (int n = 0; !stop; ++n) {
                const bool isLong = i < 4;
                const std::string body(isLong ? kLongBody : 300, isLong ? 'a' : 'b');
                const Attempt attempt =
                    request(platform.front(i % 2), "lab.example", "POST", "/labels/1", body, 4000, &stream);
                record("client %d: request %s (%zu bytes) -> %d after %.0f ms", i, attempt.id.c_str(), body.size(),
                       attempt.status, (attempt.ended - attempt.sent) * 1000);
                pause(isLong ? 0.3 : 0.02);
            }
        });
    const double end = secondsNow() + 5;
    std::vector<std::string> ended;
    while (secondsNow() < end && ended.empty()) {
        pause(0.1);
        ended = platform.endedByThemselves();
    }
    stop = true;
    for (std::thread &client : clients)
        client.join();
    pause(1);
    for (const std::string &host : ended)
        record("process ended by itself: %s", host.c_str());
    if (longRequests == 0)
        platform.fail("no long request reached a backend");
    finish(platform, foreignBytes > 0,
           std::to_string(longRequests) + " long requests at backends, " + std::to_string(earlyAnswers)
               + " answered early; then the body came whole " + std::to_string(wholeBodies)
               + ", was cut by the end of the connection " + std::to_string(endedInBody) + ", went on with other bytes "
               + std::to_string(foreignBytes)
               + "; processes that ended by themselves: " + std::to_string(ended.size()));
}
