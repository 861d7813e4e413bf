// Guards against log output that blocks the process. It would block when nobody reads standard output and the
// pipe is full, or when a line is longer than a writable pipe is sure to accept.
#include "process/BoundedLogSink.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace hickoryspur;

class BoundedLogSinkFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BoundedLogSinkFailureTest);
    CPPUNIT_TEST(log_pipeFull_dropsAndCountsLines);
    CPPUNIT_TEST(log_longLine_isTruncated);
    CPPUNIT_TEST_SUITE_END();

    void write(BoundedLogSink &log, const std::string &text) const
    {
        log.send(google::GLOG_INFO, "f.cpp", "f.cpp", 1, google::LogMessageTime(), text.data(), text.size());
    }

    std::string readAll() const
    {
        ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        std::string all;
        std::array<char, 65536> buffer{};
        for (ssize_t count = 0; (count = ::read(m_pipe[0], buffer.data(), buffer.size())) > 0;)
            all.append(buffer.data(), static_cast<size_t>(count));
        return all;
    }

public:
    void setUp() override { CPPUNIT_ASSERT_EQUAL(0, ::pipe(m_pipe.data())); }

    void tearDown() override
    {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    void log_pipeFull_dropsAndCountsLines()
    {
        BoundedLogSink log(m_pipe[1]);
        // 1 MB is many times the capacity of a pipe: a blocking write would never return.
        for (int i = 0; i < 10000; ++i)
            write(log, std::string(100, 'x'));
        readAll();
        write(log, "after");
        const std::string last = readAll();
        CPPUNIT_ASSERT(last.find("left-out=") != std::string::npos);
        CPPUNIT_ASSERT(last.find("after") != std::string::npos);
    }

    void log_longLine_isTruncated()
    {
        BoundedLogSink log(m_pipe[1]);
        write(log, std::string(100000, 'x'));
        CPPUNIT_ASSERT_EQUAL(BoundedLogSink::kMaxLineBytes, readAll().size());
    }

private:
    std::array<int, 2> m_pipe{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedLogSinkFailureTest);
