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

// The time in which the balancer notices a stop was longer than the grace period.
TEST(stop_plan, short_grace_period_leaves_two_thirds_of_it_to_calls)
{
    auto const plan = plan_stop({.grace = millis{1500}, .notice = millis{2500}});
    EXPECT_EQ(plan.closes, millis{500});
    EXPECT_GE(plan.ends_calls, millis{1000});
}

// A call that could be under way when the VM exits was taken, and nobody could tell
// whether it ran.
TEST(stop_plan, calls_that_may_run_once_must_fit)
{
    stopping_call const once{.limit = millis{3000}};
    EXPECT_TRUE(fits_stop(once, millis{3000}));
    EXPECT_FALSE(fits_stop(once, millis{2999}));
    EXPECT_TRUE(fits_stop({.repeatable = true, .limit = millis{3000}}, millis{10}));
    EXPECT_TRUE(fits_stop({.stream = true, .limit = millis{3000}}, millis{10}));
}

} // namespace
} // namespace marigoldcrank
