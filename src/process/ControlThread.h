// The one thread that owns all control state. It drives a ControlNode with time, peer messages and
// requests, writes its log, and publishes views to the traffic threads. Events that arrive together
// share one disk write.
#pragma once

#include "hickoryspur/process/ControlNode.h"
#include "hickoryspur/process/PeerLinks.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace hickoryspur {

class ControlThread
{
public:
    using Done = std::function<void(ApplyOutcome)>;
    using Publish = std::function<void(ViewPointer)>;

    struct Hooks
    {
        /** Sends to another node, or to this one. */
        std::function<void(const PeerSend &)> send;
        /** Called a few times a second, before the node's own tick. */
        std::function<void(TimePoint)> tick;
        Publish publish;
    };

    static Result<std::unique_ptr<ControlThread>> start(const Settings &settings, uint64_t incarnation, Hooks hooks);
    ~ControlThread();
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    // All of these may be called from any thread; done runs on the control thread.
    void receive(PeerMessage message);
    void announce(Announcement announcement);
    void submit(Command command, CommandWait wait, Duration timeout, Done done);
    /** Reads the node on the control thread. */
    void inspect(std::function<void(const ControlNode &, TimePoint)> reader);
    void observe(ObservationBatch batch);
    void setLeaving();
    /** New work may be taken while this is true. */
    bool mayServe(TimePoint now) const;

private:
    struct State;
    explicit ControlThread(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hickoryspur
