// Durable storage of a control host's replicated log. The control thread writes through the LogStorage
// interface; FileLogStorage implements it with files in one data folder, and tests use an in-memory
// disk. Callers must not treat anything as durable before sync() has returned.
#pragma once

#include "hickoryspur/process/ReplicatedLog.h"

#include <functional>
#include <memory>
#include <string>
#include <unistd.h>

namespace hickoryspur {

struct RecoveredStorage
{
    MemberId self;
    RecoveredLog log;
    /** Size of an incomplete last record that was removed from the end of the log, in bytes. */
    uint64_t truncatedBytes = 0;
};

/** Whether this host made a checkpoint from its own log or received it from the leader. */
enum class CheckpointOrigin { Local, FromLeader };

class LogStorage
{
public:
    LogStorage() = default;
    LogStorage(const LogStorage &) = delete;
    LogStorage &operator=(const LogStorage &) = delete;
    virtual ~LogStorage() = default;

    /**
     * Atomically replaces the checkpoint and drops the entries that it covers. The entries after it stay
     * if the checkpoint is local and are dropped if it is from the leader, since they may not follow it.
     */
    virtual Result<void> saveCheckpoint(const Checkpoint &checkpoint, CheckpointOrigin origin) = 0;
    /** Drops the entry at the index and all later ones. */
    virtual Result<void> truncateFrom(LogIndex index) = 0;
    virtual Result<void> append(const std::vector<LogEntry> &entries) = 0;
    virtual Result<void> saveHardState(const HardState &state) = 0;
    /** Makes everything that was written before durable. */
    virtual Result<void> sync() = 0;
};

/** Executes the disk writes of LogActions and makes them durable. */
Result<void> persist(LogStorage &storage, const LogActions &actions);

/**
 * Encodes one record of a file in the data folder: length, checksum, payload. When a log is opened, an
 * invalid last record is truncated; an invalid earlier one is an error.
 */
std::string encodeRecord(const std::string &payload);

/** Atomically and durably replaces a file in the data folder that is not part of the log. */
Result<void> saveRecordFile(const std::string &folder, const std::string &name, const std::string &payload);
/** The payload of a file written by saveRecordFile(); nullopt if the file is missing or damaged. */
std::optional<std::string> loadRecordFile(const std::string &folder, const std::string &name);

class FileLogStorage : public LogStorage
{
public:
    /**
     * Prepares an empty folder for one of the first voters. Fails if the folder already holds a log. A
     * host that lost its disk must not format the new one but join the group again.
     */
    static Result<void> format(const std::string &folder, const NodeId &node, const std::vector<NodeId> &voters);
    /** Makes a file's contents durable; returns 0, or -1 with errno set. */
    using SyncFile = std::function<int(int file)>;
    /**
     * Opens the folder. An empty one gets newDiskIncarnation and belongs to no membership yet. The recovered entries
     * are durable: an earlier process may have ended between writing them and syncing them.
     */
    static Result<std::unique_ptr<FileLogStorage>> open(const std::string &folder, const NodeId &node,
                                                        uint64_t newDiskIncarnation, RecoveredStorage &recovered,
                                                        SyncFile syncFile = ::fdatasync);
    ~FileLogStorage() override;

    Result<void> saveCheckpoint(const Checkpoint &checkpoint, CheckpointOrigin origin) override;
    Result<void> truncateFrom(LogIndex index) override;
    Result<void> append(const std::vector<LogEntry> &entries) override;
    Result<void> saveHardState(const HardState &state) override;
    Result<void> sync() override;

private:
    FileLogStorage(std::string folder, SyncFile syncFile);
    Result<void> recoverEntries(RecoveredStorage &recovered);
    Result<void> rewriteEntries();
    /** Removes files of a checkpoint that could not be completed; each would keep its room on the disk for good. */
    void removeLeftovers() const;
    Result<void> openLog();
    std::string logPath() const;

    std::string m_folder;
    SyncFile m_syncFile;
    /** Index of the checkpoint before the entries; part of the log file's name. */
    LogIndex m_checkpointIndex;
    int m_logFile = -1;
    bool m_needsSync = false;
    /** Offset of each entry's record in the log file. */
    std::vector<std::pair<LogIndex, int64_t>> m_offsets;
    int64_t m_logSize = 0;
    /** All entries in the log file. */
    std::vector<LogEntry> m_entries;
};

} // namespace hickoryspur
