// How long the pauses of streams are against what callers are promised, and how many
// prompt tokens engines that decode may read beside their streams.
//
// Index: 1 pause_watch_options, 2 pause_watch
//
// Load answered: engines read a piece of a prompt between two tokens of their streams.
// Where an event holds many tokens, or the promise is short, a decoding engine that reads
// all the time makes every stream on it late; elsewhere it can read at no harm, and a
// fleet that leaves its decoding engines unused for that queues at the others.
#ifndef MARIGOLDCRANK_POLICY_PAUSE_WATCH_HPP
#define MARIGOLDCRANK_POLICY_PAUSE_WATCH_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cstdint>

namespace marigoldcrank
{

struct pause_watch_options
{
    // 0.9   quantile of the streams' longest pauses that is followed
    double quantile = 0.9;
    // 0.03  of the promised pause; by so much one stream moves the quantile
    double step = 0.03;
    // 0.7 and 0.85  of the promised pause; below the first, streams bear any reading,
    //               above the second only the least
    double full_below = 0.7;
    double min_above = 0.85;
    // 1500 and 30000  tokens that may wait at an engine that decodes
    std::int64_t least = 1500;
    std::int64_t most = 30000;

    bool operator==(pause_watch_options const&) const = default;
};

/// Pure.
class pause_watch
{
public:
    explicit pause_watch(pause_watch_options options = {})
        : options_(options), pause_ratio_((options.full_below + options.min_above) / 2)
    {
    }

    /// A stream of so many events has ended whole.
    void ended(std::int64_t events, boot_clock::duration longest_pause, millis promised)
    {
        if (events < min_events || promised.count() <= 0)
        {
            return;
        }
        constexpr double max_ratio = 2; // a lost engine says nothing about reading
        auto const       share = std::min(std::chrono::duration<double>(longest_pause) /
                                              std::chrono::duration<double>(promised),
                                          max_ratio);
        pause_ratio_ += options_.step * (share > pause_ratio_ ? options_.quantile
                                                              : options_.quantile - 1);
        pause_ratio_ = std::clamp(pause_ratio_, 0.0, max_ratio);
    }

    /// Tokens that may wait to be read at an engine that decodes. `adapts` off: the
    /// least.
    std::int64_t beside_streams(bool adapts) const
    {
        auto const headroom = (options_.min_above - pause_ratio_) /
                              (options_.min_above - options_.full_below);
        auto const share = adapts ? std::clamp(headroom, 0.0, 1.0) : 0.0;
        return options_.least +
               static_cast<std::int64_t>(
                   share * static_cast<double>(options_.most - options_.least));
    }

    /// Whether engines that decode can take over reading from the others.
    bool bears_reading(bool adapts) const
    {
        return beside_streams(adapts) > (options_.least + options_.most) / 2;
    }

    /// Longest pause of most streams, as a share of the promised one.
    double share() const noexcept
    {
        return pause_ratio_;
    }

private:
    static constexpr std::int64_t min_events = 3; // fewer show no pause

    pause_watch_options options_;
    double              pause_ratio_;
};

} // namespace marigoldcrank

#endif
