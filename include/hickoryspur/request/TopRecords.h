// Merges the parts of shards into one body: the greatest records of all parts, greatest first,
// compared byte by byte. Equal records all count. A remainder shorter than a record is none.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryspur {

constexpr size_t kRecordBytes = 16;

std::string mergeTopRecords(const std::vector<std::string_view> &parts, size_t maxRecords);

} // namespace hickoryspur
