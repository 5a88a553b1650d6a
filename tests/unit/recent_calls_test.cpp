// Retries that a VM may keep in reserve for its recent calls.
#include "policy/recent_calls.hpp"
#include "policy/retry_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at(int ms)
{
    return boot_clock::time_point{std::chrono::hours{1}} + millis{ms};
}

TEST(recent_calls, a_steady_rate_gives_the_calls_of_the_span)
{
    recent_calls calls{millis{2000}};
    for (int ms = 0; ms < 20000; ms += 100)
    {
        calls.add(at(ms));
    }
    EXPECT_NEAR(calls.count(at(20000)), 20, 1);
    EXPECT_LT(calls.count(at(30000)), 1);
}

// Replays an outage on a busy VM after quiet seconds: every call asks for a retry. With
// what is kept in reserve, the VM stays within a fifth of its calls and its part of the
// slack in any ten seconds.
TEST(recent_calls, reserved_retries_stay_within_the_bound_of_an_outage)
{
    constexpr std::int64_t percent = 16; // four fifths of the allowed fifth
    constexpr std::int64_t share = 2;
    recent_calls           calls{millis{2000}};
    retry_budget           budget{{.percent = percent, .burst = share}};
    std::vector<int>       retries;
    std::vector<int>       sent;
    for (int ms = 0; ms < 60000; ms += 50)
    {
        auto const recent = static_cast<std::int64_t>(calls.count(at(ms)));
        budget.limit({.percent = percent, .burst = share + recent * percent / 100});
        budget.admit();
        calls.add(at(ms));
        sent.push_back(ms);
        if (ms > 30000 && budget.take())
        {
            retries.push_back(ms);
        }
    }
    auto const within = [](std::vector<int> const& times, int from)
    {
        return std::count_if(times.begin(), times.end(),
                             [from](int ms) { return ms >= from && ms < from + 10000; });
    };
    for (int from = 0; from < 50000; from += 250)
    {
        EXPECT_LE(within(retries, from) * 5, within(sent, from) + share * 5) << from;
    }
    EXPECT_GT(within(retries, 30000), share + 20000 / 50 * percent / 100 / 2);
}

} // namespace
} // namespace marigoldcrank
