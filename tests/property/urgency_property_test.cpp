// The urgency that servers are told, for any ranks and times left.
#include "policy/urgency.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace marigoldcrank
{
namespace
{

constexpr std::int64_t levels = 10;

urgency_scale any_scale()
{
    urgency_scale scale{.shortest_objective = millis{*rc::gen::inRange(1, 2000)}};
    auto const    count = *rc::gen::inRange<std::int64_t>(2, 12);
    for (std::int64_t rank = 0; rank < count; ++rank)
    {
        scale.ranks.push_back(rank * 2);
    }
    return scale;
}

} // namespace

RC_GTEST_PROP(urgency, a_more_urgent_rank_always_goes_first, ())
{
    auto const scale = any_scale();
    auto const left = *rc::gen::inRange(-1000, 5000);
    auto const other_left = *rc::gen::inRange(-1000, 5000);
    for (std::size_t index = 0; index + 1 < scale.ranks.size(); ++index)
    {
        auto const first = urgency_of(scale.ranks[index], millis{left}, scale, levels);
        auto const next =
            urgency_of(scale.ranks[index + 1], millis{other_left}, scale, levels);
        RC_ASSERT(first < next);
        RC_ASSERT(first >= 0);
        RC_ASSERT(scale.ranks.size() > levels || next < levels);
    }
}

RC_GTEST_PROP(urgency, less_time_goes_first_and_late_calls_last, ())
{
    auto const scale = any_scale();
    auto const rank = scale.ranks.front();
    auto const left = *rc::gen::inRange(1, 5000);
    auto const more = left + *rc::gen::inRange(0, 5000);
    auto const urgency = urgency_of(rank, millis{left}, scale, levels);
    RC_ASSERT(urgency <= urgency_of(rank, millis{more}, scale, levels));
    RC_ASSERT(urgency <= urgency_of(rank, millis{0}, scale, levels));
}

TEST(urgency, single_rank_is_told_as_it_is)
{
    urgency_scale const scale{.ranks = {3}, .shortest_objective = millis{100}};
    EXPECT_EQ(urgency_of(3, millis{50}, scale, levels), 3);
    EXPECT_EQ(urgency_of(3, millis{5000}, scale, levels), 3);
}

TEST(urgency, rank_of_a_workspace_counts)
{
    serving_rules const rules{
        1,
        {{.objective = millis{500}, .rank = 1}, {.objective = millis{300}, .rank = 2}},
        {},
        {{.name = "w", .rank = 0}},
        true,
        {}};
    auto const scale = scale_of(rules);
    EXPECT_EQ(scale, (urgency_scale{{0, 1, 2}, millis{300}}));
    EXPECT_EQ(urgency_of(0, millis{100}, scale, levels), 0);
    EXPECT_EQ(urgency_of(1, millis{100}, scale, levels), 3);
    EXPECT_EQ(urgency_of(1, millis{2000}, scale, levels), 5);
    EXPECT_EQ(urgency_of(2, millis{0}, scale, levels), 8);
}

} // namespace marigoldcrank
