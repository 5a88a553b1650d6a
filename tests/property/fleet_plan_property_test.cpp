// Orders and other decisions by rules with any numbers.
//
// Index: 1 rules, 2 orders, 3 other decisions
#include "platform/rules_decoder.hpp"
#include "policy/fleet_plan.hpp"
#include "policy/head_limits.hpp"
#include "policy/token_bucket.hpp"
#include "policy/urgency.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace marigoldcrank
{
namespace
{

using nlohmann::json;

// 1. Rules

constexpr auto most_signed = std::numeric_limits<std::int64_t>::max();
constexpr auto most_unsigned = std::numeric_limits<std::uint64_t>::max();

/// A number that a document can state, often one at the end of a range; or none.
json any_number()
{
    switch (*rc::gen::inRange(0, 6))
    {
    case 0:
        return *rc::gen::inRange<std::int64_t>(0, 10);
    case 1:
        return *rc::gen::element<std::uint64_t>(0, 1, 2, 65'536, std::uint64_t{1} << 32,
                                                std::uint64_t{1} << 62, most_signed,
                                                std::uint64_t{1} << 63, most_unsigned);
    case 2:
        return *rc::gen::arbitrary<std::int64_t>();
    case 3:
        return *rc::gen::element(-1.0, 0.5, 8.0, 1e18, 1e300, -1e300);
    case 4:
        return *rc::gen::element("", "8", "many");
    default:
        return nullptr;
    }
}

serving_rules any_rules()
{
    json const document{
        {"version", 1},
        {"routes",
         json::array(
             {{{"name", "r"},
               {"host", "h"},
               {"path_prefix", "/"},
               {"timeout_ms", any_number()},
               {"target_latency_ms", any_number()},
               {"itl_target_ms", any_number()},
               {"max_attempts", any_number()},
               {"priority", any_number()},
               {"split", json::array({{{"service", "s"}, {"weight", any_number()}},
                                      {{"service", "t"}, {"weight", any_number()}}})}}})},
        {"services",
         json::array(
             {{{"name", "s"},
               {"max_connections", any_number()},
               {"engine",
                {{"kv_hold_s", any_number()}, {"kv_capacity_tokens", any_number()}}},
               {"scaling",
                {{"min", any_number()}, {"max", any_number()}, {"spot_price", 0.2}}}}})},
        {"limits",
         {{"max_header_bytes", any_number()},
          {"max_body_bytes", any_number()},
          {"header_timeout_ms", any_number()},
          {"idle_timeout_ms", any_number()}}},
        {"tenants", json::array({{{"name", "w"},
                                  {"priority", any_number()},
                                  {"rate_per_s", any_number()},
                                  {"burst", any_number()}}})}};
    auto const rules = platform::decode_rules(document.dump());
    RC_ASSERT(rules.has_value());
    return *rules;
}

// 2. Orders

std::int64_t any_count(fleet_bounds const& bounds)
{
    return *rc::gen::inRange<std::int64_t>(0,
                                           std::min<std::int64_t>(bounds.most, 40) + 3);
}

/// Three data centres with any servers and any demand.
fleet_state any_state(fleet_bounds const& bounds, boot_clock::time_point now)
{
    fleet_state state;
    for (auto const* name : {"a", "b", "c"})
    {
        state.centres[name] = {
            .present = {.full = any_count(bounds), .cheap = any_count(bounds)},
            .refused = *rc::gen::element(boot_clock::time_point{}, now)};
    }
    auto const need = *rc::gen::element(0.0, 0.1, 7.0, 1e6, 1e30);
    auto const began = now - millis{*rc::gen::element(0, 9000)};
    state.record_demand(
        *rc::gen::arbitrary<bool>()
            ? std::optional{servers_for({.prefill = need, .decode = need})}
            : std::nullopt,
        began);
    return state;
}

// A maximum of 0 ended the process that plans: a division by a step of 0. Where such a
// division gives 0, a server was ordered above the maximum.
RC_GTEST_PROP(fleet_plan, any_bounds_and_demand_give_orders_within_the_maximum, ())
{
    auto const                   rules = any_rules();
    auto const&                  planned = *rules.find_service("s");
    boot_clock::time_point const now{std::chrono::hours{1}};
    if (!planned.fleet)
    {
        RC_ASSERT(plan_fleet(planned, {}, now, {}).empty());
        return;
    }
    auto const state = any_state(*planned.fleet, now);
    // What there is once each order has been carried out.
    auto after = state.centres;
    for (auto const& order : plan_fleet(planned, state, now, {}))
    {
        RC_ASSERT(order.count >= 0);
        RC_ASSERT(order.count <= planned.fleet->most);
        auto& present = after[order.data_centre].present;
        (order.cheap ? present.cheap : present.full) = order.count;
    }
    for (auto const& [name, centre] : after)
    {
        RC_ASSERT(centre.present.full + centre.present.cheap <= planned.fleet->most);
        RC_ASSERT(centre.present.full >=
                  std::min(planned.fleet->least, planned.fleet->most));
    }
}

fleet_bounds const* bounds_of(serving_rules const& rules)
{
    auto const* found = rules.find_service("s");
    return found != nullptr && found->fleet ? &*found->fleet : nullptr;
}

std::optional<serving_rules> decode_scaling(std::string const& fields)
{
    return platform::decode_rules(R"({"version":1,"services":[{"name":"s","scaling":{)" +
                                  fields + "}}]}");
}

// An absent maximum counted as 0, which gives back all servers.
TEST(fleet_plan, service_without_a_readable_maximum_is_not_ordered)
{
    for (auto const* fields :
         {R"("min":1)", R"("max":null)", R"("max":"8")", R"("max":-1)", R"("max":1.5)"})
    {
        auto const rules = decode_scaling(fields);
        EXPECT_EQ(bounds_of(*rules), nullptr) << fields;
        ASSERT_EQ(rules->faults().size(), 1U) << fields;
        EXPECT_EQ(rules->faults()[0].field, "services.s.scaling.max");
        EXPECT_EQ(rules->faults()[0].used, std::nullopt);
    }
    EXPECT_EQ(bounds_of(*decode_scaling(R"("max":0)"))->most, 0);
    EXPECT_EQ(bounds_of(*decode_scaling(R"("max":8.0)"))->most, 8);
    auto const huge = decode_scaling(R"("max":9223372036854775807)");
    EXPECT_EQ(bounds_of(*huge)->most, 1'000'000);
    EXPECT_EQ(huge->faults()[0].used, 1'000'000);
}

TEST(fleet_plan, maximum_of_zero_gives_back_all_servers)
{
    service const          none{.name = "s",
                                .fleet = fleet_bounds{.most = 0, .reclaimable = true}};
    boot_clock::time_point now{std::chrono::hours{1}};
    fleet_state            state;
    state.centres["a"].present = {.full = 2, .cheap = 3};
    state.record_demand(4, now);
    for (auto const later : {millis{0}, millis{9000}})
    {
        EXPECT_EQ(plan_fleet(none, state, now + later, {}),
                  (std::vector<server_order>{{"s", "a", 0, false}, {"s", "a", 0, true}}));
    }
}

// 3. Other decisions

RC_GTEST_PROP(any_rules, every_number_has_a_range, ())
{
    auto const  rules = any_rules();
    auto const& limits = rules.limits();
    RC_ASSERT(limits.header_bytes > 0);
    RC_ASSERT(limits.header_bytes <= max_header_bytes);
    RC_ASSERT(limits.body_bytes >= 0);
    RC_ASSERT(limits.header_time.count() > 0);
    RC_ASSERT(limits.idle_time.count() > 0);
    RC_ASSERT(head_limits_for(limits.header_bytes).part >
              static_cast<std::size_t>(limits.header_bytes));
    auto const scale = scale_of(rules);
    for (auto const& each : rules.routes())
    {
        RC_ASSERT(each.max_servers >= 1);
        auto const left = each.objective - millis{*rc::gen::inRange(0, 20'000)};
        RC_ASSERT(urgency_of(each.rank, left, scale, urgency_levels) >= 0);
        RC_ASSERT(pick_target(each, *rc::gen::arbitrary<std::uint64_t>()) != nullptr);
    }
}

} // namespace
} // namespace marigoldcrank
