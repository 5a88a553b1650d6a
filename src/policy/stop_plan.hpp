// The times of a planned stop of a VM.
//
// Index: 1 stop_limits, 2 stop_plan
#ifndef MARIGOLDCRANK_POLICY_STOP_PLAN_HPP
#define MARIGOLDCRANK_POLICY_STOP_PLAN_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>

namespace marigoldcrank
{

struct stop_limits
{
    millis grace{8000};  // 8000  ms; then the process is killed
    millis notice{2500}; // 2500  ms in which the balancer notices that a VM isn't ready

    bool operator==(stop_limits const&) const = default;
};

/// Times from the begin of the stop.
struct stop_plan
{
    millis closes{};     // new requests are refused from here on
    millis ends_calls{}; // calls without a response get their final one
    millis exits{};      // open connections are cut; usage counts are written

    bool operator==(stop_plan const&) const = default;
};

/// A VM that exited with calls under way would leave their callers without any answer.
inline stop_plan plan_stop(stop_limits const& limits)
{
    constexpr millis reserve{300}; // 300  ms for callers to take responses, and to exit
    constexpr int    reserve_part = 8; // each at most this part of the grace period
    auto const       each = std::min(reserve, limits.grace / reserve_part);
    return {.closes = limits.notice,
            .ends_calls = limits.grace - 2 * each,
            .exits = limits.grace - each};
}

} // namespace marigoldcrank

#endif
