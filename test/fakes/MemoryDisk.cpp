#include "fakes/MemoryDisk.h"

#include <algorithm>

namespace hickoryspur {

MemoryDisk::MemoryDisk(MemberId self, Membership initial)
    : m_self(std::move(self))
{
    m_written.checkpoint.membership = std::move(initial);
    m_durable = m_written;
}

Result<void> MemoryDisk::checkSpace() const
{
    return m_full ? failure(ResultCode::DiskFailed, "the disk is full") : Result<void>();
}

Result<void> MemoryDisk::saveCheckpoint(const Checkpoint &checkpoint, CheckpointOrigin origin)
{
    if (m_full)
        return checkSpace();
    m_written.checkpoint = checkpoint;
    if (origin == CheckpointOrigin::FromLeader)
        m_written.entries.clear();
    std::erase_if(m_written.entries, [&](const LogEntry &entry) { return entry.index <= checkpoint.index; });
    // Saving a checkpoint replaces whole files, which are synced before they are renamed over the old ones.
    m_durable.checkpoint = m_written.checkpoint;
    m_durable.entries = m_written.entries;
    return {};
}

Result<void> MemoryDisk::truncateFrom(LogIndex index)
{
    std::erase_if(m_written.entries, [index](const LogEntry &entry) { return entry.index >= index; });
    return {};
}

Result<void> MemoryDisk::append(const std::vector<LogEntry> &entries)
{
    // A write may fail after a part of it; recovery truncates an incomplete record.
    const size_t written = m_full ? entries.size() / 2 : entries.size();
    m_written.entries.insert(m_written.entries.end(), entries.begin(),
                             entries.begin() + static_cast<std::ptrdiff_t>(written));
    return checkSpace();
}

Result<void> MemoryDisk::saveHardState(const HardState &state)
{
    if (m_full)
        return checkSpace();
    m_written.hardState = state;
    m_durable.hardState = state;
    return {};
}

Result<void> MemoryDisk::sync()
{
    m_durable = m_written;
    return {};
}

void MemoryDisk::crash(std::mt19937_64 &random)
{
    // A prefix of the unsynced entries may have reached the disk; recovery truncates an incomplete one.
    const size_t durableCount = std::min(m_durable.entries.size(), m_written.entries.size());
    const bool hasUnsyncedTail = m_written.entries.size() > m_durable.entries.size()
        && std::equal(m_durable.entries.begin(), m_durable.entries.end(), m_written.entries.begin());
    if (hasUnsyncedTail) {
        std::uniform_int_distribution<size_t> survivingCount(durableCount, m_written.entries.size());
        m_durable.entries.assign(m_written.entries.begin(),
                                 m_written.entries.begin() + static_cast<int64_t>(survivingCount(random)));
    }
    m_written = m_durable;
}

void MemoryDisk::lose(DiskIncarnation next)
{
    m_self.disk = next;
    m_written = Contents();
    m_durable = Contents();
}

RecoveredStorage MemoryDisk::recover() const
{
    RecoveredStorage recovered;
    recovered.self = m_self;
    recovered.log = {m_durable.hardState, m_durable.checkpoint, m_durable.entries};
    return recovered;
}

} // namespace hickoryspur
