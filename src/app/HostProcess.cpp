#include "app/HostProcess.h"

#include "app/ControlHost.h"
#include "app/EntryHost.h"
#include "connection/AsioScheduler.h"
#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"
#include "process/BoundedLogSink.h"

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/all.hpp>

#include <csignal>
#include <random>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

/** How often the settings file is checked for changes without a signal. */
constexpr Duration kSettingsPollInterval = 1s;
constexpr Duration kStopPollInterval = 20ms;
/** Requests still running this long before the end of the grace period are abandoned. */
constexpr Duration kStopMargin = 250ms;
/** Requests that still run are answered this long before that, since an answer takes time to send. */
constexpr Duration kStopAnswerTime = 150ms;
/** A stopping control host still answers for this long while its clients switch to other control hosts. */
constexpr Duration kControlDrainTime = 300ms;

uint64_t generateIncarnation()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32U) | device();
}

class HostProcess
{
public:
    HostProcess(std::string settingsPath, HostSettings settings, std::string settingsText, const HostCodec &codec)
        : m_context(std::make_shared<asio::io_context>(1))
        , m_signals(*m_context, SIGTERM, SIGINT, SIGHUP)
        , m_timer(*m_context)
        , m_settingsPath(std::move(settingsPath))
        , m_settings(std::move(settings))
        , m_settingsText(std::move(settingsText))
        , m_codec(codec)
    {
    }

    int run();

private:
    Result<void> start();
    Result<void> startMetrics();
    void waitForSignal();
    void watchSettings();
    void reload();
    void stop();

    std::shared_ptr<asio::io_context> m_context;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    std::string m_settingsPath;
    HostSettings m_settings;
    std::string m_settingsText;
    const HostCodec &m_codec;
    std::unique_ptr<ControlHost> m_control;
    std::unique_ptr<EntryHost> m_entry;
    std::unique_ptr<HttpCallerServer> m_metricsServer;
    boost::fibers::promise<int> m_stopSignal;
    bool m_stopRequested = false;
};

Result<void> HostProcess::startMetrics()
{
    if (!m_settings.metricsAddress)
        return {};
    auto server = HttpCallerServer::listen(*m_context, *m_settings.metricsAddress, ServerLimits(),
                                           [](const CallerRequest &request) {
                                               CallerResponse response;
                                               response.status = request.path == "/metrics" ? 200 : 404;
                                               response.contentType = "text/plain; version=0.0.4";
                                               response.body = response.status == 200 ? Metrics::prometheusText() : "";
                                               return response;
                                           });
    if (!server)
        return tl::unexpected(server.error());
    m_metricsServer = std::move(*server);
    return {};
}

Result<void> HostProcess::start()
{
    connectionBytes().setLimit(m_settings.connectionBytes);
    if (Result<void> metrics = startMetrics(); !metrics)
        return metrics;
    const uint64_t incarnation = generateIncarnation();
    if (m_settings.role == HostRole::Control) {
        m_control = std::make_unique<ControlHost>(*m_context, m_settings, m_codec, incarnation);
        return m_control->start();
    }
    m_entry = std::make_unique<EntryHost>(*m_context, m_settings, m_codec, incarnation);
    return m_entry->start();
}

void HostProcess::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reload();
        else if (!m_stopRequested) {
            m_stopRequested = true;
            m_stopSignal.set_value(signal);
        }
        waitForSignal();
    });
}

void HostProcess::watchSettings()
{
    m_timer.expires_after(kSettingsPollInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        reload();
        watchSettings();
    });
}

void HostProcess::reload()
{
    const Result<std::string> text = readFile(m_settingsPath);
    if (!text || *text == m_settingsText)
        return;
    m_settingsText = *text;
    const Result<HostSettings> settings = parseHostSettings(*text, m_settingsPath);
    if (!settings) {
        HS_LOG(ERROR, LogEvent::SettingsRefused)
            << "the changed settings are invalid, keeping the previous ones: " << settings.error().message;
        return;
    }
    HS_LOG(INFO, LogEvent::SettingsReloaded) << settings->seeds.size() << " seeds";
    if (m_control)
        m_control->reload(*settings);
    else
        m_entry->reload(*settings);
    m_settings.grace = settings->grace;
}

void HostProcess::stop()
{
    const TimePoint requested = monotonicNow();
    const auto sleepUntil = [](TimePoint wakeTime) {
        const Duration left = wakeTime - monotonicNow();
        if (left > Duration::zero())
            boost::this_fiber::sleep_for(left);
    };
    const TimePoint deadline = requested + m_settings.grace - kStopMargin;
    if (m_control) {
        m_control->setClosing();
        sleepUntil(std::min(deadline, requested + kControlDrainTime));
        while (m_control->openRequests() > 0 && monotonicNow() < deadline)
            boost::this_fiber::sleep_for(kStopPollInterval);
        return;
    }
    m_entry->setClosing(deadline - kStopAnswerTime);
    sleepUntil(std::min(deadline, requested + m_settings.callerDrainTime()));
    m_entry->stopAccepting();
    while (m_entry->openRequests() > 0 && monotonicNow() < deadline)
        boost::this_fiber::sleep_for(kStopPollInterval);
    // Gives the sockets time to send the last answers.
    boost::this_fiber::sleep_for(kStopPollInterval);
}

int HostProcess::run()
{
    boost::fibers::use_scheduling_algorithm<AsioScheduler>(m_context);
    if (const Result<void> started = start(); !started) {
        LOG(ERROR) << started.error().message;
        return exitCode(started.error().code);
    }
    HS_LOG(INFO, LogEvent::ProcessStarted) << m_settings.name << " at " << m_settings.internalAddress.text();
    waitForSignal();
    watchSettings();
    const int signal = m_stopSignal.get_future().get();
    HS_LOG(INFO, LogEvent::ProcessStopping) << "signal " << signal;
    stop();
    HS_LOG(INFO, LogEvent::ProcessStopped) << m_settings.name;
    return 0;
}

} // namespace

int runHost(const std::string &settingsPath, const HostCodec &codec)
{
    std::signal(SIGPIPE, SIG_IGN);
    BoundedLogSink::install();
    const Result<std::string> text = readFile(settingsPath);
    const Result<HostSettings> settings = text ? parseHostSettings(*text, settingsPath) : tl::unexpected(text.error());
    if (!settings) {
        LOG(ERROR) << settings.error().message;
        return exitCode(settings.error().code);
    }
    // Never destroyed, because the connections' fibers cannot be unwound from here.
    const int code = (new HostProcess(settingsPath, *settings, *text, codec))->run();
    google::FlushLogFiles(google::GLOG_INFO);
    std::_Exit(code);
}

} // namespace hickoryspur
