#include "hickoryspur/connection/Announcement.h"

#include "hickoryspur/process/Check.h"
#include "hickoryspur/process/MessageCodec.h"

#include <nlohmann/json.hpp>

namespace hickoryspur {

namespace {

constexpr size_t kMaxShardsPerUpstream = 65536;
constexpr size_t kMaxSnapshots = 64;
constexpr size_t kMaxNameBytes = 200;

std::string requiredName(const nlohmann::json &body, const char *field)
{
    std::string text = body.at(field).get<std::string>();
    if (text.empty() || text.size() > kMaxNameBytes)
        throw std::invalid_argument(std::string(field) + " must have 1 to 200 bytes");
    return text;
}

uint8_t parseState(const std::string &text)
{
    if (text == "cold")
        return static_cast<uint8_t>(UpstreamState::Cold);
    if (text == "ready")
        return static_cast<uint8_t>(UpstreamState::Ready);
    if (text == "leaving")
        return static_cast<uint8_t>(UpstreamState::Leaving);
    throw std::invalid_argument("state must be cold, ready or leaving");
}

uint8_t parseEnvironment(const std::string &text)
{
    const std::optional<Environment> environment = environmentFromName(text);
    if (!environment)
        throw std::invalid_argument("environment must be trial or production");
    return static_cast<uint8_t>(*environment);
}

void checkShards(const Announcement &announcement)
{
    if (announcement.shards.size() > kMaxShardsPerUpstream || announcement.snapshots.size() > kMaxSnapshots)
        throw std::invalid_argument("too many shards or snapshots");
    for (const uint32_t shard : announcement.shards)
        if (shard >= announcement.shardCount)
            throw std::invalid_argument("shard " + std::to_string(shard) + " is not below shard_count");
}

Announcement fromJson(const nlohmann::json &body)
{
    Announcement result;
    result.id = UpstreamId(requiredName(body, "id"));
    result.environment = parseEnvironment(body.value("environment", "production"));
    result.service = ServiceName(requiredName(body, "service"));
    result.version = VersionName(requiredName(body, "version"));
    result.incarnation = body.at("incarnation").get<uint64_t>();
    result.sequence = body.at("sequence").get<uint64_t>();
    result.generation = MapGeneration(body.at("map_generation").get<uint64_t>());
    result.shardCount = body.at("shard_count").get<uint32_t>();
    result.shards = body.at("shards").get<std::vector<uint32_t>>();
    result.snapshots = body.at("snapshots").get<std::vector<uint64_t>>();
    result.address = requiredName(body, "address");
    result.port = body.at("port").get<uint16_t>();
    result.dataCentre = DataCentreName(requiredName(body, "data_centre"));
    result.slots = body.at("slots").get<uint32_t>();
    result.connectionLimit = body.at("connection_limit").get<uint32_t>();
    result.state = parseState(body.value("state", "ready"));
    if (result.slots == 0 || result.connectionLimit == 0 || result.shardCount == 0)
        throw std::invalid_argument("slots, connection_limit and shard_count must be at least 1");
    checkShards(result);
    return result;
}

} // namespace

Result<void> checkNames(const Announcement &announcement)
{
    bool valid = announcement.version.value().size() <= kMaxNameBytes;
    for (const std::string &name :
         {announcement.id.value(), announcement.service.value(), announcement.dataCentre.value(), announcement.address})
        valid = valid && !name.empty() && name.size() <= kMaxNameBytes;
    if (valid)
        return {};
    return HS_USER_ERROR(ResultCode::MalformedRequest) << "announcement: a name must have 1 to 200 bytes";
}

bool Announcement::equalsExceptSequence(const Announcement &other) const
{
    Announcement copy = other;
    copy.sequence = sequence;
    return pack(copy) == pack(*this);
}

Result<Announcement> parseAnnouncement(const std::string &json)
{
    try {
        return fromJson(nlohmann::json::parse(json));
    } catch (const std::exception &error) {
        return HS_USER_ERROR(ResultCode::MalformedRequest) << "announcement: " << error.what();
    }
}

} // namespace hickoryspur
