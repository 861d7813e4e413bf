#include "hickoryspur/request/VersionPicker.h"

#include "hickoryspur/process/Check.h"

#include <algorithm>

namespace hickoryspur {

const VersionName &VersionPicker::pick(const VersionShare &share)
{
    if (share.share >= 1)
        return share.to;
    if (m_to != share.to.value()) {
        m_to = share.to.value();
        m_saved = 0;
        m_allowed = 0;
        m_given = 0;
    }
    m_allowed += share.share;
    m_saved = std::min(1.0, m_saved + share.share);
    if (share.share <= 0 || m_saved < 1)
        return share.from;
    m_saved -= 1;
    ++m_given;
    HS_INVARIANT(ShareWithinCap, static_cast<double>(m_given) <= m_allowed + 1e-6)
        << m_given << " queries went to " << m_to << " where " << m_allowed << " were allowed";
    return share.to;
}

} // namespace hickoryspur
