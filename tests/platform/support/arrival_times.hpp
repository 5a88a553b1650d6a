// Times at which requests reached a stand-in, for checks of rates.
//
// Index: 1 arrival_times, 2 headed_response
#ifndef MARIGOLDCRANK_TESTS_PLATFORM_ARRIVAL_TIMES_HPP
#define MARIGOLDCRANK_TESTS_PLATFORM_ARRIVAL_TIMES_HPP

#include "platform/support/server_standin.hpp"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace marigoldcrank::tests
{

/// Thread-safe.
class arrival_times
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    void record()
    {
        std::lock_guard lock{mutex_};
        times_.push_back(std::chrono::steady_clock::now());
    }

    /// Arrivals in [begin, end).
    std::size_t count(time_point begin, time_point end) const
    {
        std::lock_guard lock{mutex_};
        return static_cast<std::size_t>(
            std::count_if(times_.begin(), times_.end(),
                          [&](time_point each) { return begin <= each && each < end; }));
    }

    /// The most arrivals in any span of length `span` that starts at or after `begin`.
    std::size_t most_within(std::chrono::milliseconds span, time_point begin) const
    {
        std::lock_guard lock{mutex_};
        std::size_t     most = 0;
        for (auto first = times_.begin(); first != times_.end(); ++first)
        {
            auto const last =
                std::find_if(first, times_.end(),
                             [&](time_point each) { return each >= *first + span; });
            auto const count = static_cast<std::size_t>(last - first);
            most = *first < begin ? most : std::max(most, count);
        }
        return most;
    }

private:
    mutable std::mutex      mutex_;
    std::vector<time_point> times_; // in order
};

/// A behaviour that records each arrival and responds with a signed 200 that has `fields`
/// (header lines, each with its line end).
inline server_standin::behaviour headed_response(arrival_times& arrivals,
                                                 std::string    fields)
{
    return [&arrivals, fields = std::move(fields)](wire_request const& request,
                                                   wire_connection&    connection)
    {
        arrivals.record();
        auto response = server_standin::signed_response(request, "limited");
        response.insert(response.find("\r\n") + 2, fields);
        connection.send(response);
        return true;
    };
}

} // namespace marigoldcrank::tests

#endif
