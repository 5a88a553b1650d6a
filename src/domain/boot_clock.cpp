// Reads CLOCK_BOOTTIME (boot_clock) and CLOCK_REALTIME (Unix time).
#include "domain/boot_clock.hpp"

#include <ctime>

namespace marigoldcrank
{

namespace
{
constexpr std::uint64_t nanos_per_second = 1'000'000'000;
constexpr std::uint64_t nanos_per_milli = 1'000'000;

std::uint64_t read_nanos(clockid_t clock) noexcept
{
    timespec value{};
    clock_gettime(clock, &value);
    return static_cast<std::uint64_t>(value.tv_sec) * nanos_per_second +
           static_cast<std::uint64_t>(value.tv_nsec);
}
} // namespace

boot_clock::time_point boot_clock::now() noexcept
{
    return time_point{duration{static_cast<rep>(read_nanos(CLOCK_BOOTTIME))}};
}

std::uint64_t unix_millis() noexcept
{
    return read_nanos(CLOCK_REALTIME) / nanos_per_milli;
}

std::uint64_t unix_nanos() noexcept
{
    return read_nanos(CLOCK_REALTIME);
}

} // namespace marigoldcrank
