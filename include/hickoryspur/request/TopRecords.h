// Merges the bodies of several shards into one: the maxRecords greatest records of all parts in
// descending order, compared as unsigned bytes. Duplicates are kept. Trailing bytes of a part that
// are shorter than a record are ignored.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hickoryspur {

constexpr size_t kRecordBytes = 16;

std::string mergeTopRecords(const std::vector<std::string_view> &parts, size_t maxRecords);

} // namespace hickoryspur
