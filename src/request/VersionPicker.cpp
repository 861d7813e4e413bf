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
        m_credit = m_initialCredit;
        m_allowed = m_initialCredit;
        m_pickedCount = 0;
    }
    m_allowed += share.share;
    m_credit = std::min(1.0, m_credit + share.share);
    if (share.share <= 0 || m_credit < 1)
        return share.from;
    m_credit -= 1;
    ++m_pickedCount;
    HS_INVARIANT(ShareWithinCap, static_cast<double>(m_pickedCount) <= m_allowed + 1e-6)
        << m_pickedCount << " queries were sent to version " << m_to << "; its share allows " << m_allowed;
    return share.to;
}

} // namespace hickoryspur
