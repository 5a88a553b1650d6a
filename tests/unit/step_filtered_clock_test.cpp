// step_filtered_clock under steps, drift and corrections of the system clock.
#include "domain/step_filtered_clock.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

constexpr std::int64_t start_ms = 1'800'000'000'000;

boot_clock::time_point at(std::int64_t ms)
{
    return boot_clock::time_point{millis{ms}};
}

// A VM's clock jumps three seconds ahead and eight seconds later back. Calls must still
// be counted in the usage windows in which they began to run.
TEST(step_filtered_clock, a_temporary_step_is_ignored)
{
    step_filtered_clock clock;
    for (std::int64_t ms = 0; ms < 20'000; ms += 100)
    {
        auto const step = ms >= 5000 && ms < 13'000 ? 3000 : 0;
        EXPECT_EQ(clock.read(at(ms), start_ms + ms + step), start_ms + ms);
        EXPECT_EQ(clock.stepped(), step != 0);
    }
}

TEST(step_filtered_clock, slow_corrections_are_followed)
{
    step_filtered_clock clock;
    std::int64_t        shown = start_ms;
    for (std::int64_t ms = 0; ms < 100'000; ms += 100)
    {
        shown += 101;
        EXPECT_EQ(clock.read(at(ms), shown), shown);
    }
}

TEST(step_filtered_clock, a_lasting_step_is_accepted)
{
    step_filtered_clock clock;
    clock.read(at(0), start_ms);
    EXPECT_EQ(clock.read(at(100), start_ms - 60'000), start_ms + 100);
    EXPECT_EQ(clock.read(at(130'000), start_ms + 70'000), start_ms + 70'000);
    EXPECT_FALSE(clock.stepped());
}

} // namespace
} // namespace marigoldcrank
