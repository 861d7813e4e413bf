// Limits that hold for every HTTP connection of a process, in either direction.
#pragma once

#include <cstddef>

namespace hickoryspur {

/**
 * Bytes of a connection that have been read and not parsed yet. The limit also bounds what the parser itself has no
 * limit for, such as the extension of a chunk.
 */
constexpr size_t kMaxUnparsedBytes = 128UL * 1024;
/** The same for an answer of an upstream, whose head is limited to half of it. */
constexpr size_t kMaxUnparsedAnswerBytes = 32UL * 1024;

} // namespace hickoryspur
