#include "hickoryspur/request/TopRecords.h"

#include <algorithm>
#include <functional>

namespace hickoryspur {

std::string mergeTopRecords(const std::vector<std::string_view> &parts, size_t maxRecords)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts)
        for (size_t offset = 0; offset + kRecordBytes <= part.size(); offset += kRecordBytes)
            records.push_back(part.substr(offset, kRecordBytes));
    const size_t kept = std::min(maxRecords, records.size());
    // string_view compares bytes as unsigned, which is the required order.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(),
                      std::greater<>());
    std::string merged;
    merged.reserve(kept * kRecordBytes);
    for (size_t i = 0; i < kept; ++i)
        merged += records[i];
    return merged;
}

} // namespace hickoryspur
