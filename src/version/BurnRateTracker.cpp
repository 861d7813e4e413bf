#include "hickoryspur/version/BurnRateTracker.h"

#include "hickoryspur/process/MessageCodec.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>

namespace hickoryspur {

namespace {

/**
 * An alert requires that both windows of its pair burn faster than this: 5min and 1h for a page, 6h and
 * 3d for a ticket. These rates consume 2% of a 30-day budget in an hour, and 10% of it in three days.
 */
constexpr double kPageBurnRate = 14.4;
constexpr double kTicketBurnRate = 1.0;
constexpr int64_t kSecondsPerHour = 3600;
constexpr int kPlottedHours = 72;
constexpr int kPlotWidth = 432;
constexpr int kPlotHeight = 60;
constexpr double kPlotMaxBurnRate = 16;

enum class Objective { InTime, FullCoverage };

uint64_t missCount(const AnswerTally &tally, Objective objective)
{
    return tally.refused + (objective == Objective::InTime ? tally.late : tally.partial);
}

double burnRate(const AnswerTally &tally, Objective objective, double target)
{
    if (tally.answers == 0)
        return 0;
    const double share = static_cast<double>(missCount(tally, objective)) / static_cast<double>(tally.answers);
    return share / (1 - target);
}

std::string formatFixed(double value, int digits)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

std::string escapeHtml(const std::string &text)
{
    std::string result;
    for (const char c : text)
        result += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
    return result;
}

std::string plotSvg(const BurnReportLine &line)
{
    std::ostringstream out;
    out << "<svg width=\"" << kPlotWidth << "\" height=\"" << kPlotHeight
        << "\" role=\"img\" aria-label=\"burn by hour\">";
    const double step = static_cast<double>(kPlotWidth) / kPlottedHours;
    for (size_t i = 0; i < line.hourly.size(); ++i) {
        const double height = std::min(line.hourly[i], kPlotMaxBurnRate) / kPlotMaxBurnRate * kPlotHeight;
        out << "<rect x=\"" << formatFixed(static_cast<double>(i) * step, 1) << "\" y=\""
            << formatFixed(kPlotHeight - height, 1) << "\" width=\"" << formatFixed(step - 1, 1) << "\" height=\""
            << formatFixed(height, 1) << "\" fill=\""
            << (line.hourly[i] > kPageBurnRate         ? "#b00"
                    : line.hourly[i] > kTicketBurnRate ? "#d80"
                                                       : "#393")
            << "\"/>";
    }
    const double budgetLine = kPlotHeight - kPlotHeight / kPlotMaxBurnRate;
    out << "<line x1=\"0\" x2=\"" << kPlotWidth << "\" y1=\"" << formatFixed(budgetLine, 1) << "\" y2=\""
        << formatFixed(budgetLine, 1) << "\" stroke=\"#888\" stroke-dasharray=\"4\"/></svg>";
    return out.str();
}

} // namespace

void BurnRateTracker::add(int64_t wallSeconds, const ObservationBatch &batch)
{
    const int64_t minute = wallSeconds / kSecondsPerMinute;
    Minute &target = m_minutes[minute];
    for (const auto &[service, observation] : batch.services)
        for (const auto &[caller, tally] : observation.answers)
            target[service][caller].merge(tally);
    m_minutes.erase(m_minutes.begin(), m_minutes.lower_bound(minute - kRetentionMinutes));
    if (const auto old = m_minutes.find(minute - kLatencyRetentionMinutes); old != m_minutes.end())
        for (auto &[service, callers] : old->second)
            for (auto &[caller, tally] : callers)
                tally.latency = LatencyHistogram();
}

AnswerTally BurnRateTracker::sum(int64_t fromSeconds, int64_t toSeconds, const std::string &service,
                                 const std::string &caller) const
{
    AnswerTally result;
    const auto end = m_minutes.upper_bound(toSeconds / kSecondsPerMinute);
    for (auto item = m_minutes.upper_bound(fromSeconds / kSecondsPerMinute); item != end; ++item) {
        const auto callers = item->second.find(service);
        if (callers == item->second.end())
            continue;
        if (const auto tally = callers->second.find(caller); tally != callers->second.end())
            result.merge(tally->second);
    }
    return result;
}

std::vector<BurnReportLine> BurnRateTracker::report(int64_t wallSeconds, const Document &document) const
{
    std::vector<BurnReportLine> lines;
    for (const auto &[name, config] : document.services) {
        for (const CallerName &caller : config.callers) {
            for (const Objective objective : {Objective::InTime, Objective::FullCoverage}) {
                BurnReportLine line;
                line.service = name.value();
                line.caller = caller.value();
                const bool inTime = objective == Objective::InTime;
                line.objective = inTime ? "in time" : "full coverage";
                line.target = inTime ? config.objectives.inTime : config.objectives.fullCoverage;
                for (size_t i = 0; i < kBurnWindows.size(); ++i) {
                    const AnswerTally tally =
                        sum(wallSeconds - kBurnWindows[i].seconds, wallSeconds, line.service, line.caller);
                    line.rates[i] = burnRate(tally, objective, line.target);
                    line.answers[i] = tally.answers;
                    line.late = tally.late;
                    line.partial = tally.partial;
                    line.refused = tally.refused;
                }
                if (line.answers.back() == 0)
                    continue;
                const AnswerTally hour = sum(wallSeconds - kSecondsPerHour, wallSeconds, line.service, line.caller);
                line.p50Ms = toMilliseconds(hour.latency.quantile(0.5));
                line.p99Ms = toMilliseconds(hour.latency.quantile(0.99));
                line.budgetUsed = line.rates.back();
                if (line.rates[0] > kPageBurnRate && line.rates[1] > kPageBurnRate)
                    line.alert = "page";
                else if (line.rates[2] > kTicketBurnRate && line.rates[3] > kTicketBurnRate)
                    line.alert = "ticket";
                for (int64_t hoursAgo = kPlottedHours; hoursAgo > 0; --hoursAgo)
                    line.hourly.push_back(
                        burnRate(sum(wallSeconds - hoursAgo * kSecondsPerHour,
                                     wallSeconds - (hoursAgo - 1) * kSecondsPerHour, line.service, line.caller),
                                 objective, line.target));
                lines.push_back(std::move(line));
            }
        }
    }
    return lines;
}

std::string BurnRateTracker::serialize() const
{
    return pack(*this);
}

std::optional<BurnRateTracker> BurnRateTracker::deserialize(const std::string &bytes)
{
    return unpack<BurnRateTracker>(bytes);
}

std::string burnReportText(const std::vector<BurnReportLine> &lines)
{
    std::ostringstream out;
    out << "service / caller / objective: burn over 5min 1h 6h 3d, budget used, late partial refused, p50 p99 (within "
           "5%)\n";
    for (const BurnReportLine &line : lines) {
        out << line.service << " / " << line.caller << " / " << line.objective << ' '
            << formatFixed(100 * line.target, 2) << "%:";
        for (const double rate : line.rates)
            out << ' ' << formatFixed(rate, 2);
        out << ", " << formatFixed(100 * line.budgetUsed, 1) << "%, " << line.late << ' ' << line.partial << ' '
            << line.refused << ", " << formatFixed(line.p50Ms, 1) << " ms " << formatFixed(line.p99Ms, 1) << " ms";
        if (!line.alert.empty())
            out << "  ALERT: " << line.alert;
        out << '\n';
    }
    return out.str();
}

std::string burnReportHtml(const std::vector<BurnReportLine> &lines)
{
    std::ostringstream out;
    out << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>hickoryspur: burn report</title>"
           "<style>body{font:15px sans-serif;margin:2em}td,th{padding:.3em .8em;text-align:right;border-bottom:1px "
           "solid "
           "#ddd}td:first-child,th:first-child{text-align:left}.page{background:#fbb}.ticket{background:#fe9}</style>"
           "<h1>Burn report</h1><p>1.0 uses up the budget exactly; the dashed line of each plot is 1.0, a bar is an "
           "hour, "
           "the last on the right. Latencies are within 5%.</p><table><tr><th>service / caller / objective</th>";
    for (const BurnWindow &window : kBurnWindows)
        out << "<th>" << window.name << "</th>";
    out << "<th>budget used</th><th>late</th><th>partial</th><th>refused</th><th>p50</th><th>p99</th><th>three "
           "days</th></tr>";
    for (const BurnReportLine &line : lines) {
        out << "<tr class=\"" << line.alert << "\"><td>" << escapeHtml(line.service) << " / " << escapeHtml(line.caller)
            << " / " << line.objective << ' ' << formatFixed(100 * line.target, 2) << "%"
            << (line.alert.empty() ? "" : " <b>" + line.alert + "</b>") << "</td>";
        for (const double rate : line.rates)
            out << "<td>" << formatFixed(rate, 2) << "</td>";
        out << "<td>" << formatFixed(100 * line.budgetUsed, 1) << "%</td><td>" << line.late << "</td><td>"
            << line.partial << "</td><td>" << line.refused << "</td><td>" << formatFixed(line.p50Ms, 1)
            << " ms</td><td>" << formatFixed(line.p99Ms, 1) << " ms</td><td>" << plotSvg(line) << "</td></tr>";
    }
    out << "</table></html>";
    return out.str();
}

} // namespace hickoryspur
