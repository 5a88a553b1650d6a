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
    double bears_all = 0.7;
    double bears_least = 0.85;
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
        : options_(options), share_((options.bears_all + options.bears_least) / 2)
    {
    }

    /// A stream of so many events has ended whole.
    void ended(std::int64_t events, boot_clock::duration longest_pause, millis promised)
    {
        if (events < least_events || promised.count() <= 0)
        {
            return;
        }
        constexpr double most_share = 2; // a lost engine says nothing about reading
        auto const       share = std::min(std::chrono::duration<double>(longest_pause) /
                                              std::chrono::duration<double>(promised),
                                          most_share);
        share_ +=
            options_.step * (share > share_ ? options_.quantile : options_.quantile - 1);
        share_ = std::clamp(share_, 0.0, most_share);
    }

    /// Tokens that may wait to be read at an engine that decodes. `adapts` off: the
    /// least.
    std::int64_t beside_streams(bool adapts) const
    {
        auto const room =
            (options_.bears_least - share_) / (options_.bears_least - options_.bears_all);
        auto const share = adapts ? std::clamp(room, 0.0, 1.0) : 0.0;
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
        return share_;
    }

private:
    static constexpr std::int64_t least_events = 3; // fewer show no pause

    pause_watch_options options_;
    double              share_;
};

} // namespace marigoldcrank

#endif
