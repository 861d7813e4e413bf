// An in-memory implementation of LogStorage. When the host crashes, a random part of the unsynced
// entries survives; a lost disk is replaced by an empty one. A full disk refuses every write; of an append
// it keeps a random prefix.
#pragma once

#include "hickoryspur/process/LogStorage.h"

#include <random>

namespace hickoryspur {

class MemoryDisk : public LogStorage
{
public:
    explicit MemoryDisk(MemberId self, Membership initial);

    Result<void> saveCheckpoint(const Checkpoint &checkpoint, CheckpointOrigin origin) override;
    Result<void> truncateFrom(LogIndex index) override;
    Result<void> append(const std::vector<LogEntry> &entries) override;
    Result<void> saveHardState(const HardState &state) override;
    Result<void> sync() override;

    /** Keeps the synced state and a random prefix of the unsynced appended entries. */
    void crash(std::mt19937_64 &random);
    /** While the disk is full every write fails; what was written before can be read and synced. */
    void setFull(bool full) { m_full = full; }
    /** Replaces the disk by an empty one with a new incarnation. */
    void lose(DiskIncarnation next);
    RecoveredStorage recover() const;
    const MemberId &self() const { return m_self; }

private:
    Result<void> checkSpace() const;

    struct Contents
    {
        HardState hardState;
        Checkpoint checkpoint;
        std::vector<LogEntry> entries;
    };

    MemberId m_self;
    bool m_full = false;
    Contents m_written;
    Contents m_durable;
};

} // namespace hickoryspur
