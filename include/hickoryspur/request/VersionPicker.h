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
    /** initialCredit is in [0, 1); random credits keep the share of many pickers with few queries each. */
    explicit VersionPicker(double initialCredit = 0)
        : m_initialCredit(initialCredit)
    {
    }

    const VersionName &pick(const VersionShare &share);

private:
    double m_initialCredit;
    std::string m_to;
    double m_credit = 0;
    double m_allowed = 0;
    uint64_t m_pickedCount = 0;
};

} // namespace hickoryspur
