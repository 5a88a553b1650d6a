// Model of the fleet in a replay.
#include "fleet_model.hpp"

#include <algorithm>

namespace marigoldcrank::model
{

namespace
{
constexpr std::int64_t micros_per_milli = 1'000;

bool is_paid(server_state state)
{
    return state != server_state::off && state != server_state::gone;
}

bool stays(server_state state)
{
    return is_paid(state) && state != server_state::leaving;
}
} // namespace

fleet_model::fleet_model(trace const& input, replay_options const& options)
    : costs_(options.costs)
{
    for (std::uint32_t index = 0; index < input.engines.size(); ++index)
    {
        auto const& location = input.engines[index];
        servers.push_back({engine_model(options.costs, index), location});
        data_centres_ = std::max(data_centres_, location.data_centre + 1);
    }
    data_centre_lost.resize(data_centres_);
}

bool fleet_model::open(std::uint32_t engine) const
{
    return servers[engine].state == server_state::up;
}

void fleet_model::apply_transitions(std::int64_t now_us)
{
    for (auto& server : servers)
    {
        bool const timed = server.state == server_state::starting ||
                           server.state == server_state::changing ||
                           server.state == server_state::restarting;
        if (timed && now_us >= server.until_us)
        {
            server.engine.role = server.state == server_state::changing
                                     ? server.wanted_role
                                     : server.engine.role;
            server.state = server_state::up;
        }
        else if (server.state == server_state::leaving && server.engine.idle())
        {
            server.state = server_state::off;
            server.engine.crash(); // its cache is lost
        }
        else if (server.state == server_state::role_drain && server.engine.idle())
        {
            server.state = server_state::changing;
            server.until_us = now_us + costs_.role_change_us;
        }
    }
}

// 1. Roles

std::vector<role_engine> fleet_model::role_engines() const
{
    std::vector<role_engine> result;
    for (auto const& server : servers)
    {
        bool const changing = server.state == server_state::role_drain ||
                              server.state == server_state::changing;
        result.push_back({server.state == server_state::up || changing, changing,
                          server.engine.role, server.engine.load().streams});
    }
    return result;
}

void fleet_model::order_roles(engine_role_plan const& plan, std::int64_t now_us)
{
    for (std::size_t index = 0; index < servers.size(); ++index)
    {
        auto& server = servers[index];
        if (server.state == server_state::up &&
            plan.assignments[index].role != server.engine.role)
        {
            server.wanted_role = plan.assignments[index].role;
            server.state = server_state::role_drain;
            ++role_changes;
        }
    }
    apply_transitions(now_us);
}

// 2. Servers

spending_input fleet_model::spending_limits() const
{
    spending_input input;
    input.max_servers.resize(data_centres_);
    input.have.resize(data_centres_);
    input.reachable.assign(data_centres_, true);
    for (auto const& server : servers)
    {
        auto& most = input.max_servers[server.location.data_centre];
        if (server.state != server_state::gone)
        {
            ++(server.location.cheap ? most.cheap : most.full_price);
        }
        if (stays(server.state))
        {
            auto& have = input.have[server.location.data_centre];
            ++(server.location.cheap ? have.cheap : have.full_price);
        }
    }
    return input;
}

void fleet_model::scale_class(std::uint32_t data_centre, bool cheap, std::int64_t wanted,
                              std::int64_t now_us)
{
    auto in_class = [&](fleet_server const& server)
    {
        return server.location.data_centre == data_centre &&
               server.location.cheap == cheap;
    };
    auto have = std::count_if(servers.begin(), servers.end(),
                              [&](auto const& server)
                              { return in_class(server) && stays(server.state); });
    // A draining server returns to service before another one is started.
    for (auto from : {server_state::leaving, server_state::off})
    {
        for (auto& server : servers)
        {
            if (have < wanted && in_class(server) && server.state == from)
            {
                server.state = from == server_state::leaving ? server_state::up
                                                             : server_state::starting;
                server.until_us = now_us + costs_.start_us;
                ++have;
            }
        }
    }
    while (have > wanted)
    {
        fleet_server* emptiest = nullptr;
        for (auto& server : servers)
        {
            if (in_class(server) && server.state == server_state::up &&
                (emptiest == nullptr ||
                 server.engine.load().streams < emptiest->engine.load().streams))
            {
                emptiest = &server;
            }
        }
        if (emptiest == nullptr)
        {
            return;
        }
        emptiest->state = server_state::leaving;
        --have;
    }
}

void fleet_model::order_servers(spending_plan const& plan, std::int64_t now_us)
{
    for (std::uint32_t data_centre = 0; data_centre < data_centres_; ++data_centre)
    {
        scale_class(data_centre, false, plan.wanted[data_centre].full_price, now_us);
        scale_class(data_centre, true, plan.wanted[data_centre].cheap, now_us);
    }
    apply_transitions(now_us);
}

void fleet_model::add_paid_time(std::int64_t elapsed_us, replay_result& result) const
{
    for (auto const& server : servers)
    {
        if (is_paid(server.state))
        {
            (server.location.cheap ? result.cheap_ms : result.full_price_ms) +=
                elapsed_us / micros_per_milli;
        }
    }
}

} // namespace marigoldcrank::model
