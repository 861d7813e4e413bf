// Encodes messages as msgpack and decodes them. To stay compatible, new fields are added only at the
// end of a message: an older reader ignores them, and a newer reader of an older message leaves them at
// their defaults.
#pragma once

#include <msgpack.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace hickoryspur {

/** Maximum size of a message that a process accepts from another; must be large enough for a checkpoint. */
constexpr size_t kMaxMessageBytes = 64ULL * 1024 * 1024;

template <typename Message> std::string pack(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/** The decoded message; nullopt if the bytes are too long or are not a message of this type. */
template <typename Message> std::optional<Message> unpack(std::string_view bytes)
{
    if (bytes.size() > kMaxMessageBytes)
        return std::nullopt;
    try {
        Message message;
        const msgpack::unpack_limit limit(1U << 20U, 1U << 20U, kMaxMessageBytes, kMaxMessageBytes, 0, 32);
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit).get().convert(message);
        return message;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace hickoryspur
