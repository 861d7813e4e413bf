#include "request/Delegations.h"

#include "hickoryspur/process/LogEvent.h"
#include "hickoryspur/process/MessageCodec.h"

namespace hickoryspur {

namespace {

bool isLast(const DelegatedReply &reply)
{
    return reply.refused || reply.group.ended || !reply.answer.empty();
}

/** Counts a request that is being served, until the last copy of it is gone. */
std::shared_ptr<void> countServing(const std::shared_ptr<size_t> &serving)
{
    ++*serving;
    return {nullptr, [serving](void *) { --*serving; }};
}

} // namespace

Delegations::Delegations(boost::asio::io_context &context, const HostAddress &internalAddress, Serve serve)
    : m_internalAddress(internalAddress)
    , m_serve(std::move(serve))
    , m_calls(context, NodeId(internalAddress.text()),
              [this](const std::string &payload, const PeerCalls::Respond &respond) {
                  return this->serve(payload, respond);
              })
{
}

Result<void> Delegations::listen()
{
    return m_calls.listen(m_internalAddress);
}

HostAddress Delegations::peerAddress(const std::string &entry) const
{
    return {entry.substr(0, entry.rfind(':')), m_internalAddress.port};
}

bool Delegations::isUsable(TimePoint now, const std::string &entry) const
{
    return m_calls.isUsable(now, peerAddress(entry));
}

Delegations::CallId Delegations::send(TimePoint now, const std::string &entry, const DelegatedRequest &request,
                                      Hooks hooks)
{
    PeerCalls::CallHooks callHooks;
    callHooks.lost = hooks.lost;
    callHooks.reply = [entry, hooks = std::move(hooks)](const std::string &payload, bool last) {
        std::optional<DelegatedReply> reply = unpack<DelegatedReply>(payload);
        if (!reply || isLast(*reply) != last) {
            HS_LOG(WARNING, LogEvent::MessageUndecodable) << "a reply from " << entry << " cannot be decoded; dropped";
            if (last)
                hooks.lost(true);
            return;
        }
        hooks.reply(std::move(*reply));
    };
    return m_calls.call(now, peerAddress(entry), pack(request), std::move(callHooks));
}

std::function<void()> Delegations::serve(const std::string &payload, const PeerCalls::Respond &respond)
{
    std::optional<DelegatedRequest> request = unpack<DelegatedRequest>(payload);
    if (!request) {
        HS_LOG(WARNING, LogEvent::MessageUndecodable) << "a delegated request cannot be decoded; refused";
        DelegatedReply refusal;
        refusal.refused = true;
        respond(pack(refusal), true);
        return [] {};
    }
    return m_serve(std::move(*request), [respond, counted = countServing(m_serving)](const DelegatedReply &reply) {
        respond(pack(reply), isLast(reply));
    });
}

} // namespace hickoryspur
