// Limits the prefill queued at decode engines by the pauses that their streams show.
//
// Index: 1 pause_watch_options, 2 pause_watch
//
// Engines compute a chunk of a prompt between two tokens of their streams. Where an event
// holds many tokens, or the promised pause is short, a decode engine with constant
// prefill makes every stream on it late. Elsewhere prefill there does no harm, and a
// fleet that does not use its decode engines for it builds up queues at the prefill
// engines.
#ifndef MARIGOLDCRANK_POLICY_PAUSE_WATCH_HPP
#define MARIGOLDCRANK_POLICY_PAUSE_WATCH_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cstdint>

namespace marigoldcrank
{

struct pause_watch_options
{
    // 0.9   quantile of the streams' longest pauses that is tracked
    double quantile = 0.9;
    // 0.03  of the promised pause; step by which one stream moves the estimate
    double step = 0.03;
    // 0.7 and 0.85  of the promised pause; below the first the limit is `most`, above the
    //               second it is `least`, and between them it is interpolated
    double full_below = 0.7;
    double min_above = 0.85;
    // 1500 and 30000  prefill tokens that may be queued at a decode engine
    std::int64_t least = 1500;
    std::int64_t most = 30000;

    bool operator==(pause_watch_options const&) const = default;
};

/// Estimates a quantile by small fixed steps. Does no I/O.
class pause_watch
{
public:
    explicit pause_watch(pause_watch_options options = {})
        : options_(options), pause_ratio_((options.full_below + options.min_above) / 2)
    {
    }

    /// Records the complete end of a stream with `events` events.
    void stream_ended(std::int64_t events, boot_clock::duration longest_pause,
                      millis promised)
    {
        if (events < min_events || promised.count() <= 0)
        {
            return;
        }
        // 2  times the promise; longer pauses come from lost engines, not from prefill
        constexpr double max_ratio = 2;
        auto const       share = std::min(std::chrono::duration<double>(longest_pause) /
                                              std::chrono::duration<double>(promised),
                                          max_ratio);
        pause_ratio_ += options_.step * (share > pause_ratio_ ? options_.quantile
                                                              : options_.quantile - 1);
        pause_ratio_ = std::clamp(pause_ratio_, 0.0, max_ratio);
    }

    /// Prefill tokens that may be queued at a decode engine; `least` if `adapts` is
    /// false.
    std::int64_t max_colocated_tokens(bool adapts) const
    {
        auto const headroom = (options_.min_above - pause_ratio_) /
                              (options_.min_above - options_.full_below);
        auto const share = adapts ? std::clamp(headroom, 0.0, 1.0) : 0.0;
        return options_.least +
               static_cast<std::int64_t>(
                   share * static_cast<double>(options_.most - options_.least));
    }

    /// Whether decode engines can take over prefill from the prefill engines.
    bool tolerates_prefill(bool adapts) const
    {
        return max_colocated_tokens(adapts) > (options_.least + options_.most) / 2;
    }

    /// The tracked quantile of the longest pauses, as a ratio to the promised pause.
    double pause_ratio() const noexcept
    {
        return pause_ratio_;
    }

private:
    static constexpr std::int64_t min_events = 3; // with fewer there is no pause

    pause_watch_options options_;
    double              pause_ratio_;
};

} // namespace marigoldcrank

#endif
