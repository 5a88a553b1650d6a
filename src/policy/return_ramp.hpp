// Limits the first requests to a server after a pause that it has asked for.
//
// Index: 1 return_ramp_options, 2 return_ramp
#ifndef MARIGOLDCRANK_POLICY_RETURN_RAMP_HPP
#define MARIGOLDCRANK_POLICY_RETURN_RAMP_HPP

#include "domain/boot_clock.hpp"

#include <cstdint>
#include <optional>

namespace marigoldcrank
{

struct return_ramp_options
{
    millis       step{250}; // 250  ms; the allowance of a step is twice that of the last
    std::int64_t steps = 5; // 5    steps; then requests are unlimited

    bool operator==(return_ramp_options const&) const = default;
};

/// After a pause, one request is allowed in the first step, two in the next, and so on.
/// The pauses of VMs that were refused together end together, and their calls would be
/// refused together again. No I/O; the caller passes the time.
class return_ramp
{
public:
    /// `end`: of the pause.
    explicit return_ramp(boot_clock::time_point end, return_ramp_options options = {})
        : end_(end), options_(options)
    {
    }

    /// Whether the ramp is over.
    bool done(boot_clock::time_point now) const
    {
        return now >= end_ + options_.step * options_.steps;
    }

    /// Takes one request and returns nothing, or returns the time until the next step.
    std::optional<millis> take(boot_clock::time_point now)
    {
        if (done(now))
        {
            return std::nullopt;
        }
        auto const step = now < end_ ? 0 : (now - end_) / options_.step;
        taken_ = step == step_ ? taken_ : 0;
        step_ = step;
        if (now >= end_ && taken_ < (std::int64_t{1} << step))
        {
            ++taken_;
            return std::nullopt;
        }
        auto const next = now < end_ ? end_ : end_ + options_.step * (step + 1);
        return std::chrono::ceil<millis>(next - now);
    }

private:
    boot_clock::time_point end_;
    return_ramp_options    options_;
    std::int64_t           step_ = 0;
    std::int64_t           taken_ = 0; // requests in the current step
};

} // namespace marigoldcrank

#endif
