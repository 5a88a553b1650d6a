// What an HTTP message may have besides its body, in either direction.
//
// Index: 1 message_limits, 2 exceeds_framing
#ifndef MARIGOLDCRANK_SERVING_MESSAGE_LIMITS_HPP
#define MARIGOLDCRANK_SERVING_MESSAGE_LIMITS_HPP

#include <cstddef>

namespace marigoldcrank
{

/// A peer that sends more is out of order, and would otherwise be read until the time or
/// the VM's memory is used up: parsers keep a part in their buffer until its end arrives.
struct message_limits
{
    // 65536 bytes of a head, a chunk's header, or a trailer; of requests by the rules
    std::size_t part = 65536;
    // 8     informational heads before the final one
    int informational = 8;
    // 65536 bytes of chunk headers and trailers in sum, and 16 a byte of the body
    std::size_t framing = 65536;
    std::size_t framing_per_byte = 16;

    bool operator==(message_limits const&) const = default;
};

/// Whether so many bytes of chunk headers and trailers are too many for a body.
constexpr bool exceeds_framing(message_limits const& limits, std::size_t framing_bytes,
                               std::size_t body_bytes)
{
    return framing_bytes > limits.framing + limits.framing_per_byte * body_bytes;
}

} // namespace marigoldcrank

#endif
