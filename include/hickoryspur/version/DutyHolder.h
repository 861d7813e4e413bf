// Decides when a control host acquires a duty, and whether it may act for the duty now. The leader of the
// replicated log is the candidate; the log stores the holder and the fencing token. A host that acts has had
// its leadership confirmed a moment ago, so a host that was suspended or cut off does nothing. This class
// knows neither what the duty is nor what is done for it, and performs no I/O.
#pragma once

#include "hickoryspur/process/ControlState.h"
#include "hickoryspur/process/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickoryspur {

struct DutyTiming
{
    /** How long a host leads without interruption before it acquires a duty that another host holds. */
    Duration lease = 3s;
    /** How long a confirmation that this host leads is valid. */
    Duration confirmationValidity = 400ms;
    /** Time between two attempts to acquire the duty. */
    Duration retryDelay = 200ms;
    /** A control host that has not been heard for this long does not hold up the first acquisition. */
    Duration hostSilence = 10s;
};

class DutyHolder
{
public:
    /** @param self Name of this host; it is the same after a restart. */
    DutyHolder(std::string self, DutyTiming timing);

    /** A majority confirms that this host leads; `at` is a time before it was asked, `duty` the state in the log. */
    void recordConfirmation(TimePoint at, const Duty &duty);
    /** This host does not lead, or is not sure to. */
    void recordNoConfirmation();
    /** Records a sign of life of another control host, with the number of command types that it applies. */
    void recordHost(TimePoint now, const NodeId &host, uint8_t commandTypes);
    /**
     * Whether to propose AcquireDuty now.
     * @param controlHosts The other control hosts.
     */
    bool shouldAcquire(TimePoint now, const std::vector<NodeId> &controlHosts) const;
    void beginAcquire(TimePoint now);
    /** The proposal has ended; `token` is the new fencing token, or nullopt if it failed or its outcome is unknown. */
    void endAcquire(std::optional<uint64_t> token);
    /** The service has seen a higher token than this one: it must not be used again. */
    void refuse(uint64_t token);
    /** The fencing token to act under; nullopt if this host must not act now. */
    std::optional<uint64_t> token(TimePoint now) const;
    /** A host that is heard and would skip the commands of duties, because it runs an earlier build. */
    std::optional<NodeId> earlierBuild(TimePoint now, const std::vector<NodeId> &controlHosts) const;

private:
    struct Host
    {
        TimePoint heardAt;
        bool appliesDuties = false;
    };

    bool isConfirmed(TimePoint now) const;
    bool hasUsableToken() const;
    Duration ledFor() const { return *m_confirmedAt - m_leadsSince; }
    /** Whether no host is left that would skip the command; asked before a duty is acquired for the first time. */
    bool mayStart(TimePoint now, const std::vector<NodeId> &controlHosts) const;

    std::string m_self;
    DutyTiming m_timing;
    Duty m_duty;
    std::optional<TimePoint> m_confirmedAt;
    TimePoint m_leadsSince;
    bool m_acquirePending = false;
    TimePoint m_nextAcquire;
    /** The token that this process acquired last; a token of an earlier run of this host is not used. */
    uint64_t m_acquiredToken = 0;
    uint64_t m_refusedToken = 0;
    std::map<NodeId, Host> m_hosts;
};

} // namespace hickoryspur
