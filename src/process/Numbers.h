// Reading numbers from text that comes from outside.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace hickoryspur {

/** The number that the text is as a whole; nullopt if anything is before or behind it, or if it is out of range. */
template <typename Number> std::optional<Number> parseWhole(std::string_view text)
{
    Number value{};
    const char *end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && last == end ? std::optional(value) : std::nullopt;
}

} // namespace hickoryspur
