// Counts the calls of the last seconds at one VM.
//
// Index: recent_calls
#ifndef MARIGOLDCRANK_POLICY_RECENT_CALLS_HPP
#define MARIGOLDCRANK_POLICY_RECENT_CALLS_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace marigoldcrank
{

/// A count that decays exponentially. No I/O; the caller passes the time.
class recent_calls
{
public:
    /// `span`: a steady rate of calls gives the number of calls in this time.
    explicit recent_calls(millis span) : span_(span) {}

    void add(boot_clock::time_point now)
    {
        count_ = count(now) + 1;
        counted_at_ = now;
    }

    double count(boot_clock::time_point now) const
    {
        std::chrono::duration<double> const passed = now - counted_at_;
        std::chrono::duration<double> const span = span_;
        return count_ * std::exp(-std::max(passed.count(), 0.0) / span.count());
    }

private:
    millis                 span_;
    double                 count_ = 0;
    boot_clock::time_point counted_at_{};
};

} // namespace marigoldcrank

#endif
