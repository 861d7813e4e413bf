#include "app/EntryProcess.h"

#include "app/CallerApi.h"
#include "connection/HttpUpstreamChannel.h"
#include "hickoryspur/process/Digest.h"
#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MessageCodec.h"
#include "hickoryspur/process/Metrics.h"
#include "request/TrafficThread.h"

#include <csignal>
#include <random>

namespace hickoryspur {

namespace {

/** Slightly longer than callers may use the entry addresses that they were given. */
constexpr std::chrono::milliseconds kAddressValidity{2500};
constexpr std::chrono::milliseconds kDrainTimeout{15000};
constexpr std::chrono::milliseconds kDrainPollInterval{20};

class EntryProcess
{
public:
    explicit EntryProcess(const Settings &settings)
        : m_settings(settings)
        , m_incarnation(generateIncarnation())
    {
    }

    Result<void> start();
    void shutDown();

private:
    static uint64_t generateIncarnation();
    Result<void> loadTokens();
    Result<void> startTraffic();
    TrafficHooks trafficHooks(uint32_t index);
    void receive(PeerMessage message);
    void deliverForward(ForwardBatch batch);
    void publish(const ViewPointer &view);
    bool isDrained() const;

    const Settings &m_settings;
    uint64_t m_incarnation;
    TokenFile m_callers;
    TokenFile m_operators;
    std::unique_ptr<PeerLinks> m_links;
    std::unique_ptr<ControlThread> m_control;
    std::unique_ptr<AdminApi> m_admin;
    std::unique_ptr<CallerApi> m_api;
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    std::vector<std::unique_ptr<HttpCallerServer>> m_servers;
    /** True once the traffic threads accept messages; peer messages are dropped before that. */
    std::atomic<bool> m_trafficStarted{false};
};

uint64_t EntryProcess::generateIncarnation()
{
    std::random_device source;
    return (static_cast<uint64_t>(source()) << 32U | source()) | 1U;
}

Result<void> EntryProcess::loadTokens()
{
    Result<TokenFile> callers = TokenFile::load(m_settings.callerTokens);
    if (!callers)
        return tl::unexpected(callers.error());
    Result<TokenFile> operators = TokenFile::load(m_settings.operatorTokens);
    if (!operators)
        return tl::unexpected(operators.error());
    m_callers = std::move(*callers);
    m_operators = std::move(*operators);
    return {};
}

void EntryProcess::receive(PeerMessage message)
{
    if (!m_trafficStarted)
        return;
    if (message.kind() == PeerMessageType::Forward) {
        if (std::optional<ForwardBatch> batch = unpack<ForwardBatch>(message.payload))
            deliverForward(std::move(*batch));
        return;
    }
    if (message.kind() == PeerMessageType::Reply) {
        std::optional<ReplyBatch> batch = unpack<ReplyBatch>(message.payload);
        if (batch && batch->replyThread < m_traffic.size())
            m_traffic[batch->replyThread]->postReplies(std::move(*batch));
        return;
    }
    m_control->receive(std::move(message));
}

void EntryProcess::deliverForward(ForwardBatch batch)
{
    if (m_traffic.size() == 1) {
        m_traffic.front()->postForward(std::move(batch));
        return;
    }
    std::vector<ForwardBatch> parts(m_traffic.size());
    for (SubRequest &request : batch.requests)
        parts[hash64(request.upstream.value()) % parts.size()].requests.push_back(std::move(request));
    for (size_t i = 0; i < parts.size(); ++i) {
        parts[i].from = batch.from;
        parts[i].replyThread = batch.replyThread;
        parts[i].cancels = batch.cancels;
        if (!parts[i].empty())
            m_traffic[i]->postForward(std::move(parts[i]));
    }
}

void EntryProcess::publish(const ViewPointer &view)
{
    for (const std::unique_ptr<TrafficThread> &thread : m_traffic)
        thread->postView(view);
}

TrafficHooks EntryProcess::trafficHooks(uint32_t index)
{
    TrafficHooks hooks;
    hooks.forward = [this](const NodeId &home, ForwardBatch batch) {
        if (home == m_settings.node)
            deliverForward(std::move(batch));
        else
            m_links->send(home, PeerMessageType::Forward, pack(batch));
    };
    hooks.reply = [this](const ReplyAddress &to, ReplyBatch batch) {
        if (to.node == m_settings.node)
            m_traffic.at(to.thread)->postReplies(std::move(batch));
        else
            m_links->send(to.node, PeerMessageType::Reply, pack(batch), to.thread);
    };
    hooks.query.mayServe = [this](TimePoint now) { return m_control->mayServe(now); };
    hooks.query.isAlive = [this](const NodeId &node) { return m_links->isAlive(node); };
    hooks.query.commit = [this, index](Command command, Duration timeout, std::function<void(ApplyOutcome)> done) {
        m_control->submit(std::move(command), CommandWait::Committed, timeout,
                          [this, index, done = std::move(done)](const ApplyOutcome &outcome) {
                              m_traffic.at(index)->post([done, outcome] { done(outcome); });
                          });
    };
    hooks.observe = [this](ObservationBatch batch) { m_control->observe(std::move(batch)); };
    hooks.channels = httpChannelFactory;
    hooks.listen = [this](boost::asio::io_context &context, QueryService &service) -> Result<void> {
        auto server = HttpCallerServer::listen(
            context, m_settings.self().callerAddress, ServerLimits(),
            [this, &service](const CallerRequest &request) { return m_api->handle(request, service); });
        if (!server)
            return tl::unexpected(server.error());
        m_servers.push_back(std::move(*server));
        return {};
    };
    return hooks;
}

Result<void> EntryProcess::startTraffic()
{
    for (const std::unique_ptr<TrafficThread> &thread : m_traffic)
        if (Result<void> started = thread->start(); !started)
            return started;
    m_trafficStarted = true;
    return {};
}

Result<void> EntryProcess::start()
{
    if (Result<void> tokens = loadTokens(); !tokens)
        return tokens;
    Result<std::unique_ptr<PeerLinks>> links =
        PeerLinks::open(m_settings, [this](PeerMessage message) { receive(std::move(message)); });
    if (!links)
        return tl::unexpected(links.error());
    m_links = std::move(*links);
    ControlThread::Hooks hooks;
    hooks.send = [this](const PeerSend &message) { m_links->send(message.to, message.type, message.payload); };
    hooks.tick = [this](TimePoint now) {
        static Counter &bytes = Metrics::counter("hickoryspur_peer_sent_bytes_total");
        m_links->tick(now);
        bytes.set(static_cast<int64_t>(m_links->sentBytes()));
    };
    hooks.publish = [this](const ViewPointer &view) { publish(view); };
    // The traffic threads are created before the control thread, which publishes views to them, and are
    // started after it, because they call it when they serve requests.
    for (uint32_t i = 0; i < m_settings.trafficThreads; ++i)
        m_traffic.push_back(std::make_unique<TrafficThread>(m_settings.node, m_incarnation, i, trafficHooks(i)));
    Result<std::unique_ptr<ControlThread>> control = ControlThread::start(m_settings, m_incarnation, std::move(hooks));
    if (!control)
        return tl::unexpected(control.error());
    m_control = std::move(*control);
    m_admin = std::make_unique<AdminApi>(m_settings, m_operators, *m_control);
    m_api = std::make_unique<CallerApi>(m_settings, m_callers, *m_admin, *m_control);
    return startTraffic();
}

bool EntryProcess::isDrained() const
{
    size_t open = 0;
    for (const std::unique_ptr<TrafficThread> &thread : m_traffic)
        open += thread->openCount();
    return open == 0;
}

void EntryProcess::shutDown()
{
    // The entry refuses requests only after callers no longer use any address list that names it.
    m_control->setLeaving();
    std::this_thread::sleep_for(kAddressValidity);
    for (const std::unique_ptr<TrafficThread> &thread : m_traffic)
        thread->postShuttingDown();
    const TimePoint deadline = monotonicNow() + kDrainTimeout;
    do
        std::this_thread::sleep_for(kDrainPollInterval);
    while (!isDrained() && monotonicNow() < deadline);
    // Gives the sockets time to send the last answers.
    std::this_thread::sleep_for(kDrainPollInterval);
}

} // namespace

int serve(const Settings &settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    EntryProcess process(settings);
    if (const Result<void> started = process.start(); !started) {
        LOG(ERROR) << started.error().message;
        return exitCode(started.error().code);
    }
    HS_LOG(INFO, LogEvent::ProcessStarted) << settings.node << " at " << settings.self().callerAddress.text();
    int signal = 0;
    sigwait(&signals, &signal);
    HS_LOG(INFO, LogEvent::ProcessStopping) << "signal " << signal;
    process.shutDown();
    HS_LOG(INFO, LogEvent::ProcessStopped) << settings.node;
    google::FlushLogFiles(google::GLOG_INFO);
    // Every acknowledged change is on disk. Idle connections still have fibers whose stacks cannot be
    // unwound from this thread, so the process exits without running destructors.
    std::_Exit(0);
}

} // namespace hickoryspur
