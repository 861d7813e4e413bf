#include "connection/HttpUpstreamChannel.h"

#include "hickoryspur/connection/ConnectionPolicy.h"
#include "hickoryspur/process/Check.h"
#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/Metrics.h"
#include "process/AnswerReader.h"
#include "process/HttpLimits.h"
#include "process/Numbers.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <unordered_map>

namespace hickoryspur {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/** A field that is missing or is no number counts as the fallback, which belongs to no request. */
template <typename Number> Number numberOr(beast::string_view text, Number fallback)
{
    return parseWhole<Number>({text.data(), text.size()}).value_or(fallback);
}

SubOutcome outcomeOf(const http::response<http::string_body> &response)
{
    const beast::string_view outcome = response["Hickoryspur-Outcome"];
    if (response.result() == http::status::ok)
        return outcome.empty() || outcome == "ok" ? SubOutcome::Ok : SubOutcome::Failed;
    if (outcome == "shed")
        return SubOutcome::Shed;
    if (outcome == "draining")
        return SubOutcome::Draining;
    if (outcome == "snapshot-gone")
        return SubOutcome::SnapshotGone;
    if (outcome == "cancelled")
        return SubOutcome::Cancelled;
    return SubOutcome::Failed;
}

/** One connection. Pending handlers keep it alive, also after its channel has been destroyed. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    /** Called with the response, or with the error and whether writing of the request had started. */
    using Ended = std::function<void(error_code, bool, const http::response<http::string_body> &)>;

    explicit Connection(asio::io_context &context)
        : m_stream(context)
    {
    }

    void run(const asio::ip::tcp::endpoint &endpoint, http::request<http::string_body> request, Ended ended)
    {
        m_request = std::move(request);
        m_ended = std::move(ended);
        m_written = false;
        if (m_connected) {
            write();
            return;
        }
        m_stream.async_connect(endpoint, [self = shared_from_this()](error_code error) {
            if (error)
                return self->end(error);
            self->m_connected = true;
            error_code ignored;
            self->m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            self->write();
        });
    }

    /** Closes the connection; a running exchange ends with an error. */
    void close()
    {
        m_stream.cancel();
        error_code ignored;
        m_stream.socket().close(ignored);
    }

private:
    void write()
    {
        // From here on the upstream may have received the request.
        m_written = true;
        http::async_write(m_stream, m_request, [self = shared_from_this()](error_code error, size_t) {
            if (error)
                return self->end(error);
            self->read();
        });
    }

    void read()
    {
        auto giveUp = [weak = weak_from_this()] {
            if (const std::shared_ptr<Connection> self = weak.lock())
                asio::post(self->m_stream.get_executor(), [self] { self->close(); });
        };
        m_reader.emplace(ParserLimits(), ByteBudget::Share(connectionBytes(), "upstream", std::move(giveUp)));
        asyncReadAnswer(m_stream, m_buffer, *m_reader,
                        [self = shared_from_this()](error_code error) { self->end(error); });
    }

    void end(error_code error)
    {
        Ended ended = std::move(m_ended);
        m_ended = nullptr;
        http::response<http::string_body> response;
        if (!error && m_reader) {
            response = m_reader->release();
            if (!m_reader->mayReuseConnection(m_buffer))
                response.keep_alive(false);
        }
        m_reader.reset();
        if (ended)
            ended(error, m_written, response);
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer{kMaxUnparsedBytes};
    http::request<http::string_body> m_request;
    std::optional<AnswerReader> m_reader;
    Ended m_ended;
    bool m_connected = false;
    bool m_written = false;
};

/** The channel's state, shared with the handlers of its connections. */
class ChannelState : public std::enable_shared_from_this<ChannelState>
{
public:
    ChannelState(asio::io_context &context, const Announcement &upstream)
        : m_context(context)
        , m_endpoint(asio::ip::make_address(upstream.address), upstream.port)
        , m_policy(upstream.connectionLimit)
        , m_upstreamId(upstream.id)
    {
    }

    void send(ChannelRequest request, UpstreamChannel::Done done);
    void cancel(DispatchId dispatchId);
    void tick(TimePoint now);

private:
    struct Job
    {
        ChannelRequest request;
        UpstreamChannel::Done done;
        TimePoint started;
    };

    std::optional<ConnectionId> connect(TimePoint now);
    void finished(ConnectionId id, const std::shared_ptr<Job> &job, error_code error, bool written,
                  const http::response<http::string_body> &response);
    void probe(ConnectionId id);
    http::request<http::string_body> makeRequest(http::verb verb, const std::string &target) const;
    ChannelResult readResult(const Job &job, const http::response<http::string_body> &response) const;

    asio::io_context &m_context;
    asio::ip::tcp::endpoint m_endpoint;
    ConnectionPolicy m_policy;
    UpstreamId m_upstreamId;
    std::unordered_map<ConnectionId, std::shared_ptr<Connection>> m_connections;
    std::unordered_map<DispatchId, std::string> m_running;
};

http::request<http::string_body> ChannelState::makeRequest(http::verb verb, const std::string &target) const
{
    http::request<http::string_body> request{verb, target, 11};
    request.set(http::field::host, m_endpoint.address().to_string());
    return request;
}

std::optional<ConnectionId> ChannelState::connect(TimePoint now)
{
    std::optional<ConnectionId> id = m_policy.claimIdle(now);
    if (id)
        return id;
    id = m_policy.add(now);
    if (id)
        m_connections[*id] = std::make_shared<Connection>(m_context);
    return id;
}

void ChannelState::send(ChannelRequest channelRequest, UpstreamChannel::Done done)
{
    const TimePoint now = monotonicNow();
    auto job = std::make_shared<Job>(Job{std::move(channelRequest), std::move(done), now});
    const std::optional<ConnectionId> id = connect(now);
    if (!id) {
        asio::post(m_context, [job] { job->done({SubOutcome::NotSent, 0, {}, {}, ""}); });
        return;
    }
    http::request<http::string_body> request = makeRequest(http::verb::post, "/v1/sub-request");
    request.set("Hickoryspur-Request-Id", job->request.requestId);
    request.set("Hickoryspur-Shard", std::to_string(job->request.shard));
    request.set("Hickoryspur-Map-Generation", std::to_string(job->request.generation.value()));
    request.set("Hickoryspur-Snapshot", std::to_string(job->request.snapshot.value()));
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(job->request.deadline - now);
    request.set("Hickoryspur-Deadline-Ms", std::to_string(std::max<int64_t>(1, left.count())));
    request.set(http::field::content_type, "application/json");
    request.body() = job->request.body;
    request.prepare_payload();
    m_running[job->request.id] = job->request.requestId;
    m_connections.at(*id)->run(
        m_endpoint, std::move(request),
        [self = shared_from_this(), id = *id, job](error_code error, bool written, const auto &response) {
            self->finished(id, job, error, written, response);
        });
}

ChannelResult ChannelState::readResult(const Job &job, const http::response<http::string_body> &response) const
{
    ChannelResult result;
    result.outcome = outcomeOf(response);
    result.shard = numberOr<uint32_t>(response["Hickoryspur-Shard"], UINT32_MAX);
    result.generation = MapGeneration(numberOr<uint64_t>(response["Hickoryspur-Map-Generation"], 0));
    result.snapshot = SnapshotId(numberOr<uint64_t>(response["Hickoryspur-Snapshot"], 0));
    result.body = response.body();
    if (result.outcome == SubOutcome::Ok && !nlohmann::json::accept(result.body))
        result.outcome = SubOutcome::Failed;
    static_cast<void>(job);
    return result;
}

void ChannelState::finished(ConnectionId id, const std::shared_ptr<Job> &job, error_code error, bool written,
                            const http::response<http::string_body> &response)
{
    static Counter &mismatches = Metrics::counter("hickoryspur_upstream_reply_mismatch_total");
    const TimePoint now = monotonicNow();
    m_running.erase(job->request.id);
    if (error) {
        m_policy.remove(id);
        m_connections.erase(id);
        job->done({written ? SubOutcome::Unknown : SubOutcome::NotSent, 0, {}, {}, ""});
        return;
    }
    if (response["Hickoryspur-Request-Id"] != job->request.requestId) {
        // The connection is out of step with its requests, so later answers on it cannot be attributed either.
        mismatches.add();
        HS_LOG(WARNING, LogEvent::ReplyMismatch)
            << m_upstreamId << " answered another request than the one sent; closing the connection";
        m_connections.at(id)->close();
        m_policy.remove(id);
        m_connections.erase(id);
        job->done({SubOutcome::Unknown, 0, {}, {}, ""});
        return;
    }
    m_policy.recordLatency(now - job->started);
    if (response.keep_alive()) {
        m_policy.markIdle(now, id);
    } else {
        m_policy.remove(id);
        m_connections.erase(id);
    }
    job->done(readResult(*job, response));
}

void ChannelState::cancel(DispatchId dispatchId)
{
    const auto running = m_running.find(dispatchId);
    if (running == m_running.end())
        return;
    const TimePoint now = monotonicNow();
    const std::optional<ConnectionId> id = connect(now);
    if (!id)
        return; // No connection is available for the cancel message: the request ends by itself or at its deadline.
    http::request<http::string_body> request = makeRequest(http::verb::post, "/v1/cancel");
    request.set("Hickoryspur-Request-Id", running->second);
    request.prepare_payload();
    m_connections.at(*id)->run(m_endpoint, std::move(request),
                               [self = shared_from_this(), id = *id](error_code error, bool, const auto &response) {
                                   if (!error && response.keep_alive())
                                       return self->m_policy.markIdle(monotonicNow(), id);
                                   self->m_policy.remove(id);
                                   self->m_connections.erase(id);
                               });
}

void ChannelState::probe(ConnectionId id)
{
    http::request<http::string_body> request = makeRequest(http::verb::get, "/v1/ping");
    m_connections.at(id)->run(m_endpoint, std::move(request),
                              [self = shared_from_this(), id](error_code error, bool, const auto &response) {
                                  if (!error && response.keep_alive())
                                      return self->m_policy.markIdle(monotonicNow(), id);
                                  self->m_policy.remove(id);
                                  self->m_connections.erase(id);
                              });
}

void ChannelState::tick(TimePoint now)
{
    static Counter &abandoned = Metrics::counter("hickoryspur_upstream_connections_abandoned_total");
    const ConnectionActions actions = m_policy.tick(now);
    for (const ConnectionId id : actions.abandon) {
        abandoned.add();
        const auto found = m_connections.find(id);
        if (found == m_connections.end())
            continue;
        found->second->close();
        m_connections.erase(found);
    }
    for (const ConnectionId id : actions.probe)
        probe(id);
}

class HttpUpstreamChannel : public UpstreamChannel
{
public:
    HttpUpstreamChannel(asio::io_context &context, const Announcement &upstream)
        : m_state(std::make_shared<ChannelState>(context, upstream))
    {
    }

    void send(ChannelRequest request, Done done) override { m_state->send(std::move(request), std::move(done)); }
    void cancel(DispatchId dispatchId) override { m_state->cancel(dispatchId); }
    void tick(TimePoint now) override { m_state->tick(now); }

private:
    std::shared_ptr<ChannelState> m_state;
};

} // namespace

ChannelFactory httpChannelFactory(asio::io_context &context)
{
    return
        [&context](const Announcement &upstream) { return std::make_unique<HttpUpstreamChannel>(context, upstream); };
}

} // namespace hickoryspur
