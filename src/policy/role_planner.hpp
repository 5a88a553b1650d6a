// Roles of a group's engines: what routing uses each for, and which role to order.
//
// Index: 1 role_engine, 2 role_demand, 3 engine_assignment, 4 role_planner
//
// Two speeds. Uses follow demand at once and need no order: a mixed engine that gets only
// long prompts, whose KV cache then moves to another, is a prefill engine. A role is
// ordered only when not having it has already cost as much service as the change will:
// then no sequence of swings can make the changes cost more than twice what the best
// choice in hindsight would have lost (the ski rental rule).
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

/// One engine as role control sees it.
struct role_engine
{
    bool         open = true;      // serves or is about to
    bool         changing = false; // drains for a change or is in one
    engine_role  role = engine_role::mixed;
    std::int64_t streams = 0;

    bool operator==(role_engine const&) const = default;
};

/// Demand on the group, a second, smoothed by the caller.
struct role_demand
{
    std::int64_t long_tokens = 0;  // prompt tokens of long prompts, less expected hits
    std::int64_t short_tokens = 0; // prompt tokens of the others
    std::int64_t long_chunks = 0;  // steps of the batch that long prompts take
    std::int64_t output_tokens = 0;

    bool operator==(role_demand const&) const = default;
};

/// What is wanted of one engine, with the figures that led to it.
struct engine_assignment
{
    engine_use   use = engine_use::any;
    engine_role  role = engine_role::mixed; // to be ordered if it differs
    std::int64_t regret_ms = 0;             // service lost so far for want of a change

    bool operator==(engine_assignment const&) const = default;
};

/// All wishes of one moment and their reasons.
struct engine_role_plan
{
    std::vector<engine_assignment> wishes; // by engine
    std::int64_t slow_step_percent = 0;    // of steps, were all engines mixed
    std::int64_t prefill_milli = 0;        // engines needed for long prompts, 1000ths
    std::int64_t decode_milli = 0;         // engines needed for the rest, 1000ths
    std::int64_t prefill_engines = 0;      // planned
    std::int64_t orders = 0;               // wishes that need an order now

    bool operator==(engine_role_plan const&) const = default;
};

/// Engines wanted in each role, the form in which the controller of a group takes a plan:
/// it gives at most one order at a time.
role_plan wanted_roles(engine_role_plan const& plan);

/// The fold of demand over time: each step depends on the state before and its arguments.
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
    boot_clock::time_point     low_since_{}; // when fewer would do; epoch: they would not
    boot_clock::time_point     stepped_{};
    std::deque<boot_clock::time_point> ordered_; // in the last window
    boot_clock::time_point             now_{};
};

} // namespace marigoldcrank

#endif
