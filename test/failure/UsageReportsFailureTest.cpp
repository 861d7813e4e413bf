// Guards the reports of usage over HTTP: against a report that is lost or changed when the service answers late,
// refuses or fails, against a service that occupies the control host's loop or memory, and against a call that is
// written although the host has lost the duty while it connected. The service is a stand-in on the loop of the test.
#include "PlatformCodec.h"
#include "app/UsageReports.h"
#include "fakes/FiberThread.h"
#include "fakes/ReservedPort.h"
#include "hickoryspur/process/MessageCodec.h"
#include "request/HttpCallerClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace hickoryspur;

namespace {

using Context = std::shared_ptr<boost::asio::io_context>;
using tcp = boost::asio::ip::tcp;

/** The service: it checks tokens and contents, and answers its first calls as the script says. */
struct Service
{
    std::vector<std::string> script;
    size_t calls = 0;
    uint64_t highestToken = 0;
    std::map<uint64_t, std::string> bodies;
    std::vector<uint64_t> accepted;
    std::vector<std::string> faults;
    std::vector<TimePoint> callTimes;

    CallerResponse handle(const CallerRequest &request)
    {
        callTimes.push_back(monotonicNow());
        const std::string step = calls < script.size() ? script[calls] : "";
        ++calls;
        CallerResponse response;
        response.status = step == "503" ? 503 : step == "429" ? 429 : 409;
        if (step == "429")
            response.headers["Retry-After"] = "0.4";
        if (step == "409" || step == "429" || step == "503")
            return response;
        // A slow service executes the call after the caller has given up.
        if (step == "slow")
            boost::this_fiber::sleep_for(std::chrono::milliseconds(1300));
        response.status = execute(request) ? 200 : 409;
        return response;
    }

    bool execute(const CallerRequest &request)
    {
        const uint64_t token = std::stoull(request.header("hickoryspur-fencing-token"));
        uint64_t window = 0;
        if (request.method != "POST" || request.path != "/usage" || request.header("hickoryspur-duty-holder") != "c1"
            || std::sscanf(request.body.c_str(), R"({"window-id":%lu,"counts":{"kami":)", &window) != 1)
            faults.push_back("malformed: " + request.body);
        if (bodies.emplace(window, request.body).first->second != request.body)
            faults.push_back("two contents: " + request.body);
        if (token < highestToken)
            return false;
        highestToken = token;
        if (accepted.empty() || accepted.back() != window)
            accepted.push_back(window);
        return true;
    }
};

} // namespace

class UsageReportsFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageReportsFailureTest);
    CPPUNIT_TEST(reports_serviceLateRefusingAndFailing_allArriveOnceInContent);
    CPPUNIT_TEST(call_answerWithoutEnd_failsAndIsBounded);
    CPPUNIT_TEST(call_dutyLostWhileConnecting_writesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void reports_serviceLateRefusingAndFailing_allArriveOnceInContent()
    {
        Service service;
        service.script = {"slow", "409", "429", "503"};
        size_t turns = 0;
        onFiberThread([&](const Context &context) {
            const ReservedPort port(*context);
            const HostAddress address = port.address();
            ServerLimits limits;
            limits.idleTimeout = std::chrono::milliseconds(300);
            auto server = HttpCallerServer::listen(
                *context, address, limits, [&](const CallerRequest &request) { return service.handle(request); });
            ControlState log;
            uint64_t index = 0;
            uint64_t counted = 0;
            HostSettings settings;
            settings.name = "c1";
            settings.usageAddress = address;
            settings.usageWindow = 200ms;
            settings.usageDue = Duration::zero();
            UsageReports::Hooks hooks;
            hooks.submit = [&](const Command &command, const GroupThread::DoneCallback &done) {
                done(log.apply(LogIndex(++index), command));
            };
            hooks.read = [&](const GroupThread::ReadCallback &callback) { callback(true, log, std::nullopt); };
            hooks.counts = [&](uint64_t) { return CustomerCounts{{CustomerName("kami"), ++counted}}; };
            const HostCodec codec = platform::makePlatformCodec();
            UsageReports reports(*context, settings, codec, std::move(hooks), 1);
            const TimePoint end = monotonicNow() + 20s;
            while (monotonicNow() < end && service.accepted.size() < 12) {
                turns += service.calls == 1 ? 1 : 0;
                reports.tick(monotonicNow(), {});
                boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
            }
            // A call that has begun ends before the reports do.
            boost::this_fiber::sleep_for(std::chrono::milliseconds(1200));
            server->reset();
            boost::this_fiber::sleep_for(limits.idleTimeout);
        });
        for (const std::string &fault : service.faults)
            CPPUNIT_FAIL(fault);
        CPPUNIT_ASSERT(service.accepted.size() >= 12);
        for (size_t i = 1; i < service.accepted.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(service.accepted[i - 1] + 1, service.accepted[i]);
        CPPUNIT_ASSERT_MESSAGE("the loop goes on during a call", turns > 10);
        CPPUNIT_ASSERT_MESSAGE("Retry-After is honoured", service.callTimes[3] - service.callTimes[2] >= 400ms);
    }

    void call_answerWithoutEnd_failsAndIsBounded()
    {
        boost::asio::io_context serverContext;
        tcp::acceptor acceptor(serverContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        const HostAddress address{"127.0.0.1", acceptor.local_endpoint().port()};
        size_t written = 0;
        std::thread server([&] {
            tcp::socket socket(serverContext);
            acceptor.accept(socket);
            boost::system::error_code error;
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
            std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            while (!error) {
                written += boost::asio::write(socket, boost::asio::buffer(bytes), error);
                bytes = "1000\r\n" + std::string(4096, 'x') + "\r\n";
            }
        });
        std::optional<Failure> result;
        onFiberThread([&](const Context &context) {
            HttpCallerClient client(*context, address);
            CallerRequest request;
            request.method = "POST";
            request.path = "/usage";
            const auto answer = client.exchangeOnce(request, CallLimits(), [] { return true; });
            if (!answer)
                result = answer.error();
        });
        server.join();
        CPPUNIT_ASSERT(result && !result->notRun);
        CPPUNIT_ASSERT(written < 64UL * 1024 * 1024);
    }

    void call_dutyLostWhileConnecting_writesNothing()
    {
        size_t calls = 0;
        std::optional<Failure> result;
        onFiberThread([&](const Context &context) {
            const ReservedPort port(*context);
            const HostAddress address = port.address();
            ServerLimits limits;
            limits.idleTimeout = std::chrono::milliseconds(100);
            auto server = HttpCallerServer::listen(*context, address, limits, [&](const CallerRequest &) {
                ++calls;
                return CallerResponse();
            });
            HttpCallerClient client(*context, address);
            CallerRequest request;
            request.method = "POST";
            request.path = "/usage";
            const auto answer = client.exchangeOnce(request, CallLimits(), [] { return false; });
            if (!answer)
                result = answer.error();
            boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
            server->reset();
            boost::this_fiber::sleep_for(2 * limits.idleTimeout);
        });
        CPPUNIT_ASSERT(result && result->notRun);
        CPPUNIT_ASSERT_EQUAL(size_t{0}, calls);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageReportsFailureTest);
