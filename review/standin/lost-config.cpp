// Changes of the configuration are acknowledged in quick succession. All processes of the core are killed at the same
// moment and are back within a second; then the host that leads loses its disk. One disk may be lost: what was
// acknowledged must still be there.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kCatchUp = 4;
constexpr double kRecovery = 12;
constexpr double kLength = 110;
constexpr int kRoutes = 350;
/** Changes in a round: at least and at most. */
constexpr int kChanges = 60;
constexpr int kMaxChanges = 300;

std::string configuration(int version)
{
    std::string text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (int i = 0; i < kRoutes; ++i)
        text += std::string(i > 0 ? "," : "") + R"({"name":"route-)" + std::to_string(i)
            + R"(","host":"bells.example","path-prefix":"/piers/north-breakwater-and-outer-buoys/bell-)"
            + std::to_string(i)
            + R"(/signals/","kind":"idempotent","timeout-ms":4000,"target-latency-ms":400,"priority":2,"service":"keeper-book",)"
              R"("attempts":2})";
    return text
        + R"(],"services":[{"name":"keeper-book","health-path":"/health","max-connections":34,"protocol":"h1","tls":false,)"
          R"("warmup-s":3.0,"warmup-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,)"
          R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

int versionOf(const Message &answer)
{
    const size_t at = answer.body.find("\"version\":");
    return answer.status() == 200 && at != std::string::npos ? std::atoi(answer.body.c_str() + at + 10) : -1;
}

/** The host that answers a read of the configuration; -1 if none does until the timeout. */
int findLeader(Platform &platform, double timeout)
{
    const double end = secondsNow() + timeout;
    while (secondsNow() < end) {
        for (int i = 0; i < 3; ++i)
            if (call(platform.control(i), "GET", "/config/get", "", 0.2).status() == 200)
                return i;
        pause(0.02);
    }
    return -1;
}

/**
 * The number in the name of the newest log file on a host's disk: its last checkpoint. Only the moment of the loss is
 * chosen by it; what is judged is what the operator reads.
 */
long checkpointOf(const Platform &platform, int host)
{
    const std::string prefix = "log-after-";
    long newest = -1;
    std::error_code error;
    for (const auto &file : std::filesystem::directory_iterator(platform.dataFolder(host), error)) {
        const std::string name = file.path().filename();
        if (name.rfind(prefix, 0) == 0 && name.find('.') == std::string::npos)
            newest = std::max(newest, std::atol(name.c_str() + prefix.size()));
    }
    return newest;
}

/** Whether the host's last checkpoint is newer than those of the other control hosts. */
bool isAhead(const Platform &platform, int host)
{
    for (int i = 0; i < 3; ++i)
        if (i != host && checkpointOf(platform, i) >= checkpointOf(platform, host))
            return false;
    return true;
}

} // namespace

int main(int count, char **arguments)
{
    openRecord(count, arguments);
    Platform platform(3, 1);
    platform.configure(configuration(1));
    int version = 1;
    std::atomic<int> acknowledged{1};
    int rounds = 0;
    const auto send = [&](int to, int number) {
        size_t next = static_cast<size_t>(to);
        const int status =
            callControl(platform.controls(), next, "POST", "/config/replace", configuration(number)).status();
        if (status != 200)
            return record("operator: version %d -> %d", number, status);
        int newest = acknowledged;
        while (number > newest && !acknowledged.compare_exchange_weak(newest, number)) { }
        record("operator: version %d acknowledged", number);
    };
    while (secondsNow() < kLength - 2 * kRecovery - kCatchUp) {
        const int leader = findLeader(platform, kRecovery);
        if (leader < 0)
            platform.fail("no host answers a read");
        for (int i = 0; i < kMaxChanges && (i < kChanges || (trouble() && !isAhead(platform, leader))); ++i)
            send(leader, ++version);
        ++rounds;
        bool lostDisk = false;
        if (trouble()) {
            // More changes are under way, two at once, when all processes of the core are killed, within 30 ms.
            std::atomic<bool> stop{false};
            std::vector<std::thread> operators;
            for (int i = 0; i < 2; ++i)
                operators.emplace_back([&, i] {
                    for (int number = version + 1 + i; !stop; number += 2)
                        send(leader, number);
                });
            pause(0.1);
            for (int i = 0; i < 3; ++i)
                if (i != leader)
                    platform.kill(platform.hosts()[i], SIGKILL);
            pause(0.03);
            platform.kill(platform.hosts()[leader], SIGKILL);
            stop = true;
            for (std::thread &thread : operators)
                thread.join();
            version += 1000;
            for (int i = 0; i < 3; ++i)
                platform.reap(platform.hosts()[i]);
            const long ours = checkpointOf(platform, leader);
            const bool wasAhead = isAhead(platform, leader);
            record("platform: all processes of the core are killed; newest acknowledged version %d",
                   acknowledged.load());
            // All are back within a second.
            platform.start(platform.hosts()[leader], false);
            pause(0.5);
            for (int i = 0; i < 3; ++i)
                if (i != leader)
                    platform.start(platform.hosts()[i], false);
            record("platform: all are started again");
            // The host that led before mostly leads again.
            const double end = secondsNow() + 3;
            while (wasAhead && !lostDisk && secondsNow() < end) {
                lostDisk = true;
                for (int i = 0; i < 3; ++i)
                    lostDisk = lostDisk && (i == leader || checkpointOf(platform, i) == ours);
            }
            if (lostDisk) {
                platform.kill(platform.hosts()[leader], SIGKILL);
                platform.reap(platform.hosts()[leader]);
                platform.loseDisk(platform.hosts()[leader]);
                pause(0.3);
                platform.start(platform.hosts()[leader], false);
                record("platform: %s, which led again, has lost its disk and is started again",
                       platform.hosts()[leader].name.c_str());
            }
        }
        // The operator reads back.
        const double end = secondsNow() + kRecovery;
        int read = -1;
        while (read < 0 && secondsNow() < end) {
            for (int i = 0; i < 3 && read < 0; ++i)
                read = versionOf(call(platform.control(i), "GET", "/config/get", "", 0.3));
            pause(0.05);
        }
        record("operator: reads version %d, newest acknowledged version %d", read, acknowledged.load());
        if (read >= 0 && read < acknowledged) {
            pause(kRecovery);
            int later = -1;
            for (int i = 0; i < 3; ++i)
                later = std::max(later, versionOf(call(platform.control(i), "GET", "/config/get")));
            record("operator: reads version %d %.0f s later", later, kRecovery);
            finish(platform, later < acknowledged,
                   "round " + std::to_string(rounds) + ": version " + std::to_string(acknowledged)
                       + " was acknowledged, read back is version " + std::to_string(read) + ", 12 s later version "
                       + std::to_string(later));
        }
        version = std::max(version, read);
        if (lostDisk)
            pause(kCatchUp + 0.5);
    }
    finish(platform, false,
           std::to_string(rounds) + " rounds, version " + std::to_string(acknowledged) + " acknowledged and read back");
}
