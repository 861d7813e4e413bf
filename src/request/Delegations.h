// What this entry has delegated to other entries, and what it does for them: translates between the messages
// of Delegation.h and PeerCalls.
#pragma once

#include "connection/PeerCalls.h"
#include "hickoryspur/request/Delegation.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace hickoryspur {

class Delegations
{
public:
    using CallId = PeerCalls::CallId;
    struct Hooks
    {
        /** Replies that follow each other until one refuses, reports a group that has ended, or has the answer. */
        std::function<void(DelegatedReply)> reply;
        /** The other entry cannot be heard; `sent` tells whether it may have received the request. */
        std::function<void(bool sent)> lost;
    };
    /** Serves a delegated request; returns what is to be done when it is cancelled. */
    using Serve = std::function<std::function<void()>(DelegatedRequest, std::function<void(DelegatedReply)>)>;

    /** @param internalAddress Where this entry accepts calls; the port is the same on all hosts. */
    Delegations(boost::asio::io_context &context, const HostAddress &internalAddress, Serve serve);

    Result<void> listen();
    /** Whether a request delegated to the entry is likely to arrive; entries are named by where callers connect. */
    bool isUsable(TimePoint now, const std::string &entry) const;
    CallId send(TimePoint now, const std::string &entry, const DelegatedRequest &request, Hooks hooks);
    void cancel(CallId id) { m_calls.cancel(id); }
    void tick(TimePoint now) { m_calls.tick(now); }
    /** Delegated requests that this entry is serving. */
    size_t serving() const { return *m_serving; }

private:
    HostAddress peerAddress(const std::string &entry) const;
    std::function<void()> serve(const std::string &payload, const PeerCalls::Respond &respond);

    HostAddress m_internalAddress;
    Serve m_serve;
    std::shared_ptr<size_t> m_serving = std::make_shared<size_t>(0);
    PeerCalls m_calls;
};

} // namespace hickoryspur
