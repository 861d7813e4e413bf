#include "app/UsageReports.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/process/Metrics.h"
#include "process/ConnectionGuard.h"
#include "request/HttpCallerClient.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>

#include <algorithm>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

constexpr const char *kUsageDuty = "usage";

DutyTiming makeDutyTiming(const HostSettings &settings)
{
    DutyTiming timing;
    // The former holder may act until its last confirmation is no longer valid.
    timing.lease = std::max(settings.dutyLease, 2 * timing.confirmationValidity);
    return timing;
}

UsageTiming makeUsageTiming(const HostSettings &settings)
{
    UsageTiming timing;
    timing.window = settings.usageWindow;
    timing.due = settings.usageDue;
    timing.lease = makeDutyTiming(settings).lease;
    timing.callsPerSecond = settings.dutyRate;
    return timing;
}

Command makeCommand(CommandType type)
{
    Command command;
    command.type = static_cast<uint8_t>(type);
    command.subject = kUsageDuty;
    command.wallSeconds = wallClockSeconds();
    return command;
}

const char *verdictName(UsageVerdict verdict)
{
    switch (verdict) {
    case UsageVerdict::Accepted:
        return "accepted";
    case UsageVerdict::TokenOutdated:
        return "token-outdated";
    case UsageVerdict::TooMany:
        return "too-many";
    case UsageVerdict::Failed:
        return "failed";
    case UsageVerdict::NoAnswer:
        return "no-answer";
    case UsageVerdict::NotSent:
        return "not-sent";
    }
    return "failed";
}

} // namespace

UsageReports::UsageReports(asio::io_context &context, const HostSettings &settings, const HostCodec &codec, Hooks hooks,
                           uint64_t seed)
    : m_context(context)
    , m_address(*settings.usageAddress)
    , m_name(settings.name)
    , m_codec(codec)
    , m_hooks(std::move(hooks))
    , m_holder(settings.name, makeDutyTiming(settings))
    , m_reporter(makeUsageTiming(settings), seed)
{
}

std::string UsageReports::makePingPayload()
{
    return pack(kCommandTypes);
}

void UsageReports::recordPing(TimePoint now, const PeerMessage &ping)
{
    // An earlier build sends no payload.
    m_holder.recordHost(now, ping.from, unpack<uint8_t>(ping.payload).value_or(0));
}

void UsageReports::tick(TimePoint now, const std::vector<NodeId> &controlHosts)
{
    m_controlHosts = controlHosts;
    const std::optional<NodeId> earlier = m_holder.earlierBuild(now, controlHosts);
    if (earlier && !m_earlierBuildLogged)
        HS_LOG(INFO, LogEvent::DutyNotAcquired)
            << "control host " << *earlier << " runs an earlier build, which skips the commands of the duty "
            << kUsageDuty << "; the duty is not acquired for the first time until it has been replaced";
    m_earlierBuildLogged = earlier.has_value();
    refresh();
}

UsageReports::LogView UsageReports::makeView(bool confirmed, const ControlState &state)
{
    LogView view;
    view.confirmed = confirmed;
    view.duty = state.duty(kUsageDuty);
    view.lastDecided = state.usage().lastDecided;
    const std::map<uint64_t, std::string> &undelivered = state.usage().undelivered;
    view.waiting = undelivered.size();
    if (!confirmed || undelivered.empty())
        return view;
    view.oldest = undelivered.begin()->first;
    view.counts = undelivered.begin()->second;
    return view;
}

void UsageReports::refresh()
{
    if (m_readPending)
        return;
    m_readPending = true;
    // The confirmation counts from before it was asked for: the control thread may be suspended while it answers.
    const TimePoint askedAt = monotonicNow();
    m_hooks.read([this, askedAt](bool confirmed, const ControlState &state, const std::optional<NodeId> &) {
        asio::post(m_context, [this, askedAt, view = makeView(confirmed, state)] {
            m_readPending = false;
            act(askedAt, view);
        });
    });
}

void UsageReports::act(TimePoint confirmedAt, const LogView &view)
{
    static Counter &waiting = Metrics::counter("hickoryspur_usage_windows_waiting");
    waiting.set(static_cast<int64_t>(view.waiting));
    if (view.confirmed)
        m_holder.recordConfirmation(confirmedAt, view.duty);
    else
        m_holder.recordNoConfirmation();
    const TimePoint now = monotonicNow();
    acquireIfNeeded(now, view);
    const std::optional<uint64_t> token = m_holder.token(now);
    if (!token)
        return;
    const UsageActions actions =
        m_reporter.next(now, m_hooks.trueMillis(now), {token, view.duty.sinceMillis, view.lastDecided, view.oldest});
    if (actions.decide)
        decide(*actions.decide, *token);
    if (actions.recordSent)
        recordSent(*actions.recordSent);
    if (actions.send)
        send(now, *actions.send, *token, view.counts);
}

void UsageReports::submit(Command command, std::function<void(const ApplyOutcome &)> done)
{
    m_hooks.submit(std::move(command), [this, done = std::move(done)](const ApplyOutcome &outcome) {
        asio::post(m_context, [this, done, outcome] {
            done(outcome);
            refresh();
        });
    });
}

void UsageReports::acquireIfNeeded(TimePoint now, const LogView &view)
{
    if (!m_holder.shouldAcquire(now, m_controlHosts))
        return;
    m_holder.beginAcquire(now);
    Command command = makeCommand(CommandType::AcquireDuty);
    command.operatorName = m_name;
    command.number = static_cast<uint64_t>(std::max<int64_t>(m_hooks.trueMillis(now), 0));
    submit(std::move(command), [this, previous = view.duty.holder](const ApplyOutcome &outcome) {
        m_holder.endAcquire(outcome.ok() ? std::optional(outcome.number) : std::nullopt);
        if (outcome.ok())
            HS_LOG(INFO, LogEvent::DutyAcquired)
                << "duty=" << kUsageDuty << " token=" << outcome.number << " previous=\"" << previous << '"';
        else
            HS_LOG(WARNING, LogEvent::DutyNotAcquired) << "duty=" << kUsageDuty << ": " << outcome.message;
    });
}

void UsageReports::decide(uint64_t window, uint64_t token)
{
    Command command = makeCommand(CommandType::DecideUsage);
    command.number = window;
    command.text = pack(m_hooks.counts(window));
    command.count = token;
    submit(std::move(command), [this, window](const ApplyOutcome &outcome) {
        static Counter &dropped = Metrics::counter("hickoryspur_usage_windows_dropped_total");
        m_reporter.endDecide();
        if (!outcome.ok())
            HS_LOG(WARNING, LogEvent::UsageNotStored)
                << "window=" << window << " is not decided, it is tried again: " << outcome.message;
        if (!outcome.ok() || outcome.number == 0)
            return;
        dropped.add(static_cast<int64_t>(outcome.number));
        HS_LOG(ERROR, LogEvent::UsageWindowsDropped)
            << outcome.number << " undelivered windows dropped after window " << window << " was decided";
    });
}

void UsageReports::recordSent(uint64_t window)
{
    Command command = makeCommand(CommandType::UsageSent);
    command.number = window;
    submit(std::move(command), [this, window](const ApplyOutcome &outcome) {
        m_reporter.endRecordSent();
        if (!outcome.ok())
            HS_LOG(WARNING, LogEvent::UsageNotStored)
                << "window=" << window << " is delivered, which is not stored yet: " << outcome.message;
    });
}

void UsageReports::send(TimePoint now, uint64_t window, uint64_t token, const std::string &counts)
{
    static Counter &repeated = Metrics::counter("hickoryspur_usage_reports_repeated_total");
    UsageCall call;
    call.window = window;
    call.holder = m_name;
    call.token = token;
    std::optional<CustomerCounts> unpacked = unpack<CustomerCounts>(counts);
    if (!unpacked) {
        HS_LOG(ERROR, LogEvent::UsageNotStored) << "the stored counts of window " << window << " cannot be decoded";
        return m_reporter.endSend(now, window, {UsageVerdict::NoAnswer, Duration::zero()});
    }
    call.counts = std::move(*unpacked);
    if (m_lastCalled == window)
        repeated.add();
    m_lastCalled = window;
    // Without the memory for a fiber, the call is made later.
    const bool started = runGuarded("usage", [&] {
        boost::fibers::fiber([this, call] {
            UsageOutcome outcome;
            static_cast<void>(runGuarded("usage", [&] { outcome = exchange(call); }));
            static_cast<void>(runGuarded("usage", [&] { onAnswer(call, outcome); }));
        }).detach();
    });
    if (!started)
        m_reporter.endSend(now, window, {UsageVerdict::NotSent, Duration::zero()});
}

UsageOutcome UsageReports::exchange(const UsageCall &call)
{
    HttpCallerClient client(m_context, m_address);
    const Result<CallerResponse> response =
        client.exchangeOnce(m_codec.usageCall(call), CallLimits(),
                            [this, token = call.token] { return m_holder.token(monotonicNow()) == token; });
    if (response)
        return m_codec.usageOutcome(*response);
    HS_LOG(WARNING, LogEvent::UsageReportFailed) << "window=" << call.window << ": " << response.error().message;
    return {response.error().notRun ? UsageVerdict::NotSent : UsageVerdict::NoAnswer, Duration::zero()};
}

void UsageReports::onAnswer(const UsageCall &call, const UsageOutcome &outcome)
{
    static Counter &sent = Metrics::counter("hickoryspur_usage_reports_sent_total");
    static Counter &refused = Metrics::counter("hickoryspur_usage_reports_refused_total");
    m_reporter.endSend(monotonicNow(), call.window, outcome);
    const bool isRefusal = outcome.verdict == UsageVerdict::TokenOutdated || outcome.verdict == UsageVerdict::TooMany;
    if (outcome.verdict == UsageVerdict::Accepted)
        sent.add();
    if (isRefusal)
        refused.add();
    if (outcome.verdict == UsageVerdict::TokenOutdated) {
        m_holder.refuse(call.token);
        HS_LOG(WARNING, LogEvent::DutyTokenRefused)
            << "window=" << call.window << " token=" << call.token << ": the service has seen a higher token";
    } else if (outcome.verdict == UsageVerdict::TooMany || outcome.verdict == UsageVerdict::Failed) {
        HS_LOG(WARNING, LogEvent::UsageReportFailed)
            << "window=" << call.window << " verdict=" << verdictName(outcome.verdict)
            << " pause-ms=" << toMilliseconds(outcome.pause);
    }
    refresh();
}

} // namespace hickoryspur
