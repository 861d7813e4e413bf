#include "hickoryspur/process/AppliedState.h"

namespace hickoryspur {

bool AppliedState::isReplacedBy(const RoutesVersion &routes) const
{
    if (routes.number != m_routes.number)
        return routes.number > m_routes.number;
    return m_routesOrigin == StateOrigin::Logs && !m_routes.isSameAs(routes);
}

bool AppliedState::isReplacedBy(uint64_t index, bool confirmed) const
{
    return index >= m_index || (confirmed && m_indexOrigin == StateOrigin::Logs);
}

void AppliedState::recordRoutes(const RoutesVersion &routes, StateOrigin origin)
{
    m_routes = routes;
    m_routesOrigin = origin;
}

void AppliedState::recordLogState(uint64_t index, StateOrigin origin)
{
    m_index = index;
    m_indexOrigin = origin;
}

bool AppliedState::covers(uint64_t index, const RoutesVersion &routes) const
{
    return index <= m_index && (routes.number < m_routes.number || m_routes.isSameAs(routes));
}

} // namespace hickoryspur
