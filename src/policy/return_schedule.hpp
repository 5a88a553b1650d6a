// Tells refused callers when to return, so that servers have room for them then.
//
// Index: 1 return_options, 2 return_request, 3 return_schedule
#ifndef MARIGOLDCRANK_POLICY_RETURN_SCHEDULE_HPP
#define MARIGOLDCRANK_POLICY_RETURN_SCHEDULE_HPP

#include "domain/boot_clock.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace marigoldcrank
{

struct return_options
{
    // 1/3   of the time that the caller has left; callers wait no longer than that
    std::int64_t left_parts = 3;
    // 50    ms; shortest time
    millis least{50};

    bool operator==(return_options const&) const = default;
};

/// What is known when a call is refused.
struct return_request
{
    double work_ms = 0; // server time that the call would take
    double servers = 1; // this VM's part of the servers
    millis earliest{0}; // until the servers are expected to have room for it
    millis left{0};     // until the caller gives up

    bool operator==(return_request const&) const = default;
};

/// Times for the refused callers of one service, in the order of their refusals. Each
/// time is later than the last one by what the servers need for the call before. A
/// caller that returns earlier is judged like any other call. No I/O; the caller passes
/// the time.
class return_schedule
{
public:
    explicit return_schedule(return_options options = {}) : options_(options) {}

    millis next(return_request const& request, boot_clock::time_point now)
    {
        auto const most = std::max(request.left / options_.left_parts, options_.least);
        auto const at = std::max(now + request.earliest, booked_until_);
        auto const wait = std::chrono::ceil<millis>(at - now);
        if (wait > most)
        {
            // The caller's turn would come too late for it, so it gets no time of its
            // own.
            booked_until_ = std::max(booked_until_, now + most);
            return most;
        }
        auto const takes = request.work_ms / std::max(request.servers, least_servers);
        booked_until_ = at + millis{std::llround(std::ceil(takes))};
        return std::max(wait, options_.least);
    }

private:
    static constexpr double least_servers = 0.01;

    return_options         options_;
    boot_clock::time_point booked_until_{};
};

} // namespace marigoldcrank

#endif
