// Selects the version for each query of a service such that the new version never exceeds its share
// of the queries: each query adds the share to a credit, and the new version receives a query when
// the credit reaches 1.
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
