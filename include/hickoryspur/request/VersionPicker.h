// Gives each query of a service its version, so that the new one's part never exceeds its share: the
// share is saved up query by query, and the new version gets one when a whole query's worth is there.
#pragma once

#include "hickoryspur/process/View.h"

#include <string>

namespace hickoryspur {

class VersionPicker
{
public:
    const VersionName &pick(const VersionShare &share);

private:
    std::string m_to;
    double m_credit = 0;
    double m_allowed = 0;
    uint64_t m_pickedCount = 0;
};

} // namespace hickoryspur
