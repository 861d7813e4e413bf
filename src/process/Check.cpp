#include "hickoryspur/process/Check.h"

#include <glog/logging.h>

namespace hickoryspur {

namespace {

std::array<std::atomic<uint64_t>, static_cast<size_t>(Invariant::Count)> checkCounts{};

std::function<void(Invariant, const std::string &)> &violationHandler()
{
    static std::function<void(Invariant, const std::string &)> handler;
    return handler;
}

} // namespace

std::string_view invariantName(Invariant invariant)
{
    static constexpr std::array<std::string_view, static_cast<size_t>(Invariant::Count)> names = {
        "one_leader_per_term",   "committed_kept",          "version_never_lower",
        "grant_within_limit",    "single_dispatch",         "no_work_to_removed_data_centre",
        "share_within_cap",      "one_snapshot_per_answer", "coverage_true",
        "reply_matches_request", "extra_within_budget",     "not_run_true"};
    return names.at(static_cast<size_t>(invariant));
}

uint64_t invariantCheckCount(Invariant invariant)
{
    return checkCounts.at(static_cast<size_t>(invariant)).load(std::memory_order_relaxed);
}

void setInvariantHandler(std::function<void(Invariant, const std::string &)> handler)
{
    violationHandler() = std::move(handler);
}

namespace detail {

void countInvariantCheck(Invariant invariant)
{
    checkCounts[static_cast<size_t>(invariant)].fetch_add(1, std::memory_order_relaxed);
}

InvariantViolation::InvariantViolation(Invariant invariant, const char *condition)
    : m_invariant(invariant)
{
    m_message << "invariant " << invariantName(invariant) << " violated: " << condition << ": ";
}

InvariantViolation::~InvariantViolation() noexcept(false)
{
    if (violationHandler())
        violationHandler()(m_invariant, m_message.str());
    else
        LOG(FATAL) << m_message.str();
}

} // namespace detail
} // namespace hickoryspur
