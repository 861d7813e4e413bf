#include "process/GroupThread.h"

#include "hickoryspur/process/LogEvent.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <filesystem>
#include <thread>
#include <unordered_map>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;

/** Well below the log's heartbeat interval of 60 ms, but not shorter, since each tick wakes the thread. */
constexpr Duration kTickInterval = 20ms;
/** Time between a failure of the data folder and the next attempt to open it. */
constexpr Duration kReopenDelay = 300ms;
constexpr const char *kNotesFile = "notes";

} // namespace

struct GroupThread::State
{
    State(GroupThreadConfig initialConfig, Hooks initialHooks)
        : config(std::move(initialConfig))
        , hooks(std::move(initialHooks))
    {
    }

    GroupThreadConfig config;
    Hooks hooks;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    asio::steady_timer timer{context};
    std::unique_ptr<FileLogStorage> storage;
    std::unique_ptr<GroupNode> node;
    std::unordered_map<uint64_t, DoneCallback> pendingCallbacks;
    uint64_t nextCommandId = 1;
    uint64_t openCount = 0;
    std::vector<GroupActions> pending;
    bool flushPosted = false;
    bool statusChanged = true;
    bool publishedLeads = false;
    std::optional<NodeId> publishedLeader;
    TimePoint nextOpenAttempt;
    std::thread thread;

    void open();
    Result<void> formatIfFirstStart() const;
    void enqueue(GroupActions actions);
    void flush();
    Result<void> writeBatch(const std::vector<GroupActions> &batch);
    void sendAndAnswer(const std::vector<GroupActions> &batch);
    void closeOnFailure(const Failure &failure);
    void answer(const CommandAnswer &answer);
    void publishIfChanged();
    void startTimer();
    void onTimer();
};

Result<void> GroupThread::State::formatIfFirstStart() const
{
    const bool isSeed = std::find(config.seeds.begin(), config.seeds.end(), config.self) != config.seeds.end();
    std::error_code error;
    const bool empty =
        !std::filesystem::exists(config.dataFolder, error) || std::filesystem::is_empty(config.dataFolder, error);
    if (!config.formsGroup || !isSeed || !empty || openCount > 0)
        return {};
    return FileLogStorage::format(config.dataFolder, config.self, config.seeds);
}

void GroupThread::State::open()
{
    RecoveredStorage recovered;
    const Result<void> formatted = formatIfFirstStart();
    auto opened = formatted
        ? FileLogStorage::open(config.dataFolder, config.self, config.incarnation + openCount, recovered)
        : tl::unexpected(formatted.error());
    if (!opened) {
        HS_LOG(ERROR, LogEvent::LogClosed) << "cannot open the log: " << opened.error().message << "; retrying";
        nextOpenAttempt = monotonicNow() + kReopenDelay;
        return;
    }
    ++openCount;
    storage = std::move(*opened);
    HS_LOG(INFO, LogEvent::LogRecovered) << "checkpoint " << recovered.log.checkpoint.index << " and "
                                         << recovered.log.entries.size() << " entries after it, "
                                         << recovered.truncatedBytes << " bytes of an incomplete record truncated";
    node = std::make_unique<GroupNode>(recovered, config.seeds, config.timing, config.incarnation + openCount,
                                       monotonicNow());
    statusChanged = true;
    if (std::optional<std::string> notes = loadRecordFile(config.dataFolder, kNotesFile))
        hooks.restoreNotes(std::move(*notes));
}

void GroupThread::State::enqueue(GroupActions actions)
{
    pending.push_back(std::move(actions));
    if (flushPosted)
        return;
    flushPosted = true;
    // Runs after the events that are already queued, so that they share one disk write.
    asio::post(context, [this] { flush(); });
}

Result<void> GroupThread::State::writeBatch(const std::vector<GroupActions> &batch)
{
    for (const GroupActions &actions : batch) {
        for (const LogActions &log : actions.log)
            if (Result<void> result = persist(*storage, log); !result)
                return result;
        if (!actions.checkpoint)
            continue;
        if (Result<void> result = storage->saveCheckpoint(*actions.checkpoint, CheckpointOrigin::Local); !result)
            return result;
        HS_LOG(INFO, LogEvent::CheckpointWritten) << "up to entry " << actions.checkpoint->index;
    }
    return {};
}

void GroupThread::State::sendAndAnswer(const std::vector<GroupActions> &batch)
{
    for (const GroupActions &actions : batch) {
        for (const LogEnvelope &envelope : actions.messages)
            hooks.send(envelope);
        for (const CommandAnswer &result : actions.answers)
            answer(result);
        statusChanged = statusChanged || actions.stateChanged;
    }
}

void GroupThread::State::answer(const CommandAnswer &answer)
{
    const auto found = pendingCallbacks.find(answer.commandId);
    if (found == pendingCallbacks.end())
        return;
    const DoneCallback done = std::move(found->second);
    pendingCallbacks.erase(found);
    done(answer.outcome);
}

void GroupThread::State::closeOnFailure(const Failure &failure)
{
    HS_LOG(ERROR, LogEvent::LogClosed) << "writing the log failed; acknowledging nothing until it can be opened again: "
                                       << failure.message;
    node.reset();
    storage.reset();
    pending.clear();
    nextOpenAttempt = monotonicNow() + kReopenDelay;
    const ApplyOutcome unknown{static_cast<int>(ResultCode::OutcomeUnknown), "a disk write failed on this host", 0, ""};
    const auto callbacks = std::move(pendingCallbacks);
    pendingCallbacks.clear();
    for (const auto &[commandId, done] : callbacks)
        done(unknown);
    statusChanged = true;
}

void GroupThread::State::flush()
{
    flushPosted = false;
    if (!node)
        return;
    const std::vector<GroupActions> batch = std::move(pending);
    pending.clear();
    const bool writesLog =
        std::any_of(batch.begin(), batch.end(), [](const auto &actions) { return !actions.log.empty(); });
    if (const Result<void> written = writeBatch(batch); !written) {
        closeOnFailure(written.error());
        publishIfChanged();
        return;
    }
    if (writesLog)
        enqueue(node->persisted(monotonicNow()));
    sendAndAnswer(batch);
    publishIfChanged();
}

void GroupThread::State::publishIfChanged()
{
    const bool leads = node && node->leads(monotonicNow());
    const std::optional<NodeId> leader = node ? node->leader() : std::nullopt;
    if (!statusChanged && leads == publishedLeads && leader == publishedLeader)
        return;
    statusChanged = false;
    publishedLeads = leads;
    publishedLeader = leader;
    GroupStatus status;
    if (node) {
        const ControlState &state = node->state();
        status.applied = state.appliedIndex().value();
        status.routes = state.routes();
        status.dataCentresOut.assign(state.dataCentresOut().begin(), state.dataCentresOut().end());
        status.moves = state.moves();
        status.controlHosts = node->knownHosts();
        status.term = node->log().term().value();
    }
    status.leader = leader;
    status.leads = leads;
    status.at = monotonicNow();
    hooks.publish(std::move(status));
}

void GroupThread::State::startTimer()
{
    timer.expires_after(kTickInterval);
    timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            onTimer();
    });
}

void GroupThread::State::onTimer()
{
    const TimePoint now = monotonicNow();
    if (!node && now >= nextOpenAttempt)
        open();
    if (node)
        enqueue(node->tick(now));
    startTimer();
}

GroupThread::GroupThread(GroupThreadConfig config, Hooks hooks)
    : m_state(std::make_unique<State>(std::move(config), std::move(hooks)))
{
    State *state = m_state.get();
    asio::post(state->context, [state] { state->onTimer(); });
    state->thread = std::thread([state] { state->context.run(); });
}

GroupThread::~GroupThread()
{
    m_state->context.stop();
    if (m_state->thread.joinable())
        m_state->thread.join();
}

void GroupThread::receive(LogMessage message)
{
    asio::post(m_state->context, [state = m_state.get(), message = std::move(message)] {
        if (state->node)
            state->enqueue(state->node->receive(monotonicNow(), message));
    });
}

void GroupThread::submit(Command command, DoneCallback done)
{
    asio::post(m_state->context,
               [state = m_state.get(), command = std::move(command), done = std::move(done)]() mutable {
                   if (!state->node) {
                       done({static_cast<int>(ResultCode::NoLeader), "the log of this host is closed", 0, ""});
                       return;
                   }
                   const uint64_t commandId = state->nextCommandId++;
                   state->pendingCallbacks.emplace(commandId, std::move(done));
                   state->enqueue(state->node->submit(monotonicNow(), commandId, command));
               });
}

void GroupThread::read(ReadCallback callback)
{
    asio::post(m_state->context, [state = m_state.get(), callback = std::move(callback)] {
        static const ControlState emptyState;
        const bool confirmed = state->node && state->node->leads(monotonicNow());
        callback(confirmed, state->node ? state->node->state() : emptyState,
                 state->node ? state->node->leader() : std::nullopt);
    });
}

void GroupThread::requestLogReport(std::function<void(std::optional<LogReport>)> callback)
{
    asio::post(m_state->context, [state = m_state.get(), callback = std::move(callback)] {
        // A report may only cover what is durable on this host.
        const bool isDurable = state->node && state->pending.empty();
        callback(isDurable ? std::optional(state->node->report()) : std::nullopt);
    });
}

void GroupThread::saveNotes(std::string bytes, std::function<void(bool)> saved)
{
    asio::post(m_state->context, [state = m_state.get(), bytes = std::move(bytes), saved = std::move(saved)] {
        if (!state->node)
            return saved(false);
        const Result<void> written = saveRecordFile(state->config.dataFolder, kNotesFile, bytes);
        LOG_IF(WARNING, !written) << "cannot save the notes file, a restart will recover more slowly: "
                                  << written.error().message;
        saved(written.has_value());
    });
}

void GroupThread::setSeeds(std::vector<NodeId> seeds)
{
    asio::post(m_state->context, [state = m_state.get(), seeds = std::move(seeds)] {
        state->config.seeds = seeds;
        if (state->node)
            state->node->setSeeds(seeds);
    });
}

} // namespace hickoryspur
