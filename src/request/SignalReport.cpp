#include "request/SignalReport.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"

namespace hickoryspur {

void reportSignals(const UpstreamId &upstream, uint64_t incarnation, const UpstreamSignals &signals,
                   const SignalChanges &changes, uint32_t entries)
{
    static Counter &limits = Metrics::counter("hickoryspur_upstream_signals_total{reason=\"limit\"}");
    static Counter &pauses = Metrics::counter("hickoryspur_upstream_signals_total{reason=\"pause\"}");
    static Counter &departures = Metrics::counter("hickoryspur_upstream_signals_total{reason=\"leaving\"}");
    if (changes.limitNamed) {
        limits.add();
        HS_LOG_REQUEST(LogEvent::UpstreamLimited) << "upstream=" << upstream << " born=" << incarnation
                                                  << " per-s=" << *signals.requestsPerSecond << " entries=" << entries;
    }
    if (changes.limitEnded)
        HS_LOG_REQUEST(LogEvent::UpstreamLimitEnded) << "upstream=" << upstream << " born=" << incarnation;
    if (changes.pauseBegun) {
        pauses.add();
        HS_LOG_REQUEST(LogEvent::UpstreamPaused)
            << "upstream=" << upstream << " born=" << incarnation << " ms=" << toMilliseconds(*signals.pause);
    }
    if (changes.leavingBegun) {
        departures.add();
        HS_LOG_REQUEST(LogEvent::UpstreamSaysLeaving) << "upstream=" << upstream << " born=" << incarnation;
    }
}

void reportPauseEnded(const UpstreamId &upstream)
{
    HS_LOG_REQUEST(LogEvent::UpstreamPauseEnded) << "upstream=" << upstream;
}

void reportCounts(const UpstreamAdmission::Counts &counts)
{
    static Counter &limited = Metrics::counter("hickoryspur_upstreams_limited");
    static Counter &paused = Metrics::counter("hickoryspur_upstreams_paused");
    static Counter &leaving = Metrics::counter("hickoryspur_upstreams_leaving");
    limited.set(static_cast<int64_t>(counts.limited));
    paused.set(static_cast<int64_t>(counts.paused));
    leaving.set(static_cast<int64_t>(counts.leaving));
}

} // namespace hickoryspur
