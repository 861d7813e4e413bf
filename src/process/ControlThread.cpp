#include "process/ControlThread.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdio>
#include <fstream>
#include <thread>
#include <unordered_map>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

constexpr Duration kTickInterval = 10ms;
constexpr Duration kBurnSaveInterval = 20s;
constexpr const char *kBurnFile = "/burn";

} // namespace

struct ControlThread::State
{
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    asio::steady_timer timer{context};
    Hooks hooks;
    std::unique_ptr<FileLogStorage> storage;
    std::unique_ptr<ControlNode> node;
    std::unordered_map<uint64_t, DoneCallback> pendingCallbacks;
    uint64_t nextCommandId = 1;
    std::vector<NodeActions> pending;
    bool flushPosted = false;
    std::atomic<int64_t> servesUntilMicros{0};
    ServingRight lastServingRight = ServingRight::None;
    std::string burnFile;
    TimePoint nextBurnSave;
    std::thread thread;

    void enqueueActions(NodeActions actions);
    void flush();
    bool writeLog(const std::vector<NodeActions> &batch);
    void finishBatch(std::vector<NodeActions> &batch);
    void updateServingRight();
    void loadBurn(const std::string &folder);
    void saveBurnIfDue(TimePoint now);
    void startTimer();
    void onTimer();
};

void ControlThread::State::enqueueActions(NodeActions actions)
{
    pending.push_back(std::move(actions));
    if (flushPosted)
        return;
    flushPosted = true;
    // Posted after the events that are already queued, so that they share one disk write.
    asio::post(context, [this] { flush(); });
}

bool ControlThread::State::writeLog(const std::vector<NodeActions> &batch)
{
    bool wrote = false;
    for (const NodeActions &actions : batch) {
        for (const LogActions &log : actions.log) {
            const Result<void> result = persist(*storage, log);
            LOG_IF(FATAL, !result)
                << "cannot write the replicated log; stopping, because no command can be made durable: "
                << result.error().message;
            wrote = true;
        }
        if (actions.checkpoint) {
            const Result<void> result = storage->saveCheckpoint(*actions.checkpoint, CheckpointOrigin::Local);
            LOG_IF(FATAL, !result) << "cannot write the checkpoint; stopping: " << result.error().message;
            HS_LOG(INFO, LogEvent::CheckpointWritten) << "up to entry " << actions.checkpoint->index;
        }
    }
    return wrote;
}

void ControlThread::State::finishBatch(std::vector<NodeActions> &batch)
{
    for (NodeActions &actions : batch) {
        for (const PeerSend &message : actions.sends)
            hooks.send(message);
        for (SubmitResult &reply : actions.replies) {
            const auto found = pendingCallbacks.find(reply.commandId);
            if (found == pendingCallbacks.end())
                continue;
            const DoneCallback done = std::move(found->second);
            pendingCallbacks.erase(found);
            done(std::move(reply.outcome));
        }
        if (actions.view)
            hooks.publish(actions.view);
    }
}

void ControlThread::State::flush()
{
    flushPosted = false;
    std::vector<NodeActions> batch = std::move(pending);
    pending.clear();
    const bool wrote = writeLog(batch);
    finishBatch(batch);
    if (wrote)
        enqueueActions(node->persisted(monotonicNow()));
    updateServingRight();
}

void ControlThread::State::updateServingRight()
{
    const TimePoint now = monotonicNow();
    servesUntilMicros.store(node->servesUntil().time_since_epoch().count());
    const ServingRight right = node->right(now);
    if (right == lastServingRight)
        return;
    if (right == ServingRight::None)
        HS_LOG(WARNING, LogEvent::LeaseLost)
            << "no lease, and no majority of entries confirms this entry's state; refusing new work";
    else if (right == ServingRight::PeerConfirmed)
        HS_LOG(WARNING, LogEvent::ServingWithoutControl)
            << "no lease, but a majority of entries confirms this entry's state; serving continues";
    else
        HS_LOG(INFO, LogEvent::LeaseRegained) << "this entry holds a lease";
    lastServingRight = right;
}

void ControlThread::State::startTimer()
{
    timer.expires_after(kTickInterval);
    timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            onTimer();
    });
}

void ControlThread::State::onTimer()
{
    const TimePoint now = monotonicNow();
    hooks.tick(now);
    enqueueActions(node->tick(now, wallClockSeconds()));
    saveBurnIfDue(now);
    startTimer();
}

void ControlThread::State::loadBurn(const std::string &folder)
{
    burnFile = folder + kBurnFile;
    nextBurnSave = monotonicNow() + kBurnSaveInterval;
    if (const Result<std::string> bytes = readFile(burnFile))
        if (std::optional<BurnRateTracker> tracker = BurnRateTracker::deserialize(*bytes))
            node->restoreBurn(std::move(*tracker));
}

void ControlThread::State::saveBurnIfDue(TimePoint now)
{
    if (burnFile.empty() || now < nextBurnSave)
        return;
    nextBurnSave = now + kBurnSaveInterval;
    // Not synced: a crash may lose the last seconds of the burn report, which is acceptable.
    const std::string temporary = burnFile + ".new";
    std::ofstream(temporary, std::ios::binary) << node->burn().serialize();
    std::rename(temporary.c_str(), burnFile.c_str());
}

ControlThread::ControlThread(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

ControlThread::~ControlThread()
{
    m_state->context.stop();
    if (m_state->thread.joinable())
        m_state->thread.join();
}

Result<std::unique_ptr<ControlThread>> ControlThread::start(const Settings &settings, uint64_t incarnation, Hooks hooks)
{
    auto state = std::make_unique<State>();
    State *raw = state.get();
    state->hooks = std::move(hooks);
    std::optional<RecoveredStorage> recovered;
    if (settings.self().control) {
        recovered.emplace();
        auto storage = FileLogStorage::open(settings.dataFolder, settings.node, incarnation, *recovered);
        if (!storage)
            return tl::unexpected(storage.error());
        state->storage = std::move(*storage);
        HS_LOG(INFO, LogEvent::LogRecovered) << "checkpoint " << recovered->log.checkpoint.index << " and "
                                             << recovered->log.entries.size() << " entries after it";
        if (recovered->truncatedBytes > 0)
            HS_LOG(WARNING, LogEvent::LogTailCut)
                << recovered->truncatedBytes << " bytes of an incomplete record truncated from the end of the log";
    }
    ControlNodeConfig config;
    config.settings = settings;
    config.incarnation = incarnation;
    config.seed = incarnation;
    state->node = std::make_unique<ControlNode>(std::move(config), std::move(recovered), monotonicNow());
    if (settings.self().control)
        state->loadBurn(settings.dataFolder);
    state->startTimer();
    state->thread = std::thread([raw] { raw->context.run(); });
    return std::unique_ptr<ControlThread>(new ControlThread(std::move(state)));
}

void ControlThread::receive(PeerMessage message)
{
    asio::post(m_state->context, [state = m_state.get(), message = std::move(message)] {
        state->enqueueActions(state->node->receive(monotonicNow(), message));
    });
}

void ControlThread::announce(Announcement announcement)
{
    asio::post(m_state->context, [state = m_state.get(), announcement = std::move(announcement)] {
        state->enqueueActions(state->node->announce(monotonicNow(), announcement));
    });
}

void ControlThread::submit(Command command, CommandWait wait, Duration timeout, DoneCallback done)
{
    asio::post(m_state->context,
               [state = m_state.get(), command = std::move(command), wait, timeout, done = std::move(done)]() mutable {
                   const uint64_t commandId = state->nextCommandId++;
                   state->pendingCallbacks.emplace(commandId, std::move(done));
                   if (command.kind() == CommandType::Claim)
                       command.count = commandId;
                   state->enqueueActions(
                       state->node->submit(monotonicNow(), commandId, std::move(command), wait, timeout));
               });
}

void ControlThread::inspect(std::function<void(const ControlNode &, TimePoint)> reader)
{
    asio::post(m_state->context,
               [state = m_state.get(), reader = std::move(reader)] { reader(*state->node, monotonicNow()); });
}

void ControlThread::observe(ObservationBatch batch)
{
    asio::post(m_state->context, [state = m_state.get(), batch = std::move(batch)] {
        state->enqueueActions(state->node->observe(batch));
    });
}

void ControlThread::setLeaving()
{
    asio::post(m_state->context, [state = m_state.get()] { state->node->setLeaving(); });
}

bool ControlThread::mayServe(TimePoint now) const
{
    return now.time_since_epoch().count() < m_state->servesUntilMicros.load(std::memory_order_relaxed);
}

} // namespace hickoryspur
