// Evaluation of latency targets, and the report page.
#include "app/report_page.hpp"
#include "policy/target_evaluation.hpp"

#include <gtest/gtest.h>

namespace
{
using namespace marigoldcrank;

constexpr std::int64_t now_ms = 1'000'000;

target_rule rule()
{
    return {.id = "noord-fast",
            .workspace = "noord",
            .first_token_ms = 400,
            .between_tokens_ms = 75,
            .percent = 75,
            .window_s = 100,
            .requester = "test"};
}

target_sample sample(std::string id, std::int64_t first, std::int64_t between)
{
    return {now_ms - 1'000, std::move(id), "noord", "whole", first, between};
}

TEST(service_targets, are_met_at_exactly_the_required_percentage)
{
    std::vector<target_sample> samples{sample("a", 400, 75), sample("b", 10, 10),
                                       sample("c", 10, 10), sample("d", 401, 10)};
    auto const                 held = evaluate_target(rule(), samples, now_ms);
    EXPECT_EQ(held.state, target_state::held);
    EXPECT_EQ(held.missed_ids, std::vector<std::string>{"d"});
    samples.push_back(sample("e", 10, 76));
    EXPECT_EQ(evaluate_target(rule(), samples, now_ms).state, target_state::missed);
}

TEST(service_targets, count_system_failures_but_not_caller_errors)
{
    auto overloaded = sample("a", -1, 0);
    overloaded.outcome = "overloaded";
    auto limited = sample("b", -1, 0);
    limited.outcome = "over_limit";
    auto other = sample("c", 900, 0);
    other.workspace = "oost";
    auto old = sample("d", 900, 0);
    old.at_ms = now_ms - 100'000;
    std::vector<target_sample> const samples{overloaded, limited, other, old};
    auto const                       verdict = evaluate_target(rule(), samples, now_ms);
    EXPECT_EQ(verdict.calls, 1);
    EXPECT_EQ(verdict.state, target_state::missed);
    EXPECT_EQ(evaluate_target(rule(), {}, now_ms).state, target_state::no_evidence);
}

TEST(report_page, shows_each_cause_and_rejects_an_invalid_series)
{
    auto const page = leaf::try_handle_all(
        []() -> leaf::result<std::string>
        {
            BOOST_LEAF_AUTO(series, parse_series("title A <b> day\nrefused overloaded 7\n"
                                                 "columns second offered good\n0 3 2\n"));
            return format_report(series);
        },
        [] { return std::string{}; });
    EXPECT_NE(page.find("A &lt;b> day"), std::string::npos);
    EXPECT_NE(page.find("<td>overloaded</td><td>7</td>"), std::string::npos);
    EXPECT_NE(page.find("<polyline"), std::string::npos);
    bool const broken = leaf::try_handle_all(
        []() -> leaf::result<bool>
        {
            BOOST_LEAF_CHECK(parse_series("columns second offered\n0\n"));
            return false;
        },
        [] { return true; });
    EXPECT_TRUE(broken);
}
} // namespace
