#include "hickoryspur/process/HostSettings.h"

#include "process/YamlReader.h"

#include <algorithm>

namespace hickoryspur {

namespace {

constexpr Duration kMaxGrace = 1h;
/** Some callers cache a directory answer for up to this multiple of its validity. */
constexpr int kCallerCacheFactor = 3;
/** Beyond this, the extra sub-requests of a window are not limited in effect. */
constexpr double kMaxExtraSlack = 1e9;
/** Part of the grace period reserved for finishing requests that arrive just before the last callers leave. */
constexpr Duration kFinalRequestTime = 1200ms;
constexpr double kBytesPerMegabyte = 1024.0 * 1024;
/** One answer of the greatest size that is accepted has to fit. */
constexpr double kMinConnectionMegabytes = 16;
constexpr double kMaxConnectionMegabytes = 65536;
constexpr Duration kMaxUsageTime = 1h;
constexpr Duration kMinUsageWindow = 100ms;
/** Control hosts accept rows for UsageTotals::kOpenWindows; a report that is due later would miss them. */
constexpr int kMaxUsageDueWindows = 10;
constexpr double kMinDutyRate = 0.01;
constexpr double kMaxDutyRate = 10000;
constexpr Duration kMinDirectoryValidity = 200ms;
/** Time until every entry's directory has stopped listing a stopping entry. */
constexpr Duration kLeavePropagationTime = 100ms;

std::optional<HostAddress> readOptionalAddress(YamlSection &section, const std::string &field)
{
    const std::string text = section.text(field, "");
    if (text.empty())
        return std::nullopt;
    const Result<HostAddress> address = parseHostAddress(text);
    if (!address)
        section.error(field, address.error().message);
    return address ? std::optional(*address) : std::nullopt;
}

HostRole readRole(YamlSection &section)
{
    const std::string role = section.text("role");
    if (role != "entry" && role != "control")
        section.error("role", "must be entry or control");
    return role == "control" ? HostRole::Control : HostRole::Entry;
}

AdmissionMode readAdmission(YamlSection &section)
{
    const std::string mode = section.text("admission", "arrival");
    if (mode != "arrival" && mode != "cost")
        section.error("admission", "must be arrival or cost");
    return mode == "cost" ? AdmissionMode::Cost : AdmissionMode::Arrival;
}

std::vector<HostAddress> readSeeds(YamlSection &section)
{
    std::vector<HostAddress> seeds;
    for (const std::string &text : section.texts("seeds")) {
        const Result<HostAddress> address = parseHostAddress(text);
        if (address)
            seeds.push_back(*address);
        else
            section.error("seeds", text + ": " + address.error().message);
    }
    return seeds;
}

void readUsage(YamlSection &section, HostSettings &settings)
{
    settings.usageAddress = readOptionalAddress(section, "usage-address");
    settings.usageWindow = section.duration("usage-window", kMinUsageWindow, kMaxUsageTime, settings.usageWindow);
    settings.usageDue = section.duration("usage-due", Duration::zero(), kMaxUsageTime, settings.usageDue);
    if (settings.usageDue > kMaxUsageDueWindows * settings.usageWindow)
        section.error("usage-due", "must be at most 10 times usage-window, since later no counts are accepted");
    settings.dutyLease = section.duration("duty-lease", kMinUsageWindow, kMaxUsageTime, settings.dutyLease);
    settings.dutyRate = section.number("duty-rate", kMinDutyRate, kMaxDutyRate, settings.dutyRate);
}

void checkRole(YamlSection &section, const HostSettings &settings)
{
    if (settings.role == HostRole::Entry && (!settings.callerAddress || !settings.readinessAddress))
        section.error("role", "an entry needs caller-address and readiness-address");
    if (settings.role == HostRole::Control && (!settings.controlAddress || settings.dataFolder.empty()))
        section.error("role", "a control host needs control-address and data-folder");
}

} // namespace

Duration HostSettings::directoryValidity() const
{
    const Duration validityWithinGrace = (grace - kFinalRequestTime) / kCallerCacheFactor;
    return std::min(maxDirectoryValidity, std::max(validityWithinGrace, kMinDirectoryValidity));
}

Duration HostSettings::callerDrainTime() const
{
    return kCallerCacheFactor * directoryValidity() + kLeavePropagationTime;
}

std::vector<NodeId> HostSettings::seedIds() const
{
    std::vector<NodeId> ids;
    for (const HostAddress &seed : seeds)
        ids.emplace_back(HostAddress{seed.address, internalAddress.port}.text());
    return ids;
}

Result<HostSettings> parseHostSettings(const std::string &text, const std::string &source)
{
    YamlErrors errors(source);
    const YAML::Node root = parseYaml(text, errors);
    if (!errors.empty())
        return failure(ResultCode::SettingsInvalid, errors.text());
    YamlSection section(root, "settings", errors);
    HostSettings settings;
    settings.name = section.text("name");
    settings.role = readRole(section);
    settings.dataCentre = DataCentreName(section.text("data-centre"));
    if (const std::optional<HostAddress> address = readOptionalAddress(section, "internal-address"))
        settings.internalAddress = *address;
    else
        section.error("internal-address", "is missing");
    settings.callerAddress = readOptionalAddress(section, "caller-address");
    settings.readinessAddress = readOptionalAddress(section, "readiness-address");
    settings.controlAddress = readOptionalAddress(section, "control-address");
    settings.directoryAddress = readOptionalAddress(section, "directory-address");
    settings.metricsAddress = readOptionalAddress(section, "metrics-address");
    settings.seeds = readSeeds(section);
    settings.dataFolder = section.text("data-folder", "");
    settings.firstStart = section.boolean("first-start", false);
    settings.grace = section.duration("grace", 1s, kMaxGrace, settings.grace);
    settings.extraShare = section.fraction("extra-share", settings.extraShare);
    settings.extraSlack = section.number("extra-slack", 0, kMaxExtraSlack, settings.extraSlack);
    settings.upstreamDrainTime = section.duration("upstream-drain", 100ms, kMaxGrace, settings.upstreamDrainTime);
    settings.maxDirectoryValidity =
        section.duration("directory-validity", 100ms, kMaxGrace, settings.maxDirectoryValidity);
    const double megabytes = section.number("connection-memory-mb", kMinConnectionMegabytes, kMaxConnectionMegabytes,
                                            static_cast<double>(settings.connectionBytes) / kBytesPerMegabyte);
    settings.connectionBytes = static_cast<size_t>(megabytes * kBytesPerMegabyte);
    settings.admission = readAdmission(section);
    readUsage(section, settings);
    checkRole(section, settings);
    section.finish();
    if (!errors.empty())
        return failure(ResultCode::SettingsInvalid, errors.text());
    return settings;
}

} // namespace hickoryspur
