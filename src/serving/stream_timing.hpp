// Measures the timing of a stream: time to the first event, and longest pause after it.
//
// Index: stream_timing
#ifndef MARIGOLDCRANK_SERVING_STREAM_TIMING_HPP
#define MARIGOLDCRANK_SERVING_STREAM_TIMING_HPP

#include "domain/boot_clock.hpp"
#include "domain/serving_rules.hpp"

#include <algorithm>

namespace marigoldcrank
{

/// Tells which streams were late, and why: the wait for the first event (queueing and
/// prefill) or a pause between events (a server busy with other work). Pure; the time is
/// passed in.
class stream_timing
{
public:
    explicit stream_timing(boot_clock::time_point arrived) : arrived_(arrived) {}

    /// Records that events were relayed at `now`.
    void record_events(boot_clock::time_point now)
    {
        if (!started())
        {
            first_ = now;
        }
        else
        {
            longest_pause_ = std::max(longest_pause_, now - last_);
        }
        last_ = now;
    }

    bool started() const noexcept
    {
        return first_ != boot_clock::time_point{};
    }

    /// When the first event was relayed; the epoch if none was.
    boot_clock::time_point first() const noexcept
    {
        return first_;
    }

    /// Time from the arrival of the call to its first event; 0 if there was none.
    boot_clock::duration time_to_first_event() const noexcept
    {
        return started() ? first_ - arrived_ : boot_clock::duration::zero();
    }

    boot_clock::duration longest_pause() const noexcept
    {
        return longest_pause_;
    }

    /// Whether the route's objective or event gap was exceeded.
    bool exceeds_targets(route const& terms) const noexcept
    {
        bool const waited =
            terms.objective.count() > 0 && time_to_first_event() > terms.objective;
        bool const paused =
            terms.event_gap.count() > 0 && longest_pause() > terms.event_gap;
        return waited || paused;
    }

private:
    boot_clock::time_point arrived_;
    boot_clock::time_point first_{};
    boot_clock::time_point last_{};
    boot_clock::duration   longest_pause_{};
};

} // namespace marigoldcrank

#endif
