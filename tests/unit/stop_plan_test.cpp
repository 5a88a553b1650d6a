// The times of a planned stop.
#include "policy/stop_plan.hpp"

#include <gtest/gtest.h>

namespace marigoldcrank
{
namespace
{

// Callers whose calls ended only with the process got no answer.
TEST(stop_plan, calls_end_before_the_process_and_it_before_it_is_killed)
{
    for (auto const grace : {millis{500}, millis{2000}, millis{8000}, millis{60000}})
    {
        auto const plan = plan_stop({.grace = grace});
        EXPECT_LT(plan.ends_calls, plan.exits);
        EXPECT_LT(plan.exits, grace);
        EXPECT_GE(plan.ends_calls, grace * 3 / 4);
    }
}

TEST(stop_plan, reserves_are_short_beside_a_usual_grace_period)
{
    auto const plan = plan_stop({.grace = millis{8000}, .notice = millis{2500}});
    EXPECT_EQ(plan.closes, millis{2500});
    EXPECT_EQ(plan.ends_calls, millis{7400});
    EXPECT_EQ(plan.exits, millis{7700});
}

} // namespace
} // namespace marigoldcrank
