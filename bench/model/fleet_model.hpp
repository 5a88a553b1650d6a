// Model of the fleet in a replay: VMs that start, drain, change roles, crash and are
// reclaimed.
//
// Index: 1 server_state, 2 fleet_server, 3 fleet_model
#ifndef MARIGOLDCRANK_MODEL_FLEET_MODEL_HPP
#define MARIGOLDCRANK_MODEL_FLEET_MODEL_HPP

#include "engine_model.hpp"
#include "policy/role_planner.hpp"
#include "policy/spending_plan.hpp"
#include "replay.hpp"

#include <cstdint>
#include <vector>

namespace marigoldcrank::model
{

enum class server_state
{
    off,
    starting,
    up,
    leaving,    // drains, then switches off
    role_drain, // drains for a role change
    changing,   // changes its role and serves no calls
    restarting, // after a crash
    gone        // reclaimed
};

/// A VM that runs one engine.
struct fleet_server
{
    engine_model  engine;
    trace_server  location;
    server_state  state = server_state::up;
    engine_role   wanted_role = engine_role::mixed;
    std::int64_t  until_us = 0;   // end of starting, changing or restarting
    std::uint64_t generation = 0; // of the step in progress
};

/// States of all VMs. Orders of roles and VMs change them with the delays of
/// engine_costs.
class fleet_model
{
public:
    fleet_model(trace const& input, replay_options const& options);

    /// Whether routing may send new calls to the engine.
    bool open(std::uint32_t engine) const;

    /// Completes the starts, role changes, restarts and drains that are due.
    void apply_transitions(std::int64_t now_us);

    void order_roles(engine_role_plan const& plan, std::int64_t now_us);
    void order_servers(spending_plan const& plan, std::int64_t now_us);

    std::vector<role_engine> role_engines() const;
    spending_input           spending_limits() const;

    /// Adds the elapsed time of all paid servers to the result.
    void add_paid_time(std::int64_t elapsed_us, replay_result& result) const;

    std::vector<fleet_server> servers;
    std::vector<bool>         data_centre_lost; // its cheap servers were reclaimed
    std::int64_t              role_changes = 0;

private:
    void scale_class(std::uint32_t data_centre, bool cheap, std::int64_t wanted,
                     std::int64_t now_us);

    engine_costs  costs_;
    std::uint32_t data_centres_ = 0;
};

} // namespace marigoldcrank::model

#endif
