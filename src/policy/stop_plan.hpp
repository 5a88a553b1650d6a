// The times of a planned stop of a VM, and which calls it still takes.
//
// Index: 1 stop_limits, 2 stop_plan, 3 stopping_call, fits_stop
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

/// A VM that exited with calls under way would leave their callers without any answer. A
/// call that is taken has at least two thirds of the grace period, less the reserves.
inline stop_plan plan_stop(stop_limits const& limits)
{
    constexpr millis reserve{300}; // 300  ms for callers to take responses, and to exit
    constexpr int    reserve_part = 8; // each at most this part of the grace period
    constexpr int    notice_part = 3;
    auto const       each = std::min(reserve, limits.grace / reserve_part);
    return {.closes = std::min(limits.notice, limits.grace / notice_part),
            .ends_calls = limits.grace - 2 * each,
            .exits = limits.grace - each};
}

/// A call that arrives while its VM stops.
struct stopping_call
{
    bool   repeatable = false; // may run more than once
    bool   stream = false;     // responds event by event
    millis limit{};            // time after which its caller gets an answer in any case

    bool operator==(stopping_call const&) const = default;
};

/// Whether a VM that ends its calls after `left` takes the call. A plain call that may
/// run once only could be under way then, and its caller couldn't tell whether it ran,
/// while another VM can still serve it. Other calls lose only what a retry brings back.
inline bool fits_stop(stopping_call const& call, millis left)
{
    return call.repeatable || call.stream || call.limit <= left;
}

} // namespace marigoldcrank

#endif
