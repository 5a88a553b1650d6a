// Clocks: boot_clock, the only clock that decisions use, and Unix time for reports.
//
// Index: millis, boot_clock, unix_millis, unix_nanos
//
// CLOCK_BOOTTIME goes on counting while a VM is suspended and doesn't jump with wall
// time. A lease that expired while its holder was suspended is therefore seen as expired
// when the holder resumes.
#ifndef MARIGOLDCRANK_DOMAIN_BOOT_CLOCK_HPP
#define MARIGOLDCRANK_DOMAIN_BOOT_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace marigoldcrank
{

using millis = std::chrono::milliseconds;

/// A std::chrono clock over CLOCK_BOOTTIME; counts nanoseconds since boot.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/// Unix time in milliseconds; for reports and spans, never for decisions.
std::uint64_t unix_millis() noexcept;

/// Unix time in nanoseconds, the unit of spans.
std::uint64_t unix_nanos() noexcept;

} // namespace marigoldcrank

#endif
