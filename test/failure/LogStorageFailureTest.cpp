// Guards against losing synced log entries, or accepting damaged ones, when a data folder is opened after
// a crash, with a damaged file, after a checkpoint, or on the wrong host.
#include "hickoryspur/process/LogStorage.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <thread>

using namespace hickoryspur;

class LogStorageFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogStorageFailureTest);
    CPPUNIT_TEST(log_reopened_holdsSyncedEntries);
    CPPUNIT_TEST(log_lastRecordTorn_isTruncated);
    CPPUNIT_TEST(log_endedBeforeItsSync_isSyncedWhenOpened);
    CPPUNIT_TEST(log_syncFailsWhenOpened_failsToOpen);
    CPPUNIT_TEST(log_syncIsSlowWhenOpened_isReported);
    CPPUNIT_TEST(log_cutBack_isSyncedBeforeItIsWrittenAgain);
    CPPUNIT_TEST(log_damagedInTheMiddle_openFailsNamingFileAndOffset);
    CPPUNIT_TEST(log_checkpointFromLeader_dropsLaterEntries);
    CPPUNIT_TEST(log_localCheckpoint_keepsLaterEntries);
    CPPUNIT_TEST(folder_formattedTwice_fails);
    CPPUNIT_TEST(folder_ofAnotherHost_failsToOpen);
    CPPUNIT_TEST(folder_empty_opensAsANewDiskWithoutMembership);
    CPPUNIT_TEST(disk_fullInsideARecord_reopensWithTheWholeRecords);
    CPPUNIT_TEST(disk_fullInsideACheckpoint_reopensWithTheOldOne);
    CPPUNIT_TEST(disk_fullAgainAndAgain_leavesNoFilesBehind);
    CPPUNIT_TEST_SUITE_END();

    /** Files cannot grow beyond a size while this exists, as on a disk without room; a write stops inside a record. */
    class FileSizeLimit
    {
    public:
        explicit FileSizeLimit(rlim_t bytes)
        {
            ::getrlimit(RLIMIT_FSIZE, &m_before);
            const rlimit limit{bytes, m_before.rlim_max};
            m_handler = std::signal(SIGXFSZ, SIG_IGN);
            ::setrlimit(RLIMIT_FSIZE, &limit);
        }
        ~FileSizeLimit()
        {
            ::setrlimit(RLIMIT_FSIZE, &m_before);
            std::signal(SIGXFSZ, m_handler);
        }
        FileSizeLimit(const FileSizeLimit &) = delete;
        FileSizeLimit &operator=(const FileSizeLimit &) = delete;

    private:
        rlimit m_before{};
        void (*m_handler)(int);
    };

    size_t fileCount() const
    {
        const std::filesystem::directory_iterator files(m_folder);
        return static_cast<size_t>(std::distance(begin(files), end(files)));
    }

    static Checkpoint checkpointAt(uint64_t index, size_t bytes)
    {
        Checkpoint checkpoint;
        checkpoint.index = LogIndex(index);
        checkpoint.term = Term(1);
        checkpoint.state = std::string(bytes, 's');
        return checkpoint;
    }

    std::unique_ptr<FileLogStorage> open()
    {
        m_recovered = RecoveredStorage();
        auto storage = FileLogStorage::open(m_folder, NodeId("a"), 77, m_recovered);
        if (!storage) {
            m_failure = storage.error();
            return nullptr;
        }
        return std::move(*storage);
    }

    static std::vector<LogEntry> entries(uint64_t first, uint64_t last)
    {
        std::vector<LogEntry> result;
        for (uint64_t i = first; i <= last; ++i)
            result.push_back({LogIndex(i), Term(1), 0, "entry " + std::to_string(i)});
        return result;
    }

    std::string logFile(uint64_t after) const { return m_folder + "/log-after-" + std::to_string(after); }

    void write(uint64_t first, uint64_t last)
    {
        const auto storage = open();
        CPPUNIT_ASSERT(storage->append(entries(first, last)) && storage->sync());
    }

public:
    void setUp() override
    {
        m_folder =
            (std::filesystem::temp_directory_path() / ("hickoryspur-test-" + std::to_string(::getpid()))).string();
        std::filesystem::remove_all(m_folder);
        CPPUNIT_ASSERT(FileLogStorage::format(m_folder, NodeId("a"), {NodeId("a"), NodeId("b"), NodeId("c")}));
    }

    void tearDown() override { std::filesystem::remove_all(m_folder); }

    void disk_fullInsideARecord_reopensWithTheWholeRecords()
    {
        write(1, 5);
        {
            const auto storage = open();
            const FileSizeLimit limit(std::filesystem::file_size(logFile(0)) + 10);
            CPPUNIT_ASSERT(!storage->append(entries(6, 7)));
            CPPUNIT_ASSERT(open());
        }
        CPPUNIT_ASSERT(m_recovered.log.entries == entries(1, 5));
        write(6, 7);
        CPPUNIT_ASSERT(open());
        CPPUNIT_ASSERT(m_recovered.log.entries == entries(1, 7));
    }

    void disk_fullInsideACheckpoint_reopensWithTheOldOne()
    {
        write(1, 5);
        {
            const auto storage = open();
            const FileSizeLimit limit(1000);
            CPPUNIT_ASSERT(!storage->saveCheckpoint(checkpointAt(3, 5000), CheckpointOrigin::Local));
            CPPUNIT_ASSERT(open());
        }
        CPPUNIT_ASSERT(m_recovered.log.entries == entries(1, 5));
        CPPUNIT_ASSERT_EQUAL(LogIndex(0), m_recovered.log.checkpoint.index);
        CPPUNIT_ASSERT(open()->saveCheckpoint(checkpointAt(3, 5000), CheckpointOrigin::Local));
        CPPUNIT_ASSERT(open());
        CPPUNIT_ASSERT(m_recovered.log.entries == entries(4, 5));
    }

    // Otherwise what failed writes leave behind fills the disk for good.
    void disk_fullAgainAndAgain_leavesNoFilesBehind()
    {
        write(1, 9);
        const size_t before = fileCount();
        for (uint64_t index = 1; index < 9; ++index) {
            const auto storage = open();
            const FileSizeLimit limit(1000);
            CPPUNIT_ASSERT(!storage->saveCheckpoint(checkpointAt(index, 5000), CheckpointOrigin::Local));
        }
        CPPUNIT_ASSERT(open());
        CPPUNIT_ASSERT_EQUAL(before, fileCount());
        CPPUNIT_ASSERT(m_recovered.log.entries == entries(1, 9));
    }

    void log_reopened_holdsSyncedEntries()
    {
        write(1, 5);
        CPPUNIT_ASSERT(open());
        CPPUNIT_ASSERT(m_recovered.log.entries == entries(1, 5));
        CPPUNIT_ASSERT_EQUAL(size_t(3), m_recovered.log.checkpoint.membership.voters.size());
    }

    void log_lastRecordTorn_isTruncated()
    {
        write(1, 5);
        std::filesystem::resize_file(logFile(0), std::filesystem::file_size(logFile(0)) - 3);
        CPPUNIT_ASSERT(open());
        CPPUNIT_ASSERT(m_recovered.log.entries == entries(1, 4));
        CPPUNIT_ASSERT(m_recovered.truncatedBytes > 0);
        write(5, 6);
        CPPUNIT_ASSERT(open());
        CPPUNIT_ASSERT(m_recovered.log.entries == entries(1, 6));
    }

    // Guards against an entry that this host acknowledges again after a restart and loses with the next loss of power.
    void log_endedBeforeItsSync_isSyncedWhenOpened()
    {
        CPPUNIT_ASSERT(open()->append(entries(1, 3)));
        int syncs = 0;
        const auto countSync = [&syncs](int) {
            ++syncs;
            return 0;
        };
        CPPUNIT_ASSERT(FileLogStorage::open(m_folder, NodeId("a"), 77, m_recovered, countSync));
        CPPUNIT_ASSERT(m_recovered.log.entries == entries(1, 3));
        CPPUNIT_ASSERT_EQUAL(1, syncs);
    }

    // After a loss of power, old records behind a torn new one would make the log look damaged in the middle.
    void log_cutBack_isSyncedBeforeItIsWrittenAgain()
    {
        write(1, 9);
        int syncs = 0;
        const auto countSync = [&syncs](int) {
            ++syncs;
            return 0;
        };
        const auto storage = FileLogStorage::open(m_folder, NodeId("a"), 77, m_recovered, countSync);
        CPPUNIT_ASSERT(storage);
        const int before = syncs;
        CPPUNIT_ASSERT((*storage)->truncateFrom(LogIndex(5)));
        CPPUNIT_ASSERT_EQUAL(before + 1, syncs);
    }

    // A host that does not know how slow its disk is gives up its first elections before their votes are written.
    void log_syncIsSlowWhenOpened_isReported()
    {
        constexpr Duration kSync = 100ms;
        write(1, 3);
        const auto opened = FileLogStorage::open(m_folder, NodeId("a"), 77, m_recovered, [kSync](int) {
            std::this_thread::sleep_for(kSync);
            return 0;
        });
        CPPUNIT_ASSERT(opened);
        CPPUNIT_ASSERT(m_recovered.log.writeTime >= 2 * kSync);
    }

    void log_syncFailsWhenOpened_failsToOpen()
    {
        write(1, 3);
        const auto opened = FileLogStorage::open(m_folder, NodeId("a"), 77, m_recovered, [](int) { return -1; });
        CPPUNIT_ASSERT(!opened);
        CPPUNIT_ASSERT_EQUAL(ResultCode::DiskFailed, opened.error().code);
    }

    void log_damagedInTheMiddle_openFailsNamingFileAndOffset()
    {
        write(1, 5);
        std::fstream file(logFile(0), std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(20);
        file.put('\x7f');
        file.close();
        CPPUNIT_ASSERT(!open());
        CPPUNIT_ASSERT_EQUAL(ResultCode::LogCorrupt, m_failure.code);
        CPPUNIT_ASSERT(m_failure.message.find("log-after-0: the record at offset 0") != std::string::npos);
    }

    void log_checkpointFromLeader_dropsLaterEntries()
    {
        write(1, 9);
        Checkpoint checkpoint;
        checkpoint.index = LogIndex(5);
        checkpoint.term = Term(2);
        CPPUNIT_ASSERT(open()->saveCheckpoint(checkpoint, CheckpointOrigin::FromLeader));
        CPPUNIT_ASSERT(open());
        CPPUNIT_ASSERT(m_recovered.log.entries.empty());
        CPPUNIT_ASSERT_EQUAL(uint64_t(5), m_recovered.log.checkpoint.index.value());
    }

    void log_localCheckpoint_keepsLaterEntries()
    {
        write(1, 9);
        Checkpoint checkpoint;
        checkpoint.index = LogIndex(5);
        checkpoint.term = Term(1);
        CPPUNIT_ASSERT(open()->saveCheckpoint(checkpoint, CheckpointOrigin::Local));
        CPPUNIT_ASSERT(open());
        CPPUNIT_ASSERT(m_recovered.log.entries == entries(6, 9));
        CPPUNIT_ASSERT(!std::filesystem::exists(logFile(0)));
    }

    void folder_formattedTwice_fails()
    {
        CPPUNIT_ASSERT_EQUAL(ResultCode::DiskFailed,
                             FileLogStorage::format(m_folder, NodeId("a"), {NodeId("a")}).error().code);
    }

    void folder_ofAnotherHost_failsToOpen()
    {
        RecoveredStorage recovered;
        const auto storage = FileLogStorage::open(m_folder, NodeId("b"), 78, recovered);
        CPPUNIT_ASSERT_EQUAL(ResultCode::LogCorrupt, storage.error().code);
    }

    void folder_empty_opensAsANewDiskWithoutMembership()
    {
        std::filesystem::remove_all(m_folder);
        CPPUNIT_ASSERT(open());
        CPPUNIT_ASSERT_EQUAL(uint64_t(77), m_recovered.self.disk.value());
        CPPUNIT_ASSERT(m_recovered.log.checkpoint.membership.voters.empty());
    }

private:
    std::string m_folder;
    RecoveredStorage m_recovered;
    Failure m_failure;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStorageFailureTest);
