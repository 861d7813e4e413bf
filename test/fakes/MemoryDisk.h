// A disk in memory behind the LogStorage interface. What was not synced is lost, torn or kept when
// the host crashes, as the seed says; a lost disk comes back empty.
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

    /** The host goes down: unsynced writes survive only in part. */
    void crash(std::mt19937_64 &random);
    /** The host comes back with a new, empty disk. */
    void lose(DiskIncarnation next);
    RecoveredStorage recover() const;
    const MemberId &self() const { return m_self; }

private:
    struct Contents
    {
        HardState hardState;
        Checkpoint checkpoint;
        std::vector<LogEntry> entries;
    };

    MemberId m_self;
    Contents m_written;
    Contents m_durable;
};

} // namespace hickoryspur
