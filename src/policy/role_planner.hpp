// Plans the roles of a group's engines: their use in routing, and changes to order.
//
// Index: 1 role_engine, 2 role_demand, 3 engine_assignment, 4 role_planner
//
// A use follows demand at once and needs no order: routing can use a mixed engine as a
// prefill engine by sending it only long prompts whose KV cache then moves to another
// engine. A change of role takes the engine out of service, so it is ordered only after
// the lack of the role has cost `regret_percent` of what the change itself costs. At 100
// percent this is the ski rental rule: no sequence of swings makes the changes cost more
// than twice the loss of the best choice in hindsight.
#ifndef MARIGOLDCRANK_POLICY_ROLE_PLANNER_HPP
#define MARIGOLDCRANK_POLICY_ROLE_PLANNER_HPP

#include "domain/backend_server.hpp"
#include "domain/boot_clock.hpp"
#include "policy/engine_view.hpp"
#include "policy/policy_options.hpp"
#include "policy/wanted_state.hpp"

#include <cstdint>
#include <deque>
#include <vector>

namespace marigoldcrank
{

/// State of one engine, as input of the planner.
struct role_engine
{
    bool         open = true;      // serves or is about to serve
    bool         changing = false; // drains for a change of role or is in one
    engine_role  role = engine_role::mixed;
    std::int64_t streams = 0;

    bool operator==(role_engine const&) const = default;
};

/// Demand on the group per second, smoothed by the caller.
struct role_demand
{
    std::int64_t long_tokens = 0;  // tokens of long prompts, without expected cache hits
    std::int64_t short_tokens = 0; // tokens of short prompts
    std::int64_t long_chunks = 0;  // steps of the batch that long prompts take
    std::int64_t output_tokens = 0;

    bool operator==(role_demand const&) const = default;
};

/// Planned use and role of one engine.
struct engine_assignment
{
    engine_use   use = engine_use::any;
    engine_role  role = engine_role::mixed; // ordered if it differs from the current one
    std::int64_t regret_ms = 0;             // service lost so far without the change

    bool operator==(engine_assignment const&) const = default;
};

/// Planned roles of all engines at one time, with the figures behind them.
struct engine_role_plan
{
    std::vector<engine_assignment> assignments; // by engine
    std::int64_t slow_step_percent = 0; // steps with a long prompt if all were mixed
    std::int64_t prefill_milli = 0;     // engines needed for long prompts, 1000ths
    std::int64_t decode_milli = 0;      // engines needed for the rest, 1000ths
    std::int64_t prefill_engines = 0;   // planned
    std::int64_t orders = 0;            // changes of role to order now

    bool operator==(engine_role_plan const&) const = default;
};

/// Number of engines wanted in each role. The controller of a group takes a plan in this
/// form and gives at most one order at a time.
role_plan wanted_roles(engine_role_plan const& plan);

/// Plans in steps over time. Each step depends only on the earlier steps and its
/// arguments.
class role_planner
{
public:
    role_planner(role_options options, engine_speed speed);

    engine_role_plan step(role_demand const&              demand,
                          std::vector<role_engine> const& engines,
                          boot_clock::time_point          now);

private:
    struct engine_memory
    {
        engine_use   use = engine_use::any;
        std::int64_t regret_ms = 0;
    };

    std::int64_t plan_prefill(engine_role_plan& plan, role_demand const& demand,
                              std::int64_t usable);
    void assign_uses(engine_role_plan& plan, std::vector<role_engine> const& engines);
    void order_roles(engine_role_plan& plan, std::vector<role_engine> const& engines,
                     millis since);

    role_options               options_;
    engine_speed               speed_;
    std::vector<engine_memory> memory_;
    std::int64_t               prefill_engines_ = 0;
    boot_clock::time_point low_since_{}; // since when fewer suffice; epoch: they don't
    boot_clock::time_point stepped_{};
    std::deque<boot_clock::time_point> ordered_; // in the last window
    boot_clock::time_point             now_{};
};

} // namespace marigoldcrank

#endif
