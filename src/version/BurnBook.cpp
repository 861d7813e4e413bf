#include "hickoryspur/version/BurnBook.h"

#include "hickoryspur/process/MessageCodec.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>

namespace hickoryspur {

namespace {

/** Both windows of a pair must burn at least this fast; the rates use up 2% and 10% of three days' budget. */
constexpr double kPageRate = 14.4;
constexpr double kTicketRate = 1.0;
constexpr int64_t kHour = 3600;
constexpr int kHoursPlotted = 72;
constexpr int kPlotWidth = 432;
constexpr int kPlotHeight = 60;
constexpr double kPlotTop = 16;

enum class Objective { InTime, FullCoverage };

uint64_t missed(const AnswerTally &tally, Objective objective)
{
    return tally.refused + (objective == Objective::InTime ? tally.late : tally.partial);
}

double burnRate(const AnswerTally &tally, Objective objective, double target)
{
    if (tally.answers == 0)
        return 0;
    const double share = static_cast<double>(missed(tally, objective)) / static_cast<double>(tally.answers);
    return share / (1 - target);
}

std::string fixed(double value, int digits)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char c : text)
        result += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
    return result;
}

std::string plot(const BurnLine &line)
{
    std::ostringstream out;
    out << "<svg width=\"" << kPlotWidth << "\" height=\"" << kPlotHeight
        << "\" role=\"img\" aria-label=\"burn by hour\">";
    const double step = static_cast<double>(kPlotWidth) / kHoursPlotted;
    for (size_t i = 0; i < line.hourly.size(); ++i) {
        const double height = std::min(line.hourly[i], kPlotTop) / kPlotTop * kPlotHeight;
        out << "<rect x=\"" << fixed(static_cast<double>(i) * step, 1) << "\" y=\"" << fixed(kPlotHeight - height, 1)
            << "\" width=\"" << fixed(step - 1, 1) << "\" height=\"" << fixed(height, 1) << "\" fill=\""
            << (line.hourly[i] > kPageRate         ? "#b00"
                    : line.hourly[i] > kTicketRate ? "#d80"
                                                   : "#393")
            << "\"/>";
    }
    const double limit = kPlotHeight - kPlotHeight / kPlotTop;
    out << "<line x1=\"0\" x2=\"" << kPlotWidth << "\" y1=\"" << fixed(limit, 1) << "\" y2=\"" << fixed(limit, 1)
        << "\" stroke=\"#888\" stroke-dasharray=\"4\"/></svg>";
    return out.str();
}

} // namespace

void BurnBook::add(int64_t wallSeconds, const ObservationBatch &batch)
{
    const int64_t minute = wallSeconds / kMinute;
    Minute &target = m_minutes[minute];
    for (const auto &[service, observation] : batch.services)
        for (const auto &[caller, tally] : observation.answers)
            target[service][caller].merge(tally);
    m_minutes.erase(m_minutes.begin(), m_minutes.lower_bound(minute - kMinutesKept));
    if (const auto old = m_minutes.find(minute - kMinutesWithLatency); old != m_minutes.end())
        for (auto &[service, callers] : old->second)
            for (auto &[caller, tally] : callers)
                tally.latency = LatencyHistogram();
}

AnswerTally BurnBook::sum(int64_t fromSeconds, int64_t toSeconds, const std::string &service,
                          const std::string &caller) const
{
    AnswerTally result;
    const auto last = m_minutes.upper_bound(toSeconds / kMinute);
    for (auto item = m_minutes.upper_bound(fromSeconds / kMinute); item != last; ++item) {
        const auto callers = item->second.find(service);
        if (callers == item->second.end())
            continue;
        if (const auto tally = callers->second.find(caller); tally != callers->second.end())
            result.merge(tally->second);
    }
    return result;
}

std::vector<BurnLine> BurnBook::report(int64_t wallSeconds, const Document &document) const
{
    std::vector<BurnLine> lines;
    for (const auto &[name, config] : document.services) {
        for (const CallerName &caller : config.callers) {
            for (const Objective objective : {Objective::InTime, Objective::FullCoverage}) {
                BurnLine line;
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
                const AnswerTally hour = sum(wallSeconds - kHour, wallSeconds, line.service, line.caller);
                line.p50Ms = toMilliseconds(hour.latency.quantile(0.5));
                line.p99Ms = toMilliseconds(hour.latency.quantile(0.99));
                line.budgetUsed = line.rates.back();
                if (line.rates[0] > kPageRate && line.rates[1] > kPageRate)
                    line.alert = "page";
                else if (line.rates[2] > kTicketRate && line.rates[3] > kTicketRate)
                    line.alert = "ticket";
                for (int64_t back = kHoursPlotted; back > 0; --back)
                    line.hourly.push_back(burnRate(
                        sum(wallSeconds - back * kHour, wallSeconds - (back - 1) * kHour, line.service, line.caller),
                        objective, line.target));
                lines.push_back(std::move(line));
            }
        }
    }
    return lines;
}

std::string BurnBook::serialize() const
{
    return pack(*this);
}

std::optional<BurnBook> BurnBook::deserialize(const std::string &bytes)
{
    return unpack<BurnBook>(bytes);
}

std::string burnText(const std::vector<BurnLine> &lines)
{
    std::ostringstream out;
    out << "service / caller / objective: burn over 5min 1h 6h 3d, budget used, late partial refused, p50 p99 (within "
           "5%)\n";
    for (const BurnLine &line : lines) {
        out << line.service << " / " << line.caller << " / " << line.objective << ' ' << fixed(100 * line.target, 2)
            << "%:";
        for (const double rate : line.rates)
            out << ' ' << fixed(rate, 2);
        out << ", " << fixed(100 * line.budgetUsed, 1) << "%, " << line.late << ' ' << line.partial << ' '
            << line.refused << ", " << fixed(line.p50Ms, 1) << " ms " << fixed(line.p99Ms, 1) << " ms";
        if (!line.alert.empty())
            out << "  ALERT: " << line.alert;
        out << '\n';
    }
    return out.str();
}

std::string burnHtml(const std::vector<BurnLine> &lines)
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
    for (const BurnLine &line : lines) {
        out << "<tr class=\"" << line.alert << "\"><td>" << escaped(line.service) << " / " << escaped(line.caller)
            << " / " << line.objective << ' ' << fixed(100 * line.target, 2) << "%"
            << (line.alert.empty() ? "" : " <b>" + line.alert + "</b>") << "</td>";
        for (const double rate : line.rates)
            out << "<td>" << fixed(rate, 2) << "</td>";
        out << "<td>" << fixed(100 * line.budgetUsed, 1) << "%</td><td>" << line.late << "</td><td>" << line.partial
            << "</td><td>" << line.refused << "</td><td>" << fixed(line.p50Ms, 1) << " ms</td><td>"
            << fixed(line.p99Ms, 1) << " ms</td><td>" << plot(line) << "</td></tr>";
    }
    out << "</table></html>";
    return out.str();
}

} // namespace hickoryspur
