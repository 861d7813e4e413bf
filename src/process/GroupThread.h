// The control thread of a control host: it alone owns the group node and the disk, so a disk that
// hangs holds up the log and nothing else. Events that arrive together share one disk write. When
// the disk refuses a write, the log is closed and read again from what the disk holds, until it works.
#pragma once

#include "hickoryspur/process/GroupNode.h"

#include <functional>
#include <memory>
#include <string>

namespace hickoryspur {

struct GroupThreadConfig
{
    NodeId self;
    std::string dataFolder;
    std::vector<NodeId> seeds;
    /** The whole deployment starts for the first time: an empty folder becomes one of the first voters'. */
    bool formsGroup = false;
    uint64_t incarnation = 0;
    GroupTiming timing;
};

/** What the rest of the process knows of the group; made anew whenever it changes. */
struct GroupStatus
{
    /** Log index of the state. */
    uint64_t applied = 0;
    AcceptedRoutes routes;
    std::vector<std::string> dataCentresOut;
    std::vector<NodeId> controlHosts;
    std::optional<NodeId> leader;
    bool leads = false;
    /** When leads was found to hold. */
    TimePoint at;
};

class GroupThread
{
public:
    struct Hooks
    {
        /** Called on the control thread. */
        std::function<void(const LogEnvelope &)> send;
        std::function<void(GroupStatus)> publish;
        /** What saveNotes() last kept, when the folder has been opened. */
        std::function<void(std::string)> restoreNotes;
    };
    using DoneCallback = std::function<void(ApplyOutcome)>;
    /** The state, where this host leads and a majority has confirmed it; else the leader, where known. */
    using ReadCallback = std::function<void(bool confirmed, const ControlState &, std::optional<NodeId> leader)>;

    GroupThread(GroupThreadConfig config, Hooks hooks);
    ~GroupThread();
    GroupThread(const GroupThread &) = delete;
    GroupThread &operator=(const GroupThread &) = delete;

    // May be called from any thread; done and read run on the control thread.
    void receive(LogMessage message);
    void submit(Command command, DoneCallback done);
    void read(ReadCallback callback);
    /** Not called while the log is closed. */
    void requestLogReport(std::function<void(LogReport)> callback);
    void setSeeds(std::vector<NodeId> seeds);
    /** Keeps soft state that spares the first seconds after a restart; a failure costs no more than that. */
    void saveNotes(std::string bytes);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace hickoryspur
