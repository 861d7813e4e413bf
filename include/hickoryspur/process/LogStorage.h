// Where a control host's log lives. LogStorage is the narrow interface that the control thread
// writes through; FileLogStorage keeps it in one data folder, and the tests put a fake disk behind it.
// Nothing counts as durable before sync() has returned.
#pragma once

#include "hickoryspur/process/ReplicatedLog.h"

#include <memory>
#include <string>

namespace hickoryspur {

struct RecoveredStorage
{
    MemberId self;
    RecoveredLog log;
    /** Bytes of a torn record cut off the end of the log. */
    uint64_t truncatedBytes = 0;
};

enum class CheckpointOrigin { Local, FromLeader };

class LogStorage
{
public:
    LogStorage() = default;
    LogStorage(const LogStorage &) = delete;
    LogStorage &operator=(const LogStorage &) = delete;
    virtual ~LogStorage() = default;

    /**
     * Replaces the checkpoint and the log behind it in one step. The entries after it stay where they
     * follow on from it (one made here) and go where it came from the leader.
     */
    virtual Result<void> saveCheckpoint(const Checkpoint &checkpoint, CheckpointOrigin origin) = 0;
    virtual Result<void> truncateFrom(LogIndex index) = 0;
    virtual Result<void> append(const std::vector<LogEntry> &entries) = 0;
    virtual Result<void> saveHardState(const HardState &state) = 0;
    virtual Result<void> sync() = 0;
};

/** Carries out the disk part of LogActions and makes it durable. */
Result<void> persist(LogStorage &storage, const LogActions &actions);

/** One record of the log file: length, checksum, payload. A reader stops at the first bad one. */
std::string encodeRecord(const std::string &payload);

/** Keeps bytes that are no part of the log in a file of the data folder, whole and durable or as before. */
Result<void> saveRecordFile(const std::string &folder, const std::string &name, const std::string &payload);
/** Nothing where the file is missing or damaged. */
std::optional<std::string> loadRecordFile(const std::string &folder, const std::string &name);

class FileLogStorage : public LogStorage
{
public:
    /**
     * Prepares an empty folder as one of the first voters. Fails where the folder already holds a
     * log: a folder is formatted once, and a host that lost its disk joins again instead.
     */
    static Result<void> format(const std::string &folder, const NodeId &node, const std::vector<NodeId> &voters);
    /** Opens the folder; an empty one becomes a new disk incarnation that belongs to no membership yet. */
    static Result<std::unique_ptr<FileLogStorage>> open(const std::string &folder, const NodeId &node,
                                                        uint64_t newDiskIncarnation, RecoveredStorage &recovered);
    ~FileLogStorage() override;

    Result<void> saveCheckpoint(const Checkpoint &checkpoint, CheckpointOrigin origin) override;
    Result<void> truncateFrom(LogIndex index) override;
    Result<void> append(const std::vector<LogEntry> &entries) override;
    Result<void> saveHardState(const HardState &state) override;
    Result<void> sync() override;

private:
    explicit FileLogStorage(std::string folder);
    Result<void> recoverEntries(RecoveredStorage &recovered);
    Result<void> rewriteEntries();
    Result<void> openLog();
    std::string logPath() const;

    std::string m_folder;
    /** The log file is named after the checkpoint that it follows. */
    LogIndex m_checkpointIndex;
    int m_logFile = -1;
    bool m_needsSync = false;
    /** Offset of each entry in the file, so that a truncation cuts at a record's start. */
    std::vector<std::pair<LogIndex, int64_t>> m_offsets;
    int64_t m_logSize = 0;
    std::vector<LogEntry> m_entries;
};

} // namespace hickoryspur
