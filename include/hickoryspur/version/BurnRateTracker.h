// Counts answers per minute by service and caller over three days, and computes from the counts how
// fast each service consumes the error budget of its objectives (the burn rate). Every control host
// counts for the whole deployment and saves the counts, so they survive a restart.
#pragma once

#include "hickoryspur/version/Document.h"
#include "hickoryspur/version/Observation.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

struct BurnWindow
{
    const char *name;
    int64_t seconds;
};

/** The windows that burn rates are computed over. */
inline constexpr std::array<BurnWindow, 4> kBurnWindows = {
    {{"5min", 300}, {"1h", 3600}, {"6h", 21600}, {"3d", 259200}}};

/** Burn of one objective of one service, for one caller. */
struct BurnReportLine
{
    std::string service;
    std::string caller;
    std::string objective;
    /** Share of answers that have to meet the objective. */
    double target = 0;
    /** Burn rate in each window: the share of answers that missed the objective, divided by the share that may. */
    std::array<double, kBurnWindows.size()> rates{};
    /** Number of answers in each window. */
    std::array<uint64_t, kBurnWindows.size()> answers{};
    /** Consumed share of the error budget of the last three days. */
    double budgetUsed = 0;
    /** Answers of the last three days that missed an objective, by cause. */
    uint64_t late = 0;
    uint64_t partial = 0;
    uint64_t refused = 0;
    /** Latency quantiles over the last hour. */
    double p50Ms = 0;
    double p99Ms = 0;
    /** Empty, "page" or "ticket". */
    std::string alert;
    /** Burn rate in each of the last 72 hours, oldest first, for the plot. */
    std::vector<double> hourly;
};

class BurnRateTracker
{
public:
    static constexpr int64_t kSecondsPerMinute = 60;
    static constexpr int64_t kRetentionMinutes = 3LL * 24 * 60;
    /** Latencies are kept for the last hour only. */
    static constexpr int64_t kLatencyRetentionMinutes = 60;

    /** Adds a batch to the minute of the given wall clock time, and drops minutes past retention. */
    void add(int64_t wallSeconds, const ObservationBatch &batch);
    /** One line per objective for each service and caller with answers in the last three days. */
    std::vector<BurnReportLine> report(int64_t wallSeconds, const Document &document) const;

    std::string serialize() const;
    /** Returns nothing if the bytes cannot be decoded. */
    static std::optional<BurnRateTracker> deserialize(const std::string &bytes);

    /** The tallies of one minute, by service and caller. */
    using Minute = std::map<std::string, std::map<std::string, AnswerTally>>;
    MSGPACK_DEFINE(m_minutes)

private:
    /** Sums the minutes after fromSeconds up to and including toSeconds. */
    AnswerTally sum(int64_t fromSeconds, int64_t toSeconds, const std::string &service,
                    const std::string &caller) const;

    /** Keyed by wall clock minutes since the epoch. */
    std::map<int64_t, Minute> m_minutes;
};

/** Formats the report as plain text, and as an HTML page with a plot for each line. */
std::string burnReportText(const std::vector<BurnReportLine> &lines);
std::string burnReportHtml(const std::vector<BurnReportLine> &lines);

} // namespace hickoryspur
