#include "hickoryspur/request/RequestUsage.h"

#include <algorithm>

namespace hickoryspur {

RequestUsage::RunId RequestUsage::begin(TimePoint at)
{
    const RunId id = m_nextId++;
    if (!m_begunAt)
        m_runs.push_back({id, at});
    return id;
}

void RequestUsage::endNotRun(RunId id)
{
    std::erase_if(m_runs, [id](const Run &run) { return run.id == id; });
}

void RequestUsage::endRun(RunId id, std::optional<TimePoint> at)
{
    const auto ended = std::find_if(m_runs.begin(), m_runs.end(), [id](const Run &run) { return run.id == id; });
    if (ended == m_runs.end())
        return;
    ended->at = std::max(at.value_or(ended->at), ended->at);
    endRequest();
}

void RequestUsage::endRequest()
{
    if (m_runs.empty())
        return;
    // Of what still runs, nothing says that it does not; to wait for its end could take longer than a report may.
    m_begunAt =
        std::min_element(m_runs.begin(), m_runs.end(), [](const Run &a, const Run &b) { return a.at < b.at; })->at;
    m_runs.clear();
    m_count(*m_begunAt);
}

} // namespace hickoryspur
