#include "hickoryspur/process/LogStorage.h"

#include "hickoryspur/process/Check.h"
#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/MessageCodec.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace hickoryspur {

namespace {

namespace fs = std::filesystem;

constexpr const char *kLogPrefix = "log-after-";
constexpr const char *kTemporarySuffix = ".new";
constexpr const char *kHardStateFile = "hard-state";
constexpr const char *kCheckpointFile = "checkpoint";
constexpr const char *kIdentityFile = "identity";
constexpr size_t kHeaderBytes = 16;
/** The disk incarnation of a folder that format() prepared. */
constexpr uint64_t kFormattedIncarnation = 1;
/** The file is synced, and then its folder. */
constexpr int kSyncsPerReplacedFile = 2;

Result<void> diskFailure(const std::string &context)
{
    return failure(ResultCode::DiskFailed, context + ": " + std::strerror(errno));
}

Result<void> writeAll(int file, const std::string &bytes, const std::string &path)
{
    size_t offset = 0;
    while (offset < bytes.size()) {
        const ssize_t written = ::write(file, bytes.data() + offset, bytes.size() - offset);
        if (written < 0)
            return diskFailure(path);
        offset += static_cast<size_t>(written);
    }
    return {};
}

Result<void> syncFolder(const std::string &folder)
{
    const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0)
        return diskFailure(folder);
    const int status = ::fsync(handle);
    ::close(handle);
    return status == 0 ? Result<void>() : diskFailure(folder);
}

/** Replaces a file atomically: after a crash either the old or the new one is there. */
Result<void> replaceFile(const std::string &folder, const std::string &name, const std::string &bytes)
{
    const std::string path = folder + '/' + name;
    const std::string temporary = path + kTemporarySuffix;
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0)
        return diskFailure(temporary);
    Result<void> result = writeAll(file, bytes, temporary);
    if (result && ::fdatasync(file) != 0)
        result = diskFailure(temporary);
    ::close(file);
    if (!result) {
        ::unlink(temporary.c_str());
        return result;
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return diskFailure(path);
    return syncFolder(folder);
}

uint64_t readNumber(const char *bytes)
{
    uint64_t value = 0;
    std::memcpy(&value, bytes, sizeof(value));
    return value;
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/** The payload of the record at an offset; nullopt if it is incomplete or its checksum does not match. */
std::optional<std::string> decodeRecord(const std::string &bytes, size_t offset)
{
    if (bytes.size() < offset + kHeaderBytes)
        return std::nullopt;
    const uint64_t size = readNumber(bytes.data() + offset);
    if (size > kMaxMessageBytes || bytes.size() - offset - kHeaderBytes < size)
        return std::nullopt;
    std::string payload = bytes.substr(offset + kHeaderBytes, size);
    if (hash64(payload, size) != readNumber(bytes.data() + offset + sizeof(uint64_t)))
        return std::nullopt;
    return payload;
}

template <typename Value> Result<std::optional<Value>> readRecordFile(const std::string &folder, const char *name)
{
    const std::string path = folder + '/' + name;
    const std::optional<std::string> bytes = readFile(path);
    if (!bytes)
        return std::optional<Value>();
    const std::optional<std::string> payload = decodeRecord(*bytes, 0);
    const std::optional<Value> value = payload ? unpack<Value>(*payload) : std::nullopt;
    if (!value)
        return failure(ResultCode::LogCorrupt, path + ": the record at offset 0 is damaged");
    return value;
}

/**
 * True if a valid record starts at any later byte. Then the damaged record is not the incomplete last
 * one that a crash leaves, and truncating the log there would lose entries.
 */
bool hasRecordAfter(const std::string &bytes, size_t offset)
{
    for (size_t next = offset + 1; next + kHeaderBytes < bytes.size(); ++next)
        if (decodeRecord(bytes, next))
            return true;
    return false;
}

} // namespace

std::string encodeRecord(const std::string &payload)
{
    const std::array<uint64_t, 2> header = {payload.size(), hash64(payload, payload.size())};
    std::string result(reinterpret_cast<const char *>(header.data()), sizeof(header));
    return result + payload;
}

Result<void> persist(LogStorage &storage, const LogActions &actions)
{
    if (!actions.needsSync())
        return {};
    Result<void> result;
    if (actions.installCheckpoint)
        result = storage.saveCheckpoint(*actions.installCheckpoint, CheckpointOrigin::FromLeader);
    if (result && actions.truncateFrom)
        result = storage.truncateFrom(*actions.truncateFrom);
    if (result && !actions.append.empty())
        result = storage.append(actions.append);
    if (result && actions.saveHardState)
        result = storage.saveHardState(*actions.saveHardState);
    return result ? storage.sync() : result;
}

Result<void> saveRecordFile(const std::string &folder, const std::string &name, const std::string &payload)
{
    return replaceFile(folder, name, encodeRecord(payload));
}

std::optional<std::string> loadRecordFile(const std::string &folder, const std::string &name)
{
    const std::optional<std::string> bytes = readFile(folder + '/' + name);
    return bytes ? decodeRecord(*bytes, 0) : std::nullopt;
}

FileLogStorage::FileLogStorage(std::string folder, SyncFile syncFile)
    : m_folder(std::move(folder))
    , m_syncFile(std::move(syncFile))
{
}

FileLogStorage::~FileLogStorage()
{
    if (m_logFile >= 0)
        ::close(m_logFile);
}

Result<void> FileLogStorage::format(const std::string &folder, const NodeId &node, const std::vector<NodeId> &voters)
{
    std::error_code error;
    fs::create_directories(folder, error);
    if (fs::exists(folder + '/' + kIdentityFile))
        return failure(ResultCode::DiskFailed, folder + " already holds a log; only an empty folder can be formatted");
    Checkpoint checkpoint;
    for (const NodeId &voter : voters)
        checkpoint.membership.voters.push_back({voter, DiskIncarnation(kFormattedIncarnation)});
    return replaceFile(folder, kCheckpointFile, encodeRecord(pack(checkpoint))).and_then([&] {
        return replaceFile(folder, kIdentityFile,
                           encodeRecord(pack(MemberId{node, DiskIncarnation(kFormattedIncarnation)})));
    });
}

Result<std::unique_ptr<FileLogStorage>> FileLogStorage::open(const std::string &folder, const NodeId &node,
                                                             uint64_t newDiskIncarnation, RecoveredStorage &recovered,
                                                             SyncFile syncFile)
{
    std::error_code error;
    fs::create_directories(folder, error);
    std::unique_ptr<FileLogStorage> storage(new FileLogStorage(folder, std::move(syncFile)));
    const auto identity = readRecordFile<MemberId>(folder, kIdentityFile);
    if (!identity)
        return tl::unexpected(identity.error());
    recovered.self = identity->value_or(MemberId{node, DiskIncarnation(newDiskIncarnation)});
    if (recovered.self.node != node)
        return failure(ResultCode::LogCorrupt, folder + " belongs to " + recovered.self.node.value());
    if (!*identity) {
        const Result<void> written = replaceFile(folder, kIdentityFile, encodeRecord(pack(recovered.self)));
        if (!written)
            return tl::unexpected(written.error());
    }
    const auto checkpoint = readRecordFile<Checkpoint>(folder, kCheckpointFile);
    if (!checkpoint)
        return tl::unexpected(checkpoint.error());
    recovered.log.checkpoint = checkpoint->value_or(Checkpoint());
    storage->m_checkpointIndex = recovered.log.checkpoint.index;
    const auto hardState = readRecordFile<HardState>(folder, kHardStateFile);
    if (!hardState)
        return tl::unexpected(hardState.error());
    recovered.log.hardState = hardState->value_or(HardState());
    storage->removeLeftovers();
    Result<void> result = storage->openLog().and_then([&] { return storage->recoverEntries(recovered); });
    if (!result)
        return tl::unexpected(result.error());
    return storage;
}

void FileLogStorage::removeLeftovers() const
{
    std::error_code error;
    for (const fs::directory_entry &file : fs::directory_iterator(m_folder, error)) {
        const std::string name = file.path().filename().string();
        const bool isLog = name.rfind(kLogPrefix, 0) == 0;
        if (name.ends_with(kTemporarySuffix) || (isLog && file.path().string() != logPath()))
            ::unlink(file.path().c_str());
    }
}

Result<void> FileLogStorage::openLog()
{
    const std::string path = logPath();
    m_logFile = ::open(path.c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    return m_logFile < 0 ? diskFailure(path) : syncFolder(m_folder);
}

Result<void> FileLogStorage::recoverEntries(RecoveredStorage &recovered)
{
    const std::string path = logPath();
    const std::string bytes = readFile(path).value_or("");
    LogIndex expected(recovered.log.checkpoint.index.value() + 1);
    size_t offset = 0;
    while (offset < bytes.size()) {
        const std::optional<std::string> payload = decodeRecord(bytes, offset);
        const std::optional<LogEntry> entry = payload ? unpack<LogEntry>(*payload) : std::nullopt;
        if (!entry) {
            if (hasRecordAfter(bytes, offset))
                return failure(ResultCode::LogCorrupt,
                               path + ": the record at offset " + std::to_string(offset) + " is damaged");
            recovered.truncatedBytes = bytes.size() - offset;
            break;
        }
        if (entry->index != expected)
            return failure(ResultCode::LogCorrupt,
                           path + ": offset " + std::to_string(offset) + " holds entry "
                               + std::to_string(entry->index.value()) + ", expected "
                               + std::to_string(expected.value()));
        m_offsets.emplace_back(entry->index, static_cast<int64_t>(offset));
        offset += kHeaderBytes + payload->size();
        expected = LogIndex(expected.value() + 1);
        m_entries.push_back(*entry);
    }
    m_logSize = static_cast<int64_t>(offset);
    recovered.log.entries = m_entries;
    if (recovered.truncatedBytes > 0 && ::ftruncate(m_logFile, m_logSize) != 0)
        return diskFailure(path);
    m_needsSync = true;
    const TimePoint start = monotonicNow();
    Result<void> synced = sync();
    recovered.log.writeTime = kSyncsPerReplacedFile * (monotonicNow() - start);
    return synced;
}

Result<void> FileLogStorage::append(const std::vector<LogEntry> &entries)
{
    std::string bytes;
    for (const LogEntry &entry : entries) {
        m_offsets.emplace_back(entry.index, m_logSize + static_cast<int64_t>(bytes.size()));
        bytes += encodeRecord(pack(entry));
        m_entries.push_back(entry);
    }
    m_logSize += static_cast<int64_t>(bytes.size());
    m_needsSync = true;
    return writeAll(m_logFile, bytes, logPath());
}

Result<void> FileLogStorage::truncateFrom(LogIndex index)
{
    std::erase_if(m_entries, [index](const LogEntry &entry) { return entry.index >= index; });
    const auto first =
        std::find_if(m_offsets.begin(), m_offsets.end(), [index](const auto &item) { return item.first >= index; });
    if (first == m_offsets.end())
        return {};
    m_logSize = first->second;
    m_offsets.erase(first, m_offsets.end());
    m_needsSync = true;
    if (::ftruncate(m_logFile, m_logSize) != 0)
        return diskFailure(logPath());
    // What is written next takes the place of the dropped entries. A loss of power may keep that write and not the new
    // end of the file; then old records would follow a torn one, as if the log were damaged in the middle.
    return sync();
}

Result<void> FileLogStorage::saveHardState(const HardState &state)
{
    return replaceFile(m_folder, kHardStateFile, encodeRecord(pack(state)));
}

Result<void> FileLogStorage::saveCheckpoint(const Checkpoint &checkpoint, CheckpointOrigin origin)
{
    const std::string oldLog = logPath();
    if (origin == CheckpointOrigin::FromLeader)
        m_entries.clear();
    std::erase_if(m_entries, [&](const LogEntry &entry) { return entry.index <= checkpoint.index; });
    m_checkpointIndex = checkpoint.index;
    // The new log file is written before the checkpoint that selects it, so after a crash either the old or the
    // new pair of files is complete.
    return rewriteEntries()
        .and_then([&] { return replaceFile(m_folder, kCheckpointFile, encodeRecord(pack(checkpoint))); })
        .map([&] {
            if (oldLog != logPath())
                ::unlink(oldLog.c_str());
        });
}

Result<void> FileLogStorage::rewriteEntries()
{
    std::string bytes;
    m_offsets.clear();
    for (const LogEntry &entry : m_entries) {
        m_offsets.emplace_back(entry.index, static_cast<int64_t>(bytes.size()));
        bytes += encodeRecord(pack(entry));
    }
    m_logSize = static_cast<int64_t>(bytes.size());
    const std::string name = kLogPrefix + std::to_string(m_checkpointIndex.value());
    return replaceFile(m_folder, name, bytes).and_then([&] {
        ::close(m_logFile);
        return openLog();
    });
}

std::string FileLogStorage::logPath() const
{
    return m_folder + '/' + kLogPrefix + std::to_string(m_checkpointIndex.value());
}

Result<void> FileLogStorage::sync()
{
    if (!m_needsSync)
        return {};
    m_needsSync = false;
    return m_syncFile(m_logFile) == 0 ? Result<void>() : diskFailure(logPath());
}

} // namespace hickoryspur
