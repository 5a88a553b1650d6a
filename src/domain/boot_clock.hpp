// boot_clock: the only clock that decisions use.
//
// Index: boot_clock, millis
//
// CLOCK_BOOTTIME counts through a suspended VM and never jumps with wall time, so a
// lease that lapsed while its holder was asleep is seen as lapsed when it wakes up.
#ifndef MARIGOLDCRANK_DOMAIN_BOOT_CLOCK_HPP
#define MARIGOLDCRANK_DOMAIN_BOOT_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace marigoldcrank
{

using millis = std::chrono::milliseconds;

/// A std::chrono clock over CLOCK_BOOTTIME, in nanoseconds since boot.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/// Wall time in milliseconds since 1970; for reports and spans, never for decisions.
std::uint64_t unix_millis() noexcept;

/// Wall time in nanoseconds since 1970, the unit of spans.
std::uint64_t unix_nanos() noexcept;

} // namespace marigoldcrank

#endif
