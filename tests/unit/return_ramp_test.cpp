// Tests the first requests after a server's pause.
#include "policy/return_ramp.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

boot_clock::time_point at_ms(std::int64_t value)
{
    return boot_clock::time_point{millis{value}};
}

TEST(return_ramp, each_step_allows_twice_the_requests_of_the_last)
{
    return_ramp ramp(at_ms(1000));
    EXPECT_EQ(ramp.take(at_ms(900)), millis{100});
    for (int step = 0; step < 5; ++step)
    {
        int allowed = 0;
        while (!ramp.take(at_ms(1000 + 250 * step + 10)))
        {
            ++allowed;
        }
        EXPECT_EQ(allowed, 1 << step);
        EXPECT_EQ(ramp.take(at_ms(1000 + 250 * step + 10)), millis{240});
    }
    EXPECT_TRUE(ramp.done(at_ms(2250)));
    EXPECT_FALSE(ramp.take(at_ms(2250)));
}

} // namespace
} // namespace marigoldcrank
