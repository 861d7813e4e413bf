// Checks for user errors and for invariants. HS_USER_ERROR builds a Failure with a numbered result
// code and a streamed message, for a caller or an operator. HS_INVARIANT checks a condition that only
// a fault in the program can break. It is checked and counted in every build, and a violation ends
// the process, because continuing could break a guarantee given to users.
//
//     if (settings.nodes.empty())
//         return HS_USER_ERROR(ResultCode::SettingsInvalid) << "no nodes in " << path;
//     HS_INVARIANT(OneLeaderPerTerm, term > m_term) << "term " << term << " after " << m_term;
#pragma once

#include "hickoryspur/process/ResultCode.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <sstream>
#include <string>

namespace hickoryspur {

enum class Invariant {
    OneLeaderPerTerm,
    CommittedKept,
    VersionNeverLower,
    GrantWithinLimit,
    SingleDispatch,
    NoWorkToRemovedDataCentre,
    ShareWithinCap,
    OneSnapshotPerAnswer,
    CoverageTrue,
    ReplyMatchesRequest,
    ExtraWithinBudget,
    NotRunTrue,
    Count,
};

std::string_view invariantName(Invariant invariant);

/** Number of times the invariant has been checked since the process started. */
uint64_t invariantCheckCount(Invariant invariant);

/**
 * Sets the function that is called on a violation; tests throw from it. Without a handler, a violation
 * is logged and ends the process.
 */
void setInvariantHandler(std::function<void(Invariant, const std::string &)> handler);

namespace detail {

void countInvariantCheck(Invariant invariant);

/** Collects the streamed message of a violated invariant and reports the violation when destroyed. */
class InvariantViolation
{
public:
    explicit InvariantViolation(Invariant invariant, const char *condition);
    InvariantViolation(const InvariantViolation &) = delete;
    InvariantViolation &operator=(const InvariantViolation &) = delete;
    ~InvariantViolation() noexcept(false);

    template <typename Value> InvariantViolation &operator<<(const Value &value)
    {
        m_message << value;
        return *this;
    }

private:
    Invariant m_invariant;
    std::ostringstream m_message;
};

/** Collects the streamed message of a user error and converts to a failed Result of any type. */
class UserError
{
public:
    explicit UserError(ResultCode code)
        : m_code(code)
    {
    }

    template <typename Value> UserError &&operator<<(const Value &value) &&
    {
        m_message << value;
        return std::move(*this);
    }

    template <typename Value> operator Result<Value>() const // NOLINT: the conversion is the purpose of the class
    {
        return failure(m_code, m_message.str());
    }

private:
    ResultCode m_code;
    std::ostringstream m_message;
};

} // namespace detail
} // namespace hickoryspur

#define HS_USER_ERROR(code) ::hickoryspur::detail::UserError(code)

#define HS_INVARIANT(name, condition)                                                                                  \
    ::hickoryspur::detail::countInvariantCheck(::hickoryspur::Invariant::name);                                        \
    if (!(condition))                                                                                                  \
    ::hickoryspur::detail::InvariantViolation(::hickoryspur::Invariant::name, #condition)
