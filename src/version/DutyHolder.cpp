#include "hickoryspur/version/DutyHolder.h"

#include <algorithm>

namespace hickoryspur {

namespace {

/**
 * Confirmations may be this part of the lease apart without counting as an interruption: on a busy host they come late.
 * No other host can acquire the duty from its holder in such a gap.
 */
constexpr int kInterruptionDivisor = 3;

} // namespace

DutyHolder::DutyHolder(std::string self, DutyTiming timing)
    : m_self(std::move(self))
    , m_timing(timing)
{
}

void DutyHolder::recordConfirmation(TimePoint at, const Duty &duty)
{
    const Duration interruption = std::max(m_timing.confirmationValidity, m_timing.lease / kInterruptionDivisor);
    if (!m_confirmedAt || at - *m_confirmedAt > interruption)
        m_leadsSince = at;
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, at) : at;
    m_duty = duty;
}

void DutyHolder::recordNoConfirmation()
{
    m_confirmedAt.reset();
}

void DutyHolder::recordHost(TimePoint now, const NodeId &host, uint8_t commandTypes)
{
    m_hosts[host] = {now, commandTypes > static_cast<uint8_t>(CommandType::UsageSent)};
}

bool DutyHolder::isConfirmed(TimePoint now) const
{
    return m_confirmedAt && now - *m_confirmedAt < m_timing.confirmationValidity;
}

bool DutyHolder::hasUsableToken() const
{
    return m_duty.token != 0 && m_duty.holder == m_self && m_duty.token == m_acquiredToken
        && m_duty.token > m_refusedToken;
}

std::optional<NodeId> DutyHolder::earlierBuild(TimePoint now, const std::vector<NodeId> &controlHosts) const
{
    for (const NodeId &host : controlHosts) {
        const auto found = m_hosts.find(host);
        if (found != m_hosts.end() && !found->second.appliesDuties
            && now - found->second.heardAt < m_timing.hostSilence)
            return host;
    }
    return std::nullopt;
}

bool DutyHolder::mayStart(TimePoint now, const std::vector<NodeId> &controlHosts) const
{
    if (earlierBuild(now, controlHosts))
        return false;
    const bool allHeard = std::all_of(controlHosts.begin(), controlHosts.end(),
                                      [this](const NodeId &host) { return m_hosts.contains(host); });
    return allHeard || ledFor() >= m_timing.hostSilence;
}

bool DutyHolder::shouldAcquire(TimePoint now, const std::vector<NodeId> &controlHosts) const
{
    if (!isConfirmed(now) || m_acquirePending || now < m_nextAcquire || hasUsableToken())
        return false;
    if (m_duty.token == 0)
        return mayStart(now, controlHosts);
    return m_duty.holder == m_self || ledFor() >= m_timing.lease;
}

void DutyHolder::beginAcquire(TimePoint now)
{
    m_acquirePending = true;
    m_nextAcquire = now + m_timing.retryDelay;
}

void DutyHolder::endAcquire(std::optional<uint64_t> token)
{
    m_acquirePending = false;
    if (token)
        m_acquiredToken = std::max(m_acquiredToken, *token);
}

void DutyHolder::refuse(uint64_t token)
{
    m_refusedToken = std::max(m_refusedToken, token);
}

std::optional<uint64_t> DutyHolder::token(TimePoint now) const
{
    return isConfirmed(now) && hasUsableToken() ? std::optional(m_duty.token) : std::nullopt;
}

} // namespace hickoryspur
