// Guards against requests to the control thread that are never answered while the disk does not work.
#include "process/GroupThread.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <unistd.h>

using namespace hickoryspur;

class GroupThreadFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GroupThreadFailureTest);
    CPPUNIT_TEST(logReport_logIsClosed_isAnsweredWithoutAReport);
    CPPUNIT_TEST(logReport_logIsOpenAndDurable_isAnsweredWithAReport);
    CPPUNIT_TEST_SUITE_END();

    static constexpr auto kTimeout = std::chrono::seconds(10);

    std::unique_ptr<GroupThread> start() const
    {
        GroupThreadConfig config;
        config.self = NodeId("127.0.0.1:7000");
        config.dataFolder = m_folder;
        config.seeds = {config.self};
        config.formsGroup = true;
        config.incarnation = 1;
        GroupThread::Hooks hooks;
        hooks.send = [](const LogEnvelope &) {};
        hooks.publish = [](const GroupStatus &) {};
        hooks.restoreNotes = [](const std::string &) {};
        return std::make_unique<GroupThread>(std::move(config), std::move(hooks));
    }

    /** The answer to one request; fails if there is none. */
    static std::optional<LogReport> requestReport(GroupThread &group)
    {
        const auto promise = std::make_shared<std::promise<std::optional<LogReport>>>();
        std::future<std::optional<LogReport>> answer = promise->get_future();
        group.requestLogReport([promise](std::optional<LogReport> report) { promise->set_value(std::move(report)); });
        CPPUNIT_ASSERT(answer.wait_for(kTimeout) == std::future_status::ready);
        return answer.get();
    }

public:
    void setUp() override
    {
        m_folder =
            (std::filesystem::temp_directory_path() / ("hickoryspur-group-" + std::to_string(::getpid()))).string();
        std::filesystem::remove_all(m_folder);
    }

    void tearDown() override { std::filesystem::remove_all(m_folder); }

    // Guards against an entry that never gets a host's log, since the first request for it came too early.
    void logReport_logIsClosed_isAnsweredWithoutAReport()
    {
        std::ofstream(m_folder) << "a file where the folder should be";
        const std::unique_ptr<GroupThread> group = start();
        CPPUNIT_ASSERT(!requestReport(*group));
    }

    void logReport_logIsOpenAndDurable_isAnsweredWithAReport()
    {
        const std::unique_ptr<GroupThread> group = start();
        std::optional<LogReport> report;
        const auto deadline = std::chrono::steady_clock::now() + kTimeout;
        while (!report && std::chrono::steady_clock::now() < deadline)
            report = requestReport(*group);
        CPPUNIT_ASSERT(report);
        CPPUNIT_ASSERT_EQUAL(size_t(1), report->voters.size());
    }

private:
    std::string m_folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupThreadFailureTest);
