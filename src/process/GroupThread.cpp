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

/** Well below the log's heartbeat; each tick costs a wake-up. */
constexpr Duration kTick = 20ms;
/** Pause before a folder that failed is opened again. */
constexpr Duration kReopenAfter = 300ms;
constexpr const char *kNotesFile = "notes";

} // namespace

struct GroupThread::State
{
    State(GroupThreadConfig configOf, Hooks hooksOf)
        : config(std::move(configOf))
        , hooks(std::move(hooksOf))
    {
    }

    GroupThreadConfig config;
    Hooks hooks;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    asio::steady_timer timer{context};
    std::unique_ptr<FileLogStorage> storage;
    std::unique_ptr<GroupNode> node;
    std::unordered_map<uint64_t, Done> tickets;
    uint64_t nextTicket = 1;
    uint64_t lives = 0;
    std::vector<GroupActions> pending;
    bool flushPosted = false;
    bool statusDue = true;
    bool ledBefore = false;
    std::optional<NodeId> leaderBefore;
    TimePoint nextOpen;
    std::thread thread;

    void open();
    Result<void> formIfFirst() const;
    void take(GroupActions actions);
    void flush();
    Result<void> write(const std::vector<GroupActions> &batch);
    void finish(const std::vector<GroupActions> &batch);
    void closeAfter(const Failure &failure);
    void answer(const CommandAnswer &answer);
    void publishIfDue();
    void startTimer();
    void onTimer();
};

Result<void> GroupThread::State::formIfFirst() const
{
    const bool isSeed = std::find(config.seeds.begin(), config.seeds.end(), config.self) != config.seeds.end();
    std::error_code error;
    const bool empty =
        !std::filesystem::exists(config.dataFolder, error) || std::filesystem::is_empty(config.dataFolder, error);
    if (!config.formsGroup || !isSeed || !empty || lives > 0)
        return {};
    return FileLogStorage::format(config.dataFolder, config.self, config.seeds);
}

void GroupThread::State::open()
{
    RecoveredStorage recovered;
    const Result<void> formed = formIfFirst();
    auto opened = formed ? FileLogStorage::open(config.dataFolder, config.self, config.incarnation + lives, recovered)
                         : tl::unexpected(formed.error());
    if (!opened) {
        HS_LOG(ERROR, LogEvent::LogClosed) << "cannot open the log: " << opened.error().message;
        nextOpen = monotonicNow() + kReopenAfter;
        return;
    }
    ++lives;
    storage = std::move(*opened);
    HS_LOG(INFO, LogEvent::LogRecovered) << "checkpoint " << recovered.log.checkpoint.index << " and "
                                         << recovered.log.entries.size() << " entries after it, " << recovered.cutBytes
                                         << " bytes of an unfinished record cut";
    node =
        std::make_unique<GroupNode>(recovered, config.seeds, config.timing, config.incarnation + lives, monotonicNow());
    statusDue = true;
    if (std::optional<std::string> notes = loadRecordFile(config.dataFolder, kNotesFile))
        hooks.notes(std::move(*notes));
}

void GroupThread::State::take(GroupActions actions)
{
    pending.push_back(std::move(actions));
    if (flushPosted)
        return;
    flushPosted = true;
    // Posted behind the events that are already waiting, so that they share the disk write.
    asio::post(context, [this] { flush(); });
}

Result<void> GroupThread::State::write(const std::vector<GroupActions> &batch)
{
    for (const GroupActions &actions : batch) {
        for (const LogActions &log : actions.log)
            if (Result<void> result = persist(*storage, log); !result)
                return result;
        if (!actions.checkpoint)
            continue;
        if (Result<void> result = storage->saveCheckpoint(*actions.checkpoint, CheckpointOrigin::MadeHere); !result)
            return result;
        HS_LOG(INFO, LogEvent::CheckpointWritten) << "up to entry " << actions.checkpoint->index;
    }
    return {};
}

void GroupThread::State::finish(const std::vector<GroupActions> &batch)
{
    for (const GroupActions &actions : batch) {
        for (const LogEnvelope &envelope : actions.messages)
            hooks.send(envelope);
        for (const CommandAnswer &result : actions.answers)
            answer(result);
        statusDue = statusDue || actions.stateChanged;
    }
}

void GroupThread::State::answer(const CommandAnswer &answer)
{
    const auto found = tickets.find(answer.ticket);
    if (found == tickets.end())
        return;
    const Done done = std::move(found->second);
    tickets.erase(found);
    done(answer.outcome);
}

void GroupThread::State::closeAfter(const Failure &failure)
{
    HS_LOG(ERROR, LogEvent::LogClosed) << "the disk refused a write, so nothing is promised until it works: "
                                       << failure.message;
    node.reset();
    storage.reset();
    pending.clear();
    nextOpen = monotonicNow() + kReopenAfter;
    const ApplyOutcome unknown{static_cast<int>(ResultCode::OutcomeUnknown), "the disk of this host failed", 0, ""};
    const auto waiting = std::move(tickets);
    tickets.clear();
    for (const auto &[ticket, done] : waiting)
        done(unknown);
    statusDue = true;
}

void GroupThread::State::flush()
{
    flushPosted = false;
    if (!node)
        return;
    const std::vector<GroupActions> batch = std::move(pending);
    pending.clear();
    const bool writes =
        std::any_of(batch.begin(), batch.end(), [](const auto &actions) { return !actions.log.empty(); });
    if (const Result<void> written = write(batch); !written) {
        closeAfter(written.error());
        publishIfDue();
        return;
    }
    if (writes)
        take(node->persisted(monotonicNow()));
    finish(batch);
    publishIfDue();
}

void GroupThread::State::publishIfDue()
{
    const bool leads = node && node->leads(monotonicNow());
    const std::optional<NodeId> leader = node ? node->leader() : std::nullopt;
    if (!statusDue && leads == ledBefore && leader == leaderBefore)
        return;
    statusDue = false;
    ledBefore = leads;
    leaderBefore = leader;
    GroupStatus status;
    if (node) {
        const ControlState &state = node->state();
        status.applied = state.appliedIndex().value();
        status.routes = state.routes();
        status.dataCentresOut.assign(state.dataCentresOut().begin(), state.dataCentresOut().end());
        status.controlHosts = node->knownHosts();
    }
    status.leader = leader;
    status.leads = leads;
    status.at = monotonicNow();
    hooks.publish(std::move(status));
}

void GroupThread::State::startTimer()
{
    timer.expires_after(kTick);
    timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            onTimer();
    });
}

void GroupThread::State::onTimer()
{
    const TimePoint now = monotonicNow();
    if (!node && now >= nextOpen)
        open();
    if (node)
        take(node->tick(now));
    startTimer();
}

GroupThread::GroupThread(GroupThreadConfig config, Hooks hooks)
    : m_state(std::make_unique<State>(std::move(config), std::move(hooks)))
{
    State *raw = m_state.get();
    asio::post(raw->context, [raw] { raw->onTimer(); });
    raw->thread = std::thread([raw] { raw->context.run(); });
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
            state->take(state->node->receive(monotonicNow(), message));
    });
}

void GroupThread::submit(Command command, Done done)
{
    asio::post(m_state->context,
               [state = m_state.get(), command = std::move(command), done = std::move(done)]() mutable {
                   if (!state->node) {
                       done({static_cast<int>(ResultCode::NoLeader), "the log of this host is closed", 0, ""});
                       return;
                   }
                   const uint64_t ticket = state->nextTicket++;
                   state->tickets.emplace(ticket, std::move(done));
                   state->take(state->node->submit(monotonicNow(), ticket, command));
               });
}

void GroupThread::read(Read read)
{
    asio::post(m_state->context, [state = m_state.get(), read = std::move(read)] {
        static const ControlState none;
        const bool confirmed = state->node && state->node->leads(monotonicNow());
        read(confirmed, state->node ? state->node->state() : none, state->node ? state->node->leader() : std::nullopt);
    });
}

void GroupThread::readLog(std::function<void(LogReport)> read)
{
    asio::post(m_state->context, [state = m_state.get(), read = std::move(read)] {
        // What is not on this host's disk yet does not count for it.
        if (state->node && state->pending.empty())
            read(state->node->report());
    });
}

void GroupThread::saveNotes(std::string bytes)
{
    asio::post(m_state->context, [state = m_state.get(), bytes = std::move(bytes)] {
        if (!state->node)
            return;
        const Result<void> saved = saveRecordFile(state->config.dataFolder, kNotesFile, bytes);
        LOG_IF(WARNING, !saved) << "notes are not saved: " << saved.error().message;
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
