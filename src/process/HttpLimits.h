// Limits that hold for every HTTP connection of a process, in either direction.
#pragma once

#include <boost/asio/detail/socket_option.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace hickoryspur {

/**
 * Bytes of a connection that have been read and not parsed yet. The limit also bounds what the parser itself has no
 * limit for, such as the extension of a chunk.
 */
constexpr size_t kMaxUnparsedBytes = 128UL * 1024;
/** The same for an answer of an upstream, whose head is limited to half of it. */
constexpr size_t kMaxUnparsedAnswerBytes = 32UL * 1024;

/**
 * Bytes that the kernel takes for a connection beyond what the peer's window lets it send. What it takes is not counted
 * in ByteBudget, and a write makes visible progress in steps of half of this size.
 */
constexpr int kMaxUnsentBytes = 128 * 1024;

/** Limits the unsent bytes in the kernel. A socket that refuses the option is slower to notice, but works. */
template <typename Socket> void limitUnsentBytes(Socket &socket)
{
    using NotSentLowWater = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
    boost::system::error_code ignored;
    socket.set_option(NotSentLowWater(kMaxUnsentBytes), ignored);
}

} // namespace hickoryspur
