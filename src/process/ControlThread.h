// Runs the ControlNode, which owns all control state, on one thread of its own. The thread feeds it
// the time, peer messages and requests, writes its log, and publishes views to the traffic threads.
// Events that arrive together share one disk write.
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
    using DoneCallback = std::function<void(ApplyOutcome)>;
    using Publish = std::function<void(ViewPointer)>;

    struct Hooks
    {
        /** Sends a message to any node, including this one. */
        std::function<void(const PeerSend &)> send;
        /** Called every 10 ms, before the node's own tick. */
        std::function<void(TimePoint)> tick;
        Publish publish;
    };

    static Result<std::unique_ptr<ControlThread>> start(const Settings &settings, uint64_t incarnation, Hooks hooks);
    ~ControlThread();
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    // These methods are thread-safe. done runs on the control thread.
    void receive(PeerMessage message);
    void announce(Announcement announcement);
    void submit(Command command, CommandWait wait, Duration timeout, DoneCallback done);
    /** Runs the reader on the control thread, where it may read the node. */
    void inspect(std::function<void(const ControlNode &, TimePoint)> reader);
    void observe(ObservationBatch batch);
    void setLeaving();
    /** True while this entry may accept new work. */
    bool mayServe(TimePoint now) const;

private:
    struct State;
    explicit ControlThread(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

} // namespace hickoryspur
