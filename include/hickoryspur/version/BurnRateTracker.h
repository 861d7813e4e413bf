// Counts answers by service and caller, minute by minute over three days, and works out from them
// how fast each service uses up the budget that its objectives leave: the burn. Every control host
// keeps the whole deployment's book and saves it, so it survives a restart.
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

inline constexpr std::array<BurnWindow, 4> kBurnWindows = {
    {{"5min", 300}, {"1h", 3600}, {"6h", 21600}, {"3d", 259200}}};

struct BurnReportLine
{
    std::string service;
    std::string caller;
    std::string objective;
    double target = 0;
    /** For each window, the share of answers that missed the objective over the share that may. */
    std::array<double, kBurnWindows.size()> rates{};
    std::array<uint64_t, kBurnWindows.size()> answers{};
    /** Share of the three days' budget that is used up. */
    double budgetUsed = 0;
    uint64_t late = 0;
    uint64_t partial = 0;
    uint64_t refused = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    /** Empty, "page" or "ticket". */
    std::string alert;
    /** Burn over each of the last hours, the oldest first, for the plot. */
    std::vector<double> hourly;
};

class BurnRateTracker
{
public:
    static constexpr int64_t kSecondsPerMinute = 60;
    static constexpr int64_t kRetentionMinutes = 3LL * 24 * 60;
    /** Latencies are kept for the last hour only. */
    static constexpr int64_t kLatencyRetentionMinutes = 60;

    void add(int64_t wallSeconds, const ObservationBatch &batch);
    std::vector<BurnReportLine> report(int64_t wallSeconds, const Document &document) const;

    std::string serialize() const;
    static std::optional<BurnRateTracker> deserialize(const std::string &bytes);

    /** By minute; within it by service and caller. */
    using Minute = std::map<std::string, std::map<std::string, AnswerTally>>;
    MSGPACK_DEFINE(m_minutes)

private:
    AnswerTally sum(int64_t fromSeconds, int64_t toSeconds, const std::string &service,
                    const std::string &caller) const;

    std::map<int64_t, Minute> m_minutes;
};

/** The report as lines of text, and as a page with a plot for each line. */
std::string burnReportText(const std::vector<BurnReportLine> &lines);
std::string burnReportHtml(const std::vector<BurnReportLine> &lines);

} // namespace hickoryspur
