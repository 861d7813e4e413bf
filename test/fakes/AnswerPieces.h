// Reads an answer whose bytes come in pieces, as a connection gives them out before it ends.
#pragma once

#include "process/AnswerReader.h"

#include <algorithm>
#include <optional>
#include <string>

namespace hickoryspur {

/** The answer that these bytes are, or nothing. `nextSize` gives the size of the next piece, at least 1. */
template <typename NextSize>
std::optional<AnswerReader::Message> readInPieces(const std::string &bytes, NextSize nextSize)
{
    AnswerReader reader;
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    for (size_t at = 0; at < bytes.size() && !error && !reader.isDone();) {
        const size_t left = bytes.size() - at;
        const size_t size = std::min<size_t>(nextSize(left), left);
        boost::asio::buffer_copy(buffer.prepare(size), boost::asio::buffer(bytes.data() + at, size));
        buffer.commit(size);
        at += size;
        error = reader.parse(buffer);
    }
    if (!error && !reader.isDone())
        error = reader.parseEnd();
    return error ? std::nullopt : std::optional(reader.release());
}

} // namespace hickoryspur
