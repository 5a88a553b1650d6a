// How many bytes of a request's head a VM reads, by the limit in the rules.
//
// Index: 1 head_limits, 2 head_limits_for, 3 larger_buffer
#ifndef MARIGOLDCRANK_POLICY_HEAD_LIMITS_HPP
#define MARIGOLDCRANK_POLICY_HEAD_LIMITS_HPP

#include "domain/serving_rules.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace marigoldcrank
{

struct head_limits
{
    std::uint32_t head = 0; // bytes of a head
    // Bytes that may be buffered until the end of a head, of one chunk's header, or of a
    // trailer.
    std::size_t part = 0;
    std::size_t usual = 0; // bytes of a buffer that the VM has room for at once

    bool operator==(head_limits const&) const = default;
};

/// `header_bytes`: the limit in the rules.
constexpr head_limits head_limits_for(std::int64_t header_bytes)
{
    constexpr std::size_t usual_part = 20480;
    constexpr std::size_t read_ahead = 4096; // behind the limit, which a parser reports
    auto const head = std::clamp<std::int64_t>(header_bytes, 0, max_header_bytes);
    auto const part = static_cast<std::size_t>(head) + read_ahead;
    return {.head = static_cast<std::uint32_t>(head),
            .part = part,
            .usual = std::min(part, usual_part)};
}

/// The next size of a full buffer; the same size if it must not grow.
constexpr std::size_t larger_buffer(head_limits const& limits, std::size_t bytes)
{
    return std::max(std::min(2 * bytes, limits.part), bytes);
}

} // namespace marigoldcrank

#endif
