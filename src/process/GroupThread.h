// The control thread of a control host. It alone accesses the GroupNode and the disk, so a disk that
// hangs blocks the log and nothing else. Events that arrive together share one disk write. When a disk
// write fails, the thread closes the log and retries opening it until the disk works again.
#pragma once

#include "hickoryspur/process/GroupNode.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace hickoryspur {

struct GroupThreadConfig
{
    NodeId self;
    std::string dataFolder;
    std::vector<NodeId> seeds;
    /** The deployment starts for the first time: a seed whose folder is empty becomes one of the first voters. */
    bool formsGroup = false;
    uint64_t incarnation = 0;
    GroupTiming timing;
};

/** A copy of the group's state for the other threads of the process; published when it changes. */
struct GroupStatus
{
    /** Log index of the state. */
    uint64_t applied = 0;
    AcceptedRoutes routes;
    std::vector<std::string> dataCentresOut;
    /** The packed state of each service's move. */
    std::map<std::string, std::string> moves;
    std::vector<NodeId> controlHosts;
    std::optional<NodeId> leader;
    bool leads = false;
    /** Term of the replicated log. */
    uint64_t term = 0;
    /** When leads was determined. */
    TimePoint at;
};

class GroupThread
{
public:
    struct Hooks
    {
        // All hooks are called on the control thread.
        std::function<void(const LogEnvelope &)> send;
        std::function<void(GroupStatus)> publish;
        /** Passes on what saveNotes() last stored, each time the folder has been opened. */
        std::function<void(std::string)> restoreNotes;
    };
    using DoneCallback = std::function<void(ApplyOutcome)>;
    /**
     * If confirmed, this host leads and holds the lease, so the state includes all acknowledged commands.
     * Otherwise the state may be stale; leader is then the host to ask, if known.
     */
    using ReadCallback = std::function<void(bool confirmed, const ControlState &, std::optional<NodeId> leader)>;

    GroupThread(GroupThreadConfig config, Hooks hooks);
    ~GroupThread();
    GroupThread(const GroupThread &) = delete;
    GroupThread &operator=(const GroupThread &) = delete;

    // These may be called from any thread; callbacks run on the control thread.
    void receive(LogMessage message);
    void submit(Command command, DoneCallback done);
    void read(ReadCallback callback);
    /** Passes nullopt while the log is closed or has changes that are not durable yet. */
    void requestLogReport(std::function<void(std::optional<LogReport>)> callback);
    void setSeeds(std::vector<NodeId> seeds);
    /** Stores soft state for the time after a restart; `saved` is called on the control thread once it is durable, or
     * not. */
    void saveNotes(std::string bytes, std::function<void(bool)> saved);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace hickoryspur
