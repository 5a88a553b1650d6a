// Tests that the times for news of servers fit into the age by which requests are sent.
#include "policy/list_age.hpp"
#include "policy/news_times.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

// Pauses on the way added up to more than the age by which a list may be sent by.
TEST(news_times, one_silent_vm_makes_lists_too_old)
{
    constexpr millis way{450}; // margin of a query, retries and the next VM's reply
    for (auto const bound : {millis{2000}, millis{3000}, millis{4000}, millis{5000}})
    {
        auto const times = news_times_for(bound);
        EXPECT_LE(times.read_pause + times.query_wait + way, max_list_age(bound));
        EXPECT_LT(times.newer, times.read_pause);   // each read is passed on
        EXPECT_GT(times.max_age, times.read_pause); // the reader isn't taken for late
    }
}

} // namespace
} // namespace marigoldcrank
