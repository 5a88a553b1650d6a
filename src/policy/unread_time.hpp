// For how long a response was left unread, and whether its server may have cut it.
//
// Index: 1 unread_options, 2 unread_time
//
// A server cuts a response that it can't send for some seconds. Such an end says nothing
// about the server, while a crash must not be taken for it.
#ifndef MARIGOLDCRANK_POLICY_UNREAD_TIME_HPP
#define MARIGOLDCRANK_POLICY_UNREAD_TIME_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <chrono>

namespace marigoldcrank
{

struct unread_options
{
    millis long_pause{1000};  // 1000  ms; servers don't cut a response for less
    millis cut_within{10000}; // 10000  ms after a long pause; later ends aren't due to it

    bool operator==(unread_options const&) const = default;
};

/// The pauses of one response. Pauses with little reading between them count as one,
/// since the server can send little meanwhile: reading takes off as much as it lasts.
/// Pure.
class unread_time
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit unread_time(unread_options options = {}) : options_(options) {}

    /// Records that the response was left unread from `began` to `ended`.
    void record(time_point began, time_point ended)
    {
        paused_ = std::max(paused_ - (began - last_end_), time_point::duration::zero()) +
                  (ended - began);
        last_end_ = ended;
        if (paused_ >= options_.long_pause)
        {
            cut_until_ = ended + options_.cut_within;
        }
    }

    /// Whether the server may have cut the response if it ended at `now`.
    bool may_be_cut(time_point now) const
    {
        return now < cut_until_;
    }

private:
    unread_options       options_;
    time_point::duration paused_{}; // at the end of the last pause
    time_point           last_end_{};
    time_point           cut_until_ = time_point::min();
};

} // namespace marigoldcrank

#endif
